// Package webhook is the ingress for signed webhooks (the Standard Webhooks specification) over HTTP/1.1, whose
// answers are signed as well. It verifies messages, tells replays and retries from new calls by package replayguard,
// and submits new calls to the gateway. Nothing that is not verified gets that far.
//
//	served     200  the worker's answer
//	refused    503  with Retry-After; a retry does no harm
//	failed     502  the attempts that the call allows are used up; 504: its time is. It may have run
//	forged     401  no key of any client verifies it, or its timestamp is too old or too far ahead
//	replayed   409  this very message was accepted before
//	reused     422  the id was used for another body
//	unknown    404  no such function
//	too large  413
//
// All but 200 are problem details (RFC 9457) with the member "outcome". The answer to a verified message has a
// webhook-id that binds the outcome to the request's id, and is signed with the key that verified the request.
package webhook
