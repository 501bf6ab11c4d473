package hookengine

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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

// Target is a receiver of notices.
type Target struct {
	Name    string
	Address string // host:port
	Path    string
	Key     *signing.Key // signs the notices
}

const (
	maxQueuedNotices = 100
	noticeAttempts   = 4
	noticeBackoff    = 250 * time.Millisecond // before the first retry, doubled for each further one
	noticeTimeout    = 2 * time.Second        // of one attempt
	statusGone       = 410                    // by Standard Webhooks: the receiver wants no more notices
)

var noticeLimits = http1.Limits{MaxBodyBytes: 64 << 10, MaxHeaderBytes: 16 << 10}.WithDefaults()

// Notifier sends notices as signed webhooks (Standard Webhooks), one after the other from a goroutine of its own.
// It retries each a few times with the same webhook-id, so that the receiver can drop duplicates. Its queue is
// bounded, and no call waits for it. It is safe for concurrent use.
type Notifier struct {
	Sent    atomic.Int64 // notices that were accepted by their target
	Failed  atomic.Int64 // notices whose target is not known, or did not accept them
	Dropped atomic.Int64 // notices dropped as the queue was full

	targets    map[string]Target // by name
	controller string
	clock      clock.Clock
	log        zerolog.Logger
	queue      chan queuedNotice
	stop       chan struct{} // closed by Close
	stopOnce   sync.Once
	done       chan struct{} // closed when the goroutine has ended
}

type queuedNotice struct {
	hookadvice.Notification
	id string // the webhook-id
	at time.Time
}

// NewNotifier starts a notifier. The notices name the controller.
func NewNotifier(controller string, targets []Target, c clock.Clock, log zerolog.Logger) *Notifier {
	n := &Notifier{
		targets:    map[string]Target{},
		controller: controller,
		clock:      c,
		log:        log,
		queue:      make(chan queuedNotice, maxQueuedNotices),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	for _, target := range targets {
		n.targets[target.Name] = target
	}
	go n.run()
	return n
}

// Notify queues a notice. It never blocks: if the queue is full the notice is dropped, and counted.
func (n *Notifier) Notify(notice hookadvice.Notification) {
	if _, ok := n.targets[notice.Target]; !ok {
		n.Failed.Add(1)
		n.log.Warn().Str("script", notice.Script).Str("target", notice.Target).
			Msg("notice: no such target in hooks.targets")
		return
	}
	select {
	case n.queue <- queuedNotice{Notification: notice, id: "note_" + rand.Text(), at: n.clock.Wall()}:
	default:
		n.Dropped.Add(1)
	}
}

// Close stops the notifier, after the attempt that is under way. Queued notices are not sent.
func (n *Notifier) Close() {
	n.stopOnce.Do(func() { close(n.stop) })
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

// deliver sends a notice, with retries, until it is accepted, the attempts are used up or the notifier stops.
func (n *Notifier) deliver(notice queuedNotice) {
	backoff := noticeBackoff
	for attempt := range noticeAttempts {
		err := n.send(notice)
		if err == nil {
			n.Sent.Add(1)
			return
		}
		if attempt == noticeAttempts-1 {
			n.Failed.Add(1)
			n.log.Warn().Err(err).Str("script", notice.Script).Str("target", notice.Target).Msg("notice not taken")
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

// send makes one attempt.
func (n *Notifier) send(notice queuedNotice) error {
	target := n.targets[notice.Target]
	req, err := n.request(target, notice)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(noticeTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, req)); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(bufio.NewReader(conn), &noticeLimits, "POST")
	if err != nil {
		return err
	}
	switch {
	case resp.Status == statusGone:
		return errors.New("gone: its receiver wants no more (410)")
	case resp.Status < 200 || resp.Status > 299:
		return fmt.Errorf("status %d", resp.Status)
	}
	return nil
}

// request returns the signed webhook for a notice.
func (n *Notifier) request(target Target, notice queuedNotice) (*http1.Request, error) {
	body, err := json.Marshal(map[string]any{
		"type":      "hook.notice",
		"timestamp": notice.at.UTC().Format(time.RFC3339),
		"data":      map[string]string{"controller": n.controller, "script": notice.Script, "text": notice.Text},
	})
	if err != nil {
		return nil, err
	}
	stamp := strconv.FormatInt(n.clock.Wall().Unix(), 10)
	message := signing.Message{ID: notice.id, Timestamp: stamp, Body: body}
	signature, err := target.Key.Sign(message)
	if err != nil {
		return nil, err
	}
	return &http1.Request{Method: "POST", Target: target.Path, Body: body, Header: http1.Header{
		{Name: "Host", Value: target.Address},
		{Name: "User-Agent", Value: "kitehub/" + n.controller},
		{Name: "Content-Type", Value: "application/json"},
		{Name: "Connection", Value: "close"},
		{Name: "webhook-id", Value: message.ID},
		{Name: "webhook-timestamp", Value: message.Timestamp},
		{Name: "webhook-signature", Value: signature},
	}}, nil
}
