package service

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
	"kitehub/internal/store"
)

// maxWait bounds how long a command or a query may wait.
const maxWait = 30 * time.Second

// waitTime returns how long a request waits that asks for so many milliseconds.
func waitTime(ms int64) time.Duration { return min(time.Duration(ms)*time.Millisecond, maxWait) }

// command commits an operator's command. The message's id is its idempotency key, among the caller's own.
func (f *Handler) command(r *http1.Request, caller *Client, id string) *http1.Response {
	var q wire.Command
	if err := unmarshalStrict(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	if resp := checkRevision(r, &q); resp != nil {
		return resp
	}
	if resp := f.complete(&q, caller.Name); resp != nil {
		return resp
	}
	sum := sha256.Sum256(r.Body)
	rec := record{
		Key:      caller.Name + " " + id,
		Sum:      hex.EncodeToString(sum[:]),
		Push:     q.Push,
		Promote:  q.Promote,
		Rollback: q.Rollback,
		Condemn:  q.Condemn,
		Policy:   q.Policy,
		Collect:  q.Collect,
	}
	c, err := rec.command()
	if err != nil {
		return problem(400, "bad", err.Error())
	}
	effects, err := f.service.Commit(c)
	if err != nil {
		return commitProblem(err)
	}
	a := answerOf(effects)
	status := 200
	if a.Migration > 0 {
		a.Status, a.Reason = f.service.AwaitMigration(a.Migration, waitTime(q.WaitMS))
		if inProgress(a.Status) {
			status = 202
		}
	}
	return answer(status, a)
}

// checkRevision returns a problem where a command that starts a migration does not name one revision both in the
// header If-Match and in its body. Only the body is signed: the header alone could be changed on the way.
func checkRevision(r *http1.Request, q *wire.Command) *http1.Response {
	var revision uint64
	switch {
	case q.Promote != nil:
		revision = q.Promote.IfRevision
	case q.Rollback != nil:
		revision = q.Rollback.IfRevision
	default:
		return nil
	}
	if r.Header.Count("If-Match") == 0 {
		return problem(428, "condition", "a move needs If-Match with the revision that the alias has")
	}
	condition := r.Header.Get("If-Match")
	n, err := strconv.ParseUint(strings.Trim(condition, `"`), 10, 64)
	if err != nil || condition != `"`+strconv.FormatUint(n, 10)+`"` {
		return problem(400, "bad", "If-Match: "+strconv.Quote(condition)+` is not a revision in quotes, like "3"`)
	}
	if n != revision {
		return problem(400, "bad", fmt.Sprintf("If-Match is %d, if_revision in the body is %d", n, revision))
	}
	return nil
}

// complete puts into a command what the message does not decide: who sent it, and which versions are in use. A
// message with several commands is rejected later, so only one of them is completed.
func (f *Handler) complete(q *wire.Command, operator string) *http1.Response {
	switch {
	case q.Promote != nil:
		q.Promote.By = operator
	case q.Rollback != nil:
		q.Rollback.By = operator
	case q.Push != nil:
		q.Push.By = operator
	case q.Condemn != nil:
		q.Condemn.By = operator
	case q.Policy != nil:
		q.Policy.By = operator
	case q.Collect != nil:
		q.Collect.By = operator
		return f.exceptVersionsInUse(q.Collect)
	}
	return nil
}

// exceptVersionsInUse excepts the versions from collection under which calls may run, or returns a problem while that
// is not known.
func (f *Handler) exceptVersionsInUse(c *registry.Collect) *http1.Response {
	known := false
	f.service.Inspect(func(now time.Duration, _ *registry.State, l *registry.Leases) {
		c.Except, known = l.VersionsInUse(now)
	})
	if !known {
		return problem(503, "early", "not every controller can have told yet what its calls still name: ask again after a lease")
	}
	return nil
}

// commitProblem returns the problem for an error of Commit.
func commitProblem(err error) *http1.Response {
	var rejected *RejectedError
	switch {
	case errors.Is(err, registry.ErrRevisionChanged):
		return problem(412, "revision", err.Error())
	case errors.Is(err, registry.ErrKeyReused):
		return problem(422, "key", err.Error())
	case errors.As(err, &rejected):
		return problem(409, "refused", err.Error())
	case errors.Is(err, store.ErrBroken), errors.Is(err, store.ErrClosed):
		return problem(503, "broken", err.Error()+": whether the command was committed is not known, send it again with its key")
	}
	return problem(507, "storage", err.Error()+": not committed")
}

// answerOf returns what an operator learns of a command's effects.
func answerOf(effects []registry.Effect) (a wire.Response) {
	for _, e := range effects {
		switch e := e.(type) {
		case registry.MigrationStarted:
			a.Migration = e.Migration
		case registry.Replayed:
			a.Migration = e.Migration
			a.Replayed = true
		case registry.Collected:
			a.Collected = append(a.Collected, wire.Collected{Model: e.Model, Version: e.Version, Digest: e.Digest})
		}
	}
	return a
}
