// Package webhook is the ingress for signed webhooks (the Standard Webhooks specification) over
// HTTP/1.1. Its responses are signed as well. It verifies each message, uses package replayguard to
// distinguish replays and retries from new calls, and submits new calls to the gateway. Messages
// that cannot be verified go no further.
//
//	outcome    status
//	served     200  the worker's answer
//	refused    503  with Retry-After; a retry does no harm
//	failed     502  the attempts that the call allows are used up; 504: its deadline has passed.
//	                In both cases it may have been executed
//	forged     401  no client's key verifies it, or its timestamp is too old or too far ahead
//	replayed   409  this exact message was accepted before
//	reused     422  the id was used with another body
//	unknown    404  no such function
//	too large  413
//
// All responses but 200 are problem details (RFC 9457) with the member "outcome". The response to a
// verified message has a webhook-id that binds the outcome to the request's id, and is signed with
// the key that verified the request.
package webhook
