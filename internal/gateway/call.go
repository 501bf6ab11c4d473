package gateway

import (
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/registry"
)

// A Call is what an ingress submits. It must not be changed after Submit.
type Call struct {
	// ID names the call in logs and for Explain. It need not be unique.
	ID string
	// Function is what to run.
	Function *Function
	// Binding is the version that an alias was resolved to; nil: the function has no versions.
	Binding *VersionBinding
	// Tenant is an index of Settings.Tenants; out of its range: none.
	Tenant int
	// Client is the name of the authenticated client, for logs and hooks.
	Client string
	// Body goes to the worker as it is.
	Body []byte
	// TimeLeft is how long the client still waits.
	TimeLeft time.Duration
	// IdempotencyKey is the idempotency key; "" where the class has none.
	IdempotencyKey string
	// TraceID is the W3C trace id.
	TraceID [16]byte
	// Retry says that the client marks the call as a retry: it is shed first under overload.
	Retry bool
	// RunTimeHint is how long the client expects the call to run; 0: unknown.
	RunTimeHint time.Duration
	// Deliver gets the final answer. It is called exactly once unless the gateway is killed, on any goroutine, also
	// after a Cancel (with ClientClosed). It must not block.
	Deliver func(Answer)
	// Progress, where set, is notified on the loop's goroutine of each attempt that is sent, counted from 0, and whether
	// the attempt may wait for a load. It must not block.
	Progress func(attempt int, worker string, load bool)

	verdict     hookadvice.Verdict // the hooks' advice
	submittedAt time.Duration      // on the gateway's clock
}

// VersionBinding is what a call of a model's alias was resolved to.
type VersionBinding struct {
	// Name is the model and the alias that the client named.
	Name registry.AliasName
	// Target is the version that the alias named when the call was resolved.
	Target registry.Target
	// Restarts is how often the call was resolved anew because the alias left its version.
	Restarts int
}

// AnswerKind is how a request ended.
type AnswerKind int

const (
	// Served is an answer of a worker.
	Served AnswerKind = iota + 1
	// Rejected is a refusal: another attempt by the client does no harm.
	Rejected
	// Failed promises nothing: the request may have run.
	Failed
	// ClientClosed is that the client closed first.
	ClientClosed
	// Superseded is that the alias has left the call's version, or may have; see Answer.Verdict. The ingress resolves
	// the call anew or rejects it.
	Superseded
)

// String returns the kind's word in logs, events and the operators' JSON; "" while a request has no answer.
func (k AnswerKind) String() string {
	return [...]string{"", "served", "refused", "failed", "gone", "left"}[k]
}

// An Answer is the final one of a request.
type Answer struct {
	Kind AnswerKind
	// Body is the worker's, where served.
	Body []byte
	// RetryAfter advises, where rejected, how long to wait before the next attempt; 0: no advice.
	RetryAfter time.Duration
	// DeadlineExceeded tells, where failed, that the time was up rather than the attempts.
	DeadlineExceeded bool
	// MayHaveRun tells, where the client closed or the version was superseded, that an attempt may have run.
	MayHaveRun bool
	// Verdict is why a call was superseded: the alias has left the version, or this controller's lease is over.
	Verdict registry.Verdict
}
