package frame

import "kitehub/scheduler"

// How an attempt on a connection can end, and what each end proves. The scheduler may repeat only what certainly did
// not run, so this table is the one place that says so:
//
//	how it ended                                        Outcome        what is known
//	answer 64, OK                                       OK             it ran
//	answer 66, not loaded                               NotLoaded      it did not run
//	answer 67, at capacity                              AtCapacity     it did not run
//	answer 69, ended already                            NotStarted     it did not run
//	answer 68, error                                    Error          it may have run
//	no connection came up, or none was available        ConnectFailed  nothing was sent
//	withdrawn, cancelled or unwanted before a byte      NotStarted     nothing was sent
//	the connection ended with the frame incomplete      ConnectFailed  it never arrived complete, so it did not run
//	the connection ended with the frame complete        Reset          it may have run
//	garbage, a wrong checksum, a frame over the bounds  Reset          it may have run, as may all on the connection
//	silence that a ping did not end                     Reset          likewise
//	no answer in time                                   TimedOut       it may have run
//	cancelled after the first byte                      Cancelled      it may have run

// callOutcome returns what an answer to a call proves; false for a code that answers no call.
func callOutcome(code byte) (scheduler.Outcome, bool) {
	switch code {
	case codeOK:
		return scheduler.OK, true
	case codeNotLoaded:
		return scheduler.NotLoaded, true
	case codeAtCapacity:
		return scheduler.AtCapacity, true
	case codeError:
		return scheduler.Error, true
	case codeEndedAlready:
		return scheduler.NotStarted, true
	}
	return 0, false
}

// orderOutcome returns what an answer to a load order says; false for a code that answers no order.
func orderOutcome(code byte) (scheduler.Outcome, bool) {
	switch code {
	case codeOK, codeAtCapacity, codeError:
		return callOutcome(code)
	}
	return 0, false
}

// lostOutcome returns what the end of its connection proves of an attempt, by whether the kernel had taken its
// complete frame.
func lostOutcome(frameComplete bool) scheduler.Outcome {
	if frameComplete {
		return scheduler.Reset
	}
	return scheduler.ConnectFailed
}
