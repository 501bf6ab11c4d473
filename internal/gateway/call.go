package gateway

import (
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// A Call is submitted by an ingress. It must not be changed after Submit.
type Call struct {
	// ID identifies the call in logs and for Explain. It need not be unique.
	ID string
	// Function is the function to run.
	Function *Function
	// Binding is the target that an alias was resolved to. Nil: the function has no versions.
	Binding *VersionBinding
	// Tenant is an index into Settings.Tenants. An index out of range means no tenant.
	Tenant int
	// Client is the name of the authenticated client, for logs and hooks.
	Client string
	// Body is sent to the worker unchanged.
	Body []byte
	// TimeLeft is how long the client keeps waiting, counted from ReceivedAt.
	TimeLeft time.Duration
	// ReceivedAt is when the call had arrived, on the gateway's clock; 0: at Submit.
	ReceivedAt time.Duration
	// IdempotencyKey is "" if the class has no keys.
	IdempotencyKey string
	// TraceID is the W3C trace id.
	TraceID [16]byte
	// Retry is set if the client marks the call as a retry. Such calls are shed first under
	// overload.
	Retry bool
	// RunTimeHint is how long the client expects the call to run; 0: unknown.
	RunTimeHint time.Duration
	// Earlier describes the first run of the call if its client has sent it before and it may have
	// run, as Answer.FirstRun gave it. Nil: it has not run.
	Earlier *scheduler.EarlierRun
	// Deliver receives the final answer. It is called exactly once unless the gateway is killed, on
	// any goroutine, also after a Cancel (with ClientClosed). It must not block.
	Deliver func(Answer)
	// Released, if set, is called once after Submit has accepted the call, on the loop's goroutine: when
	// the call is answered and none of its attempts is in flight, so that nothing holds its body any
	// more. It is not called for calls that are in flight when the gateway stops.
	Released func()
	// ClientClosed, if set, reports whether the client has closed its connection, also before that has been
	// read. It is called on any goroutine just before the first byte of each attempt, which is not sent
	// then, and must not block.
	ClientClosed func() bool
	// Progress, if set, is called on the loop's goroutine for each attempt that is sent. The
	// arguments are the attempt's number from 0, its worker, and whether the attempt may wait for a
	// load. It must not block.
	Progress func(attempt int, worker string, load bool)

	verdict     hookadvice.Verdict // the hooks' advice
	submittedAt time.Duration      // on the gateway's clock
}

// VersionBinding is the target that a call of a model's alias was resolved to.
type VersionBinding struct {
	// Name is the model and the alias that the client named.
	Name registry.AliasName
	// Target is the version that the alias named when the call was resolved.
	Target registry.Target
	// Restarts counts how often the call was resolved again because the alias had left its version.
	Restarts int
}

// AnswerKind is how a request ended.
type AnswerKind int

const (
	// Served means that a worker answered.
	Served AnswerKind = iota + 1
	// Rejected means that the client may retry: the request did not run, or running it again does
	// no harm.
	Rejected
	// Failed gives no guarantee: the request may have run.
	Failed
	// ClientClosed means that the client closed first.
	ClientClosed
	// Superseded means that the alias has left the call's version, or may have: see Answer.Verdict.
	// The ingress resolves the call again or rejects it.
	Superseded
)

// String returns the kind's name in logs, events and the operators' JSON, or "" while a request has
// no answer.
func (k AnswerKind) String() string {
	return [...]string{"", "served", "refused", "failed", "gone", "left"}[k]
}

// An Answer is the final answer to a request.
type Answer struct {
	Kind AnswerKind
	// Body is the response body of the worker, if served.
	Body []byte
	// RetryAfter advises, if rejected, how long the client should wait before it retries; 0: no
	// advice.
	RetryAfter time.Duration
	// DeadlineExceeded tells, if failed, that the deadline passed while an attempt was in flight,
	// rather than that no further attempt was possible.
	DeadlineExceeded bool
	// MayHaveRun tells that an attempt may have run. It is set unless the request was served.
	MayHaveRun bool
	// FirstRun describes the first attempt that may have run; nil: none has. If the client sends the
	// same call once more, as it did not get the answer, it has to be submitted with it as Earlier.
	FirstRun *scheduler.EarlierRun
	// Verdict is why a call was superseded: the alias has left the version, or this controller's
	// lease has expired.
	Verdict registry.Verdict
}
