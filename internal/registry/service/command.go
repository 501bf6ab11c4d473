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

// waitTime returns how long a request waits that asks for a number of milliseconds.
func waitTime(ms int64) time.Duration { return min(time.Duration(ms)*time.Millisecond, maxWait) }

// command commits an operator's command. The ID of the message is the idempotency key; each client
// has its own keys.
func (h *Handler) command(r *http1.Request, client *Client, id string) *http1.Response {
	var q wire.Command
	if err := unmarshalStrict(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	if resp := checkRevision(r, &q); resp != nil {
		return resp
	}
	if resp := h.addServerFields(&q, client.Name); resp != nil {
		return resp
	}
	checksum := sha256.Sum256(r.Body)
	rec := record{
		Key:      client.Name + " " + id,
		Checksum: hex.EncodeToString(checksum[:]),
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
	effects, err := h.service.Commit(c)
	if err != nil {
		return commitProblem(err)
	}
	resp := commandResponse(effects)
	status := 200
	if resp.Migration > 0 {
		resp.Status, resp.Reason = h.service.AwaitMigration(resp.Migration, waitTime(q.WaitMS))
		if inProgress(resp.Status) {
			status = 202
		}
	}
	return success(status, resp)
}

// checkRevision returns a problem if a command that starts a migration does not give the same
// revision in the header If-Match and in its body. The signature covers only the body, so the
// header alone could be changed in transit.
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
		return problem(400, "bad", "If-Match: "+strconv.Quote(condition)+` is not a quoted revision such as "3"`)
	}
	if n != revision {
		return problem(400, "bad", fmt.Sprintf("If-Match is %d, if_revision in the body is %d", n, revision))
	}
	return nil
}

// addServerFields sets the fields of a command that its message does not decide: who sent it, and
// which versions are in use. A message with several commands is rejected later, so only one of them
// is completed here.
func (h *Handler) addServerFields(q *wire.Command, operator string) *http1.Response {
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
		return h.exceptVersionsInUse(q.Collect)
	}
	return nil
}

// exceptVersionsInUse excludes versions under which calls may run from a collection, or returns a
// problem while these versions are not known.
func (h *Handler) exceptVersionsInUse(c *registry.Collect) *http1.Response {
	known := false
	h.service.Inspect(func(now time.Duration, _ *registry.State, leases *registry.Leases) {
		c.Except, known = leases.VersionsInUse(now)
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
		return problem(503, "broken", err.Error()+": whether the command was committed is unknown, send it again with the same key")
	}
	return problem(507, "storage", err.Error()+": the command was not committed")
}

// commandResponse returns the response to a command with these effects.
func commandResponse(effects []registry.Effect) (resp wire.Response) {
	for _, e := range effects {
		switch e := e.(type) {
		case registry.MigrationStarted:
			resp.Migration = e.Migration
		case registry.Replayed:
			resp.Migration = e.Migration
			resp.Replayed = true
		case registry.Collected:
			resp.Collected = append(resp.Collected, wire.Collected{Model: e.Model, Version: e.Version, Digest: e.Digest})
		}
	}
	return resp
}
