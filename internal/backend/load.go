package backend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// A LoadOrder tells a worker to load copies of a function. If Copies is 0, it only asks how many
// copies are loaded.
type LoadOrder struct {
	Worker   scheduler.WorkerID
	Function string
	Digest   string // digest of the function's bytes to load; "" if the worker knows it
	Copies   int
}

// LoadCopies sends a load order. It calls done once, on a separate goroutine, with the number of
// copies that the worker has loaded.
func (b *Backend) LoadCopies(o LoadOrder, done func(outcome scheduler.Outcome, copies int, took time.Duration)) {
	go func() {
		start := b.cfg.Clock.Now()
		outcome, copies := b.loadCopies(o)
		done(outcome, copies, b.cfg.Clock.Now()-start)
	}()
}

func (b *Backend) loadCopies(o LoadOrder) (outcome scheduler.Outcome, copies int) {
	w := b.worker(o.Worker)
	if w == nil {
		return scheduler.NotStarted, 0
	}
	if o.Copies == 0 {
		return b.countCopies(w, o.Function)
	}
	digest := ""
	if o.Digest != "" {
		digest = `,"digest":` + strconv.Quote(o.Digest)
	}
	body := `{"parameters":{"copies":` + strconv.Itoa(o.Copies) + digest + `}}`
	req := b.newJSONRequest(w, pathLoad(o.Function), body)
	resp, outcome := b.exchange(&exchange{}, w, req, b.cfg.OrderTimeout)
	if outcome != scheduler.OK {
		return outcome, 0
	}
	if resp.Status != http.StatusOK {
		return failedLoad(resp)
	}
	return scheduler.OK, max(o.Copies, reportedCopies(resp))
}

// countCopies asks a worker, which may be draining, how many copies of a function it has loaded.
func (b *Backend) countCopies(w *worker, function string) (outcome scheduler.Outcome, copies int) {
	req := b.newJSONRequest(w, pathIndex, `{"ready":true}`)
	resp, outcome := b.exchange(&exchange{allowWithdrawn: true}, w, req, b.cfg.ProbeTimeout)
	if outcome != scheduler.OK {
		return outcome, 0
	}
	if resp.Status != http.StatusOK {
		return failedLoad(resp)
	}
	copies, ok := copiesInIndex(resp.Body, function)
	if !ok {
		return scheduler.Error, 0
	}
	return scheduler.OK, copies
}

// failedLoad returns the outcome of a load order, and the number of loaded copies, from a response
// with a status other than 200.
func failedLoad(resp *http1.Response) (outcome scheduler.Outcome, copies int) {
	outcome = problemOutcome(resp)
	if outcome != scheduler.AtCapacity {
		outcome = scheduler.Error
	}
	return outcome, reportedCopies(resp)
}

// reportedCopies returns the number of loaded copies in the load report of a response, or 0 if the
// report does not contain it.
func reportedCopies(resp *http1.Response) int {
	return int(parseLoadReport(resp.Header.Get(HeaderLoadReport)).named["copies"])
}

// copiesInIndex returns how many copies of a function a repository index lists as ready. That is
// the entry's "copies" member, a kitehub extension, or 1 if the entry has none. It returns false if
// the index is malformed.
func copiesInIndex(body []byte, function string) (copies int, ok bool) {
	if !bytes.Contains(body, []byte(function)) { // avoids decoding a long index
		return 0, json.Valid(body)
	}
	var index []struct {
		Name   string `json:"name"`
		State  string `json:"state"`
		Copies *int   `json:"copies"`
	}
	if json.Unmarshal(body, &index) != nil {
		return 0, false
	}
	for _, model := range index {
		if model.Name != function || model.State != "READY" {
			continue
		}
		if model.Copies == nil {
			return 1, true
		}
		return max(0, *model.Copies), true
	}
	return 0, true
}

// Unload tells a worker to drop the idle copies of a function. It does not report the outcome.
func (b *Backend) Unload(id scheduler.WorkerID, function string) {
	if w := b.worker(id); w != nil {
		req := b.newJSONRequest(w, pathUnload(function), `{}`)
		go b.exchange(&exchange{}, w, req, b.cfg.ProbeTimeout)
	}
}

// Probe sends a health check to a worker, which may be draining. It calls done once, on a separate
// goroutine, with the worker's load report, or nil if there was none.
func (b *Backend) Probe(id scheduler.WorkerID, done func(o scheduler.Outcome, took time.Duration, report []float64)) {
	go func() {
		w := b.worker(id)
		if w == nil {
			done(scheduler.NotStarted, 0, nil)
			return
		}
		start := b.cfg.Clock.Now()
		req := &http1.Request{Method: http.MethodGet, Target: pathReady, Header: b.commonHeader(w)}
		resp, outcome := b.exchange(&exchange{allowWithdrawn: true}, w, req, b.cfg.ProbeTimeout)
		var report []float64
		if outcome == scheduler.OK {
			report = parseLoadReport(resp.Header.Get(HeaderLoadReport)).values(b.cfg.ReportFields)
			if resp.Status != http.StatusOK {
				outcome = scheduler.Error
			}
		}
		done(outcome, b.cfg.Clock.Now()-start, report)
	}()
}
