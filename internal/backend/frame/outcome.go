package frame

import "kitehub/scheduler"

// The following table lists how an attempt can end and what that proves. The scheduler may retry
// only an attempt that certainly did not run:
//
//	how the attempt ended                               Outcome        what is known
//	response 64, OK                                     OK             it ran
//	response 66, not loaded                             NotLoaded      it did not run
//	response 67, at capacity                            AtCapacity     it did not run
//	response 69, already ended                          NotStarted     it did not run
//	response 68, error                                  Error          it may have run
//	no connection could be opened or was available      ConnectFailed  nothing was sent
//	withdrawn, cancelled or rejected by MayStart        NotStarted     nothing was sent
//	connection ended before the frame was complete      ConnectFailed  incomplete: it did not run
//	connection ended after the frame was complete       Reset          it may have run
//	malformed frame, wrong checksum, limit exceeded     Reset          it may have run (*)
//	silence without a response to a ping                Reset          it may have run (*)
//	no response in time                                 TimedOut       it may have run
//	cancelled after the first byte                      Cancelled      it may have run
//
// (*) This holds for all attempts in flight on the connection.

// callOutcome returns what a response to a call proves. It returns false for a code that is no
// response to a call.
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
	case codeAlreadyEnded:
		return scheduler.NotStarted, true
	}
	return 0, false
}

// orderOutcome returns the outcome of a load order from the code of a response. It returns false
// for a code that is no response to a load order.
func orderOutcome(code byte) (scheduler.Outcome, bool) {
	switch code {
	case codeOK, codeAtCapacity, codeError:
		return callOutcome(code)
	}
	return 0, false
}

// lostOutcome returns the outcome of an attempt whose connection has ended. frameComplete says
// whether the kernel had accepted the complete frame.
func lostOutcome(frameComplete bool) scheduler.Outcome {
	if frameComplete {
		return scheduler.Reset
	}
	return scheduler.ConnectFailed
}
