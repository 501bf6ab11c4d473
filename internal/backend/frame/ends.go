package frame

import "kitehub/scheduler"

// How an attempt on a connection can end, and what each end proves. The module may repeat only what never ran, so this
// table is the one place that says so:
//
//	end                                              outcome        what is known
//	answer 64                                        OK             it ran
//	answer 66                                        Miss           it never ran
//	answer 67                                        Full           it never ran
//	answer 69, "over already"                        Moot           it never ran
//	answer 68                                        Error          it may have run
//	no connection came up, or none was to be had     ConnectFailed  nothing went out
//	withdrawn, given up or unwanted before a byte    Moot           nothing went out
//	the connection ended with the frame cut by us    ConnectFailed  it never came whole, so it never ran
//	the connection ended with the frame whole        Reset          it may have run
//	noise, a bad check, a frame over the bounds      Reset          it may have run, and so may all others on the connection
//	silence that a ping did not end                  Reset          likewise
//	no answer in its time                            TimedOut       it may have run
//	given up after the first byte                    Cancelled      it may have run

// answered is what an answer to a call proves; false for a code that answers no call.
func answered(code byte) (scheduler.Outcome, bool) {
	switch code {
	case codeOK:
		return scheduler.OK, true
	case codeMiss:
		return scheduler.NotLoaded, true
	case codeFull:
		return scheduler.AtCapacity, true
	case codeError:
		return scheduler.Error, true
	case codeOver:
		return scheduler.NotStarted, true
	}
	return 0, false
}

// held is what an answer to an order says.
func held(code byte) (scheduler.Outcome, bool) {
	switch code {
	case codeOK, codeFull, codeError:
		return answered(code)
	}
	return 0, false
}

// lost is what the end of its connection proves of an attempt whose frame had come whole to the kernel, or had not.
func lost(whole bool) scheduler.Outcome {
	if whole {
		return scheduler.Reset
	}
	return scheduler.ConnectFailed
}
