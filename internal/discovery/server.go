package discovery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"kitehub/internal/http1"
)

// LongPollTimeout is how long a server may hold a poll before it answers that nothing has changed.
const LongPollTimeout = 10 * time.Second

const (
	pollTimeout = LongPollTimeout + 5*time.Second // for the answer to a poll: a longer silence is a fault
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

var pollLimits = http1.Limits{MaxBodyBytes: maxUpdateBytes}.WithDefaults()

// A pollStream is one connection after the other to the server, and the request that continues from the last update.
// It belongs to the goroutine of watchServer.
type pollStream struct {
	conn    net.Conn // nil while there is none
	reader  *bufio.Reader
	request Request
}

// watchServer sends one long poll after the other, and applies the updates.
func (w *Watcher) watchServer() {
	defer w.wg.Done()
	stream := &pollStream{request: Request{
		Node:          Node{w.cfg.Node},
		ResourceNames: []string{w.cfg.Cluster},
		TypeURL:       TypeAssignment,
	}}
	defer stream.close()
	failures := 0 // in a row
	for w.ctx.Err() == nil {
		update, err := w.poll(stream)
		if err != nil {
			stream.close()
			failures++
			w.sleepAfterFailure(err, failures)
			continue
		}
		failures = 0
		if update != nil {
			w.applyFromServer(stream, update)
		}
	}
}

// applyFromServer applies an update, and notes in the next request that it is accepted or rejected.
func (w *Watcher) applyFromServer(stream *pollStream, update *Update) {
	request := &stream.request
	request.ResponseNonce = update.Nonce
	request.ErrorDetail = nil
	if err := w.apply(*update); err != nil {
		w.cfg.Log.Warn().Err(err).Str("nonce", update.Nonce).Msg(logRejected)
		request.ErrorDetail = &ErrorDetail{Code: codeInvalidArgument, Message: err.Error()}
	}
	request.VersionInfo = w.state.Version
}

// sleepAfterFailure logs a failure and waits before the next attempt.
func (w *Watcher) sleepAfterFailure(err error, failures int) {
	if w.ctx.Err() != nil {
		return
	}
	wait := backoff(failures, minBackoff, maxBackoff, rand.Float64())
	w.cfg.Log.Warn().Err(err).Int("failures", failures).Dur("again_in", wait).Msg("endpoint list server unreachable")
	w.sleep(wait)
}

// backoff returns how long to wait after so many failures in a row: twice as long each time, from least to most, and
// from half of that to all of it by the draw in [0, 1), so that many controllers do not retry in step.
func backoff(failures int, least, most time.Duration, draw float64) time.Duration {
	wait := least
	for i := 1; i < failures && wait < most; i++ {
		wait *= 2
	}
	return time.Duration(float64(min(wait, most)) * (0.5 + draw/2))
}

// poll sends one long poll, on a new connection if there is none. Nil without an error means that nothing has
// changed.
func (w *Watcher) poll(stream *pollStream) (*Update, error) {
	if stream.conn == nil {
		if err := w.connect(stream); err != nil {
			return nil, err
		}
	}
	response, err := w.exchange(stream)
	if err != nil {
		return nil, err
	}
	if response.Close {
		stream.conn.Close() // the next poll fails on it, and connects anew
	}
	switch response.Status {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
	default:
		return nil, fmt.Errorf("status %d", response.Status)
	}
	var update Update
	if err := json.Unmarshal(response.Body, &update); err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
	}
	return &update, nil
}

func (w *Watcher) connect(stream *pollStream) error {
	conn, err := w.cfg.Dial(w.ctx, "tcp", w.cfg.Server)
	if err != nil {
		return err
	}
	stream.conn = conn
	stream.reader = bufio.NewReaderSize(conn, http1.ReadBufferSize)
	w.state.Reconnected()
	w.mu.Lock()
	w.conn = conn
	w.mu.Unlock()
	return nil
}

// exchange writes the request and reads the response to it.
func (w *Watcher) exchange(stream *pollStream) (*http1.Response, error) {
	body, err := json.Marshal(&stream.request)
	if err != nil {
		return nil, err
	}
	request := &http1.Request{Method: http.MethodPost, Target: EndpointsPath, Body: body, Header: http1.Header{
		{Name: "Host", Value: w.cfg.Server},
		{Name: "User-Agent", Value: "kitehub/" + w.cfg.Node},
		{Name: "Content-Type", Value: "application/json"},
	}}
	stream.conn.SetDeadline(time.Now().Add(pollTimeout))
	if _, err := stream.conn.Write(http1.AppendRequest(nil, request)); err != nil {
		return nil, err
	}
	return http1.ReadResponse(stream.reader, &pollLimits, http.MethodPost)
}

func (s *pollStream) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}
