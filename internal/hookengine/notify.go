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

// Target is a receiver of notifications.
type Target struct {
	Name    string
	Address string // host:port
	Path    string
	Key     *signing.Key // signs the notifications
}

const (
	maxQueuedNotifications = 100
	maxAttempts            = 4
	initialRetryBackoff    = 250 * time.Millisecond // before the first retry; doubled by each further one
	attemptTimeout         = 2 * time.Second
	statusGone             = 410 // in Standard Webhooks: the receiver wants no more webhooks
)

var responseLimits = http1.Limits{MaxBodyBytes: 64 << 10, MaxHeaderBytes: 16 << 10}.WithDefaults()

// Notifier sends notifications as signed webhooks (Standard Webhooks), one at a time on its own
// goroutine. All attempts to send a notification have the same webhook-id, so that the receiver can
// drop duplicates. The queue is bounded, and calls never wait for it. A Notifier is safe for
// concurrent use.
type Notifier struct {
	Sent    atomic.Int64 // notifications accepted by their target
	Failed  atomic.Int64 // notifications with an unknown target, or not accepted by theirs
	Dropped atomic.Int64 // notifications dropped because the queue was full

	targets    map[string]Target // by name
	controller string
	clock      clock.Clock
	log        zerolog.Logger
	queue      chan queuedNotification
	stop       chan struct{} // closed by Close
	stopOnce   sync.Once
	done       chan struct{} // closed when the goroutine has ended
}

type queuedNotification struct {
	hookadvice.Notification
	id       string // webhook-id
	queuedAt time.Time
}

// NewNotifier starts a notifier. Each notification carries the name of the controller.
func NewNotifier(controller string, targets []Target, c clock.Clock, log zerolog.Logger) *Notifier {
	n := &Notifier{
		targets:    map[string]Target{},
		controller: controller,
		clock:      c,
		log:        log,
		queue:      make(chan queuedNotification, maxQueuedNotifications),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	for _, target := range targets {
		n.targets[target.Name] = target
	}
	go n.run()
	return n
}

// Notify queues a notification. It never blocks: if the queue is full the notification is dropped
// and counted.
func (n *Notifier) Notify(notification hookadvice.Notification) {
	if _, ok := n.targets[notification.Target]; !ok {
		n.Failed.Add(1)
		n.log.Warn().Str("script", notification.Script).Str("target", notification.Target).
			Msg("notification: target is not in hooks.targets")
		return
	}
	select {
	case n.queue <- queuedNotification{Notification: notification, id: "note_" + rand.Text(), queuedAt: n.clock.Wall()}:
	default:
		n.Dropped.Add(1)
	}
}

// Close stops the notifier after the current attempt. Queued notifications are not sent.
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
		case notification := <-n.queue:
			n.deliver(notification)
		}
	}
}

// deliver sends a notification and retries until it is accepted, the attempts are used up or the
// notifier stops.
func (n *Notifier) deliver(notification queuedNotification) {
	backoff := initialRetryBackoff
	for attempt := range maxAttempts {
		err := n.send(notification)
		if err == nil {
			n.Sent.Add(1)
			return
		}
		if attempt == maxAttempts-1 {
			n.Failed.Add(1)
			n.log.Warn().Err(err).Str("script", notification.Script).Str("target", notification.Target).Msg("notification not accepted")
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

// send makes one attempt to send a notification.
func (n *Notifier) send(notification queuedNotification) error {
	target := n.targets[notification.Target]
	req, err := n.request(target, notification)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(attemptTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, req)); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(bufio.NewReader(conn), &responseLimits, "POST")
	if err != nil {
		return err
	}
	switch {
	case resp.Status == statusGone:
		return errors.New("the receiver wants no more webhooks (status 410)")
	case resp.Status < 200 || resp.Status > 299:
		return fmt.Errorf("status %d", resp.Status)
	}
	return nil
}

// request returns the signed webhook of a notification.
func (n *Notifier) request(target Target, notification queuedNotification) (*http1.Request, error) {
	body, err := json.Marshal(map[string]any{
		"type":      "hook.notice",
		"timestamp": notification.queuedAt.UTC().Format(time.RFC3339),
		"data":      map[string]string{"controller": n.controller, "script": notification.Script, "text": notification.Text},
	})
	if err != nil {
		return nil, err
	}
	timestamp := strconv.FormatInt(n.clock.Wall().Unix(), 10)
	message := signing.Message{ID: notification.id, Timestamp: timestamp, Body: body}
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
