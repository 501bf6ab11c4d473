package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

// A Caller is who may speak to the registry.
type Caller struct {
	Name       string
	Keys       []*signing.Key // any verifies; answers are signed by the one that did
	Operator   bool           // may give commands
	Controller bool           // may hold a lease, under its own name
}

// A Front takes signed messages over HTTP/1.1. It is safe for concurrent use.
type Front struct {
	service *Service
	callers []Caller
	maxSkew time.Duration // how old, or far ahead, a timestamp may be
}

// NewFront returns the front of a service.
func NewFront(s *Service, callers []Caller, past time.Duration) *Front {
	return &Front{service: s, callers: callers, maxSkew: past}
}

func problem(status int, kind, detail string) *http1.Response {
	body, _ := json.Marshal(map[string]any{"type": "urn:kitehub:registry:" + kind, "status": status, "detail": detail})
	return &http1.Response{Status: status, Header: http1.Header{{Name: "Content-Type", Value: "application/problem+json"}}, Body: append(body, '\n')}
}

func answer(status int, v any) *http1.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return problem(500, "fault", err.Error())
	}
	return &http1.Response{Status: status, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: append(body, '\n')}
}

// Serve implements http1.Handler.
func (f *Front) Serve(c *http1.Conn, r *http1.Request) *http1.Response {
	if r.Method != "POST" {
		resp := problem(405, "method", "all is POSTed, as the signature covers the body")
		resp.Header.Add("Allow", "POST")
		return resp
	}
	h := r.Header
	m := signing.Message{ID: h.Get("webhook-id"), Stamp: h.Get("webhook-timestamp"), Body: r.Body}
	var who *Caller
	var key *signing.Key
	for i := range f.callers {
		for _, k := range f.callers[i].Keys {
			if who == nil && k.Verify(m, h.Get("webhook-signature")) {
				who, key = &f.callers[i], k
			}
		}
	}
	stamp, ok := signing.ParseStamp(m.Stamp)
	if who == nil || !ok || m.ID == "" || len(m.ID) > 128 || strings.ContainsRune(m.ID, '.') || strings.HasPrefix(m.ID, signing.AnswerPrefix) {
		return problem(401, "forged", "no signature is valid")
	}
	if d := f.service.cfg.Clock.Wall().Sub(stamp); d > f.maxSkew || d < -f.maxSkew {
		return problem(401, "forged", fmt.Sprintf("webhook-timestamp is %v off", d.Round(time.Second)))
	}
	resp := f.route(c, r, who, m.ID)
	if resp == nil {
		return nil
	}
	// An answer is bound to its question by the id.
	a := signing.Message{ID: signing.AnswerID(strconv.Itoa(resp.Status), m.ID), Stamp: strconv.FormatInt(f.service.cfg.Clock.Wall().Unix(), 10), Body: resp.Body}
	if s, err := key.Sign(a); err == nil {
		resp.Header.Add("webhook-id", a.ID)
		resp.Header.Add("webhook-timestamp", a.Stamp)
		resp.Header.Add("webhook-signature", s)
	}
	return resp
}

func (f *Front) route(c *http1.Conn, r *http1.Request, who *Caller, id string) *http1.Response {
	switch r.Path() {
	case wire.CommandPath:
		if !who.Operator {
			return problem(403, "forbidden", who.Name+" is no operator")
		}
		return f.command(r, who, id)
	case wire.QueryPath:
		return f.query(r)
	case wire.DiscoveryPath:
		if !who.Controller {
			return problem(403, "forbidden", who.Name+" is no controller")
		}
		return f.discovery(c, r, who)
	}
	return problem(404, "unknown", "no such path")
}

// command takes a signed command. The message's id is its key.
func (f *Front) command(r *http1.Request, who *Caller, id string) *http1.Response {
	var q wire.Command
	if err := unmarshalStrict(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	sum := sha256.Sum256(r.Body)
	rec := record{Key: who.Name + " " + id, Sum: hex.EncodeToString(sum[:]), Push: q.Push, Promote: q.Promote, Rollback: q.Rollback, Condemn: q.Condemn, Policy: q.Policy, Collect: q.Collect}
	condition, conditional := r.Header.Get("If-Match"), r.Header.Count("If-Match") > 0
	match := func(revision *uint64) *http1.Response {
		if !conditional {
			return problem(428, "condition", "a move needs If-Match with the revision that the alias has")
		}
		n, err := strconv.ParseUint(strings.Trim(condition, `"`), 10, 64)
		if err != nil || condition != `"`+strconv.FormatUint(n, 10)+`"` {
			return problem(400, "bad", "If-Match: "+strconv.Quote(condition)+` is not a revision in quotes, like "3"`)
		}
		if n != *revision { // the signed body has it too: the header alone could be changed on the way
			return problem(400, "bad", fmt.Sprintf("If-Match is %d, if_revision in the body is %d", n, *revision))
		}
		return nil
	}
	var refusal *http1.Response
	switch {
	case q.Promote != nil:
		refusal = match(&q.Promote.IfRevision)
		q.Promote.By = who.Name
	case q.Rollback != nil:
		refusal = match(&q.Rollback.IfRevision)
		q.Rollback.By = who.Name
	case q.Push != nil:
		q.Push.By = who.Name
	case q.Condemn != nil:
		q.Condemn.By = who.Name
	case q.Policy != nil:
		q.Policy.By = who.Name
	case q.Collect != nil:
		q.Collect.By = who.Name
		known := false
		f.service.Do(func(now time.Duration, _ *registry.State, l *registry.Leases) { q.Collect.Except, known = l.Uses(now) })
		if !known {
			return problem(503, "early", "not every controller can have told yet what its calls still name: ask again after a lease")
		}
	}
	if refusal != nil {
		return refusal
	}
	c, err := rec.command()
	if err != nil {
		return problem(400, "bad", err.Error())
	}
	effects, err := f.service.Commit(c)
	var refused *Refused
	switch {
	case errors.Is(err, registry.ErrRevisionChanged):
		return problem(412, "revision", err.Error())
	case errors.Is(err, registry.ErrKeyReused):
		return problem(422, "key", err.Error())
	case errors.As(err, &refused):
		return problem(409, "refused", err.Error())
	case errors.Is(err, store.ErrBroken), errors.Is(err, store.ErrClosed):
		return problem(503, "broken", err.Error()+": whether the command was committed is not known, send it again with its key")
	case err != nil:
		return problem(507, "storage", err.Error()+": not committed")
	}
	a := wire.Answer{}
	for _, e := range effects {
		switch e := e.(type) {
		case registry.MigrationStarted:
			a.Migration = e.Migration
		case registry.Replayed:
			a.Migration, a.Replayed = e.Migration, true
		case registry.Collected:
			a.Collected = append(a.Collected, wire.Collected{Model: e.Model, Version: e.Version, Digest: e.Digest})
		}
	}
	status := 200
	if a.Migration > 0 {
		a.Status, a.Why = f.service.Await(a.Migration, min(time.Duration(q.WaitMS)*time.Millisecond, maxWait))
		if a.Status == "staging" || a.Status == "fenced" {
			status = 202
		}
	}
	return answer(status, a)
}

// maxWait is how long a command may wait for its move.
const maxWait = 30 * time.Second

func (f *Front) query(r *http1.Request) *http1.Response {
	var q wire.Query
	if err := unmarshalStrict(r.Body, &q); err != nil {
		return problem(400, "bad", err.Error())
	}
	a := wire.Answer{}
	switch q.What {
	case "list":
		f.service.Do(func(now time.Duration, st *registry.State, l *registry.Leases) {
			a.Epoch, a.Confirmed, a.Holders = st.Epoch, st.Confirmed, l.Holders(now)
			for _, m := range st.Models {
				if q.Model != "" && q.Model != m.Name {
					continue
				}
				text, _ := json.Marshal(m) // a copy: the state goes on
				a.Models = append(a.Models, text)
			}
		})
		slices.SortFunc(a.Models, func(x, y json.RawMessage) int { return strings.Compare(string(x), string(y)) })
	case "history":
		f.service.Do(func(now time.Duration, st *registry.State, _ *registry.Leases) {
			wall := f.service.cfg.Clock.Wall()
			for _, h := range st.History {
				if q.Model == "" || slices.Contains(strings.Fields(h.What), q.Model) {
					a.History = append(a.History, wire.HistoryEntry{At: wall.Add(h.At - now), By: h.By, What: h.What, Why: h.Why})
				}
			}
		})
	case "move":
		a.Migration = q.Migration
		a.Status, a.Why = f.service.Await(q.Migration, min(time.Duration(q.WaitMS)*time.Millisecond, maxWait))
	case "watch":
		end := time.Now().Add(min(time.Duration(q.WaitMS)*time.Millisecond, maxWait))
		for {
			var changed chan struct{}
			f.service.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) {
				a.Epoch, changed = st.Epoch, f.service.changed
				if st.Epoch > q.Since {
					a.Targets = aliasesOf(st.Send(q.Since))
				}
			})
			if a.Epoch > q.Since || !waitForChange(f.service, changed, time.Until(end)) {
				break
			}
		}
	case "export":
		var err error
		f.service.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) { a.State, err = json.Marshal(st) })
		if err != nil {
			return problem(500, "fault", err.Error())
		}
	default:
		return problem(400, "bad", fmt.Sprintf("what: %q is none of list, history, move, watch, export", q.What))
	}
	return answer(200, a)
}

// waitForChange waits for a change; false when the time is up or the service ends.
func waitForChange(s *Service, changed chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-s.closed:
	}
	return false
}

func aliasesOf(t registry.ViewUpdate) (l []wire.Alias) {
	for n, x := range t.Targets {
		l = append(l, wire.Alias{Type: wire.TypeAlias, Model: n.Model, Alias: n.Alias, Version: x.Version, Digest: x.Digest, Revision: x.Revision})
	}
	slices.SortFunc(l, func(a, b wire.Alias) int { return strings.Compare(a.Model+"\x00"+a.Alias, b.Model+"\x00"+b.Alias) })
	return l
}

// discovery answers a controller's long poll: it renews the lease first, and tells then what holds, so that a move which
// is fenced in between waits for this controller.
func (f *Front) discovery(c *http1.Conn, r *http1.Request, who *Caller) *http1.Response {
	var q wire.Request
	if err := json.Unmarshal(r.Body, &q); err != nil { // fields that it does not know are a later version's
		return problem(400, "bad", err.Error())
	}
	if q.TypeURL != wire.TypeAlias {
		return problem(400, "bad", fmt.Sprintf("type_url: %q is not %s", q.TypeURL, wire.TypeAlias))
	}
	if q.Node.ID != who.Name {
		return problem(403, "forbidden", fmt.Sprintf("node.id: %q speaks with the key of %q", q.Node.ID, who.Name))
	}
	var epoch uint64
	if q.VersionInfo != "" {
		var err error
		if epoch, err = strconv.ParseUint(q.VersionInfo, 10, 64); err != nil {
			return problem(400, "bad", fmt.Sprintf("version_info: %q is no epoch", q.VersionInfo))
		}
	}
	s := f.service
	s.mu.Lock()
	now := s.now()
	// A controller that refuses what it was told gives up its lease in time: it must not hold moves up for ever.
	if q.ErrorDetail == nil {
		if err := s.leases.Renew(now, who.Name, epoch, s.state.Epoch, q.Uses); err != nil {
			s.mu.Unlock()
			return problem(409, "lease", err.Error())
		}
		delete(s.lastNack, who.Name)
	} else if s.lastNack[who.Name] != q.ErrorDetail.Message {
		s.lastNack[who.Name] = q.ErrorDetail.Message
		s.cfg.Log.Warn().Str("from", who.Name).Str("why", q.ErrorDetail.Message).Msg("refused by a controller: its lease is not renewed")
	}
	s.mu.Unlock()
	s.wake()
	f.commitReports(q)
	end := time.Now().Add(s.cfg.Hold)
	for {
		s.mu.Lock()
		since := epoch
		if q.ResponseNonce == "" {
			since = 0 // it has just come: all is told
		}
		told := s.state.Send(since)
		a := wire.Response{VersionInfo: strconv.FormatUint(told.Epoch, 10), TypeURL: wire.TypeAlias, Since: told.Since,
			LeaseMS: float64(told.Lease) / float64(time.Millisecond), SettleMS: float64(told.Settle) / float64(time.Millisecond), Condemned: told.Condemned, Stage: f.stagedFor(who.Name)}
		for m := range told.Stale {
			a.Stale = append(a.Stale, m)
		}
		changed := s.changed
		s.mu.Unlock()
		slices.Sort(a.Stale)
		if q.ResponseNonce == "" || told.Epoch != epoch || !slices.Equal(a.Stage, q.Staging) || !waitForChange(s, changed, time.Until(end)) {
			a.Nonce = a.VersionInfo + "-" + strconv.FormatInt(int64(now), 36)
			a.Resources = aliasesOf(told)
			return answer(200, a)
		}
	}
}

// stagedFor returns the versions of which a controller is to have copies loaded. The service's mu is held.
func (f *Front) stagedFor(controller string) (l []wire.Stage) {
	st, now := f.service.state, f.service.now()
	for _, m := range st.Models {
		for _, a := range m.Aliases {
			if mv := a.Migration; mv != nil && !mv.Fenced && f.service.leases.Stager(now, registry.VersionRef{Model: m.Name, Version: mv.To}) == controller {
				v := m.Versions[mv.To]
				l = append(l, wire.Stage{Model: m.Name, Version: v.Name, Digest: v.Digest, Copies: mv.Copies, Alias: a.Name})
			}
		}
	}
	slices.SortFunc(l, func(a, b wire.Stage) int { return strings.Compare(a.Model+"\x00"+a.Version, b.Model+"\x00"+b.Version) })
	return slices.Compact(l)
}

// commitReports commits what a controller tells of copies that stand and calls that ended, where it is news to a move.
func (f *Front) commitReports(q wire.Request) {
	for _, x := range q.CopiesReady {
		news := false
		f.service.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) {
			if m := st.Models[x.Model]; m != nil && m.Versions[x.Version] != nil {
				news = m.Versions[x.Version].Copies[x.Worker] != x.Copies && m.Versions[x.Version].Phase != registry.Condemned
			}
		})
		if news {
			f.service.Commit(registry.CopiesReady{Model: x.Model, Version: x.Version, Worker: x.Worker, Copies: x.Copies})
		}
	}
	for _, x := range q.CallsEnded {
		watched := false
		f.service.Do(func(now time.Duration, st *registry.State, _ *registry.Leases) {
			if m := st.Models[x.Model]; m != nil && m.Versions[x.Version] != nil {
				v := m.Versions[x.Version]
				watched = v.Phase == registry.Live && (now < v.Since+st.Settings.ErrorWatch || v.Calls < st.Settings.MinCalls)
			}
		})
		if watched {
			f.service.Commit(registry.CallsEnded{Model: x.Model, Version: x.Version, Calls: x.Calls, Errors: x.Errors})
		}
	}
}
