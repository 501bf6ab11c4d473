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

// LongPollTimeout is how long a server may hold a poll before it responds that nothing has changed.
const LongPollTimeout = 10 * time.Second

const (
	responseTimeout = LongPollTimeout + 5*time.Second // longer waits for a response are errors
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
)

var pollLimits = http1.Limits{MaxBodyBytes: maxUpdateBytes}.WithDefaults()

// A pollSession holds the current connection to the server and the next request to it. Only the
// goroutine of watchServer uses it.
type pollSession struct {
	conn    net.Conn // nil if there is none
	reader  *bufio.Reader
	request Request
}

// watchServer sends one long poll after another and applies the updates received.
func (w *Watcher) watchServer() {
	defer w.wg.Done()
	session := &pollSession{request: Request{
		Node:          Node{w.cfg.Node},
		ResourceNames: []string{w.cfg.Cluster},
		TypeURL:       TypeAssignment,
	}}
	defer session.close()
	failures := 0 // consecutive
	for w.ctx.Err() == nil {
		update, err := w.poll(session)
		if err != nil {
			session.close()
			failures++
			w.waitBeforeRetry(err, failures)
			continue
		}
		failures = 0
		if update != nil {
			w.applyFromServer(session, update)
		}
	}
}

// applyFromServer applies an update and sets the next request to accept or reject it.
func (w *Watcher) applyFromServer(session *pollSession, update *Update) {
	request := &session.request
	request.ResponseNonce = update.Nonce
	request.ErrorDetail = nil
	if err := w.apply(*update); err != nil {
		w.cfg.Log.Warn().Err(err).Str("nonce", update.Nonce).Msg(logRejected)
		request.ErrorDetail = &ErrorDetail{Code: codeInvalidArgument, Message: err.Error()}
	}
	request.VersionInfo = w.state.Version
}

// waitBeforeRetry logs a failed poll and waits before the next one.
func (w *Watcher) waitBeforeRetry(err error, failures int) {
	if w.ctx.Err() != nil {
		return
	}
	wait := backoff(failures, minBackoff, maxBackoff, rand.Float64())
	w.cfg.Log.Warn().Err(err).Int("failures", failures).Dur("again_in", wait).Msg("endpoint list server unreachable")
	w.sleep(wait)
}

// backoff returns how long to wait after the given number of consecutive failures. The wait doubles
// with each failure from minWait to maxWait. It is then reduced to between half and all of that by
// random, a number in [0, 1), so that many controllers do not retry at the same time.
func backoff(failures int, minWait, maxWait time.Duration, random float64) time.Duration {
	wait := minWait
	for i := 1; i < failures && wait < maxWait; i++ {
		wait *= 2
	}
	return time.Duration(float64(min(wait, maxWait)) * (0.5 + random/2))
}

// poll sends one long poll, opening a connection if there is none. It returns nil without an error
// if nothing has changed.
func (w *Watcher) poll(session *pollSession) (*Update, error) {
	if session.conn == nil {
		if err := w.connect(session); err != nil {
			return nil, err
		}
	}
	response, err := w.roundTrip(session)
	if err != nil {
		return nil, err
	}
	if response.Close {
		session.conn.Close() // the next poll fails on it, and the one after reconnects
	}
	switch response.Status {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
	default:
		return nil, fmt.Errorf("unexpected status %d", response.Status)
	}
	var update Update
	if err := json.Unmarshal(response.Body, &update); err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
	}
	return &update, nil
}

func (w *Watcher) connect(session *pollSession) error {
	conn, err := w.cfg.Dial(w.ctx, "tcp", w.cfg.Server)
	if err != nil {
		return err
	}
	session.conn = conn
	session.reader = bufio.NewReaderSize(conn, http1.ReadBufferSize)
	w.state.Reconnected()
	w.mu.Lock()
	w.conn = conn
	w.mu.Unlock()
	return nil
}

// roundTrip writes the request and reads the response.
func (w *Watcher) roundTrip(session *pollSession) (*http1.Response, error) {
	body, err := json.Marshal(&session.request)
	if err != nil {
		return nil, err
	}
	request := &http1.Request{Method: http.MethodPost, Target: EndpointsPath, Body: body, Header: http1.Header{
		{Name: "Host", Value: w.cfg.Server},
		{Name: "User-Agent", Value: "kitehub/" + w.cfg.Node},
		{Name: "Content-Type", Value: "application/json"},
	}}
	session.conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := session.conn.Write(http1.AppendRequest(nil, request)); err != nil {
		return nil, err
	}
	return http1.ReadResponse(session.reader, &pollLimits, http.MethodPost)
}

func (s *pollSession) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}
