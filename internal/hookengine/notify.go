package hookengine

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/http1"
	"kitehub/internal/signing"
)

// A Target is where notices are sent.
type Target struct {
	Name    string
	Address string // host:port
	Path    string
	Key     *signing.Key // signs the notices
}

// A Notifier sends notices as signed webhooks (Standard Webhooks), one after the other, on a goroutine of its own.
// Each is sent a few times at most, with the same webhook-id: its receiver drops repeats. It is safe for concurrent
// use.
type Notifier struct {
	Sent   atomic.Int64
	Failed atomic.Int64 // after all attempts, or for want of a target
	Lost   atomic.Int64 // because too many waited

	targets   map[string]Target // by name
	name      string            // the controller's
	clock     clock.Clock
	log       zerolog.Logger
	queue     chan queuedNotice
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when the goroutine has ended
	closeOnce sync.Once
}

type queuedNotice struct {
	hookadvice.Notice
	id        string // webhook-id
	noticedAt time.Time
}

const (
	maxWaitingNotices = 100
	maxAttempts       = 4
	minBackoff        = 250 * time.Millisecond // before the second attempt; doubled for each further one
	sendTimeout       = 2 * time.Second        // for connecting, and for all that follows
)

// NewNotifier starts a notifier of the controller with this name.
func NewNotifier(name string, targets []Target, c clock.Clock, log zerolog.Logger) *Notifier {
	n := &Notifier{
		targets: map[string]Target{},
		name:    name,
		clock:   c,
		log:     log,
		queue:   make(chan queuedNotice, maxWaitingNotices),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	for _, target := range targets {
		n.targets[target.Name] = target
	}
	go n.run()
	return n
}

// Notify queues a notice. It does not block; if too many wait the notice is lost.
func (n *Notifier) Notify(notice hookadvice.Notice) {
	if _, ok := n.targets[notice.Target]; !ok {
		n.Failed.Add(1)
		n.log.Warn().Str("script", notice.Script).Str("target", notice.Target).
			Msg("notice: no such target in hooks.targets")
		return
	}
	select {
	case n.queue <- queuedNotice{notice, "note_" + rand.Text(), n.clock.Wall()}:
	default:
		n.Lost.Add(1)
	}
}

// Close ends the notifier; what waits is not sent.
func (n *Notifier) Close() {
	n.closeOnce.Do(func() { close(n.stop) })
	<-n.done
}

func (n *Notifier) run() {
	defer close(n.done)
	for {
		select {
		case <-n.stop:
			return
		case notice := <-n.queue:
			n.deliver(notice)
		}
	}
}

// deliver sends a notice, with further attempts after failures.
func (n *Notifier) deliver(notice queuedNotice) {
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		err := n.send(notice)
		if err == nil {
			n.Sent.Add(1)
			return
		}
		if attempt == maxAttempts {
			n.Failed.Add(1)
			n.log.Warn().Err(err).Str("script", notice.Script).Str("target", notice.Target).Msg("notice not delivered")
			return
		}
		timer := time.NewTimer(backoff)
		select {
		case <-n.stop:
			timer.Stop()
			return
		case <-timer.C:
		}
		backoff *= 2
	}
}

var answerLimits = http1.Limits{Body: 64 << 10, Headers: 16 << 10}.Filled()

// send makes one attempt to send a notice.
func (n *Notifier) send(notice queuedNotice) error {
	target := n.targets[notice.Target]
	req, err := n.request(target, notice)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(sendTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, req)); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(bufio.NewReader(conn), &answerLimits, http.MethodPost)
	switch {
	case err != nil:
		return err
	case resp.Status == http.StatusGone:
		return errors.New("gone: its receiver wants no more (410)")
	case resp.Status < 200 || resp.Status > 299:
		return fmt.Errorf("status %d", resp.Status)
	}
	return nil
}

// request returns the signed webhook of a notice.
func (n *Notifier) request(target Target, notice queuedNotice) (*http1.Request, error) {
	body, err := json.Marshal(map[string]any{
		"type":      "hook.notice",
		"timestamp": notice.noticedAt.UTC().Format(time.RFC3339),
		"data":      map[string]string{"controller": n.name, "script": notice.Script, "text": notice.Text},
	})
	if err != nil {
		return nil, err
	}
	m := signing.Message{ID: notice.id, Stamp: strconv.FormatInt(n.clock.Wall().Unix(), 10), Body: body}
	signature, err := target.Key.Sign(m)
	if err != nil {
		return nil, err
	}
	return &http1.Request{Method: http.MethodPost, Target: target.Path, Body: body, Header: http1.Header{
		{Name: "Host", Value: target.Address},
		{Name: "User-Agent", Value: "kitehub/" + n.name},
		{Name: "Content-Type", Value: "application/json"},
		{Name: "Connection", Value: "close"},
		{Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Stamp},
		{Name: "webhook-signature", Value: signature},
	}}, nil
}
