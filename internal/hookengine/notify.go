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

// A Target takes notices.
type Target struct {
	Name    string
	Address string // host:port
	Path    string
	Key     *signing.Key // signs
}

// A Notifier sends notices as signed webhooks (Standard Webhooks), one after the other, each tried again a few times with the
// same webhook-id: its receiver drops what it had already. It holds no call up and is bounded.
type Notifier struct {
	targets map[string]Target
	name    string
	clock   clock.Clock
	log     zerolog.Logger
	queue   chan note
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	Sent    atomic.Int64
	Failed  atomic.Int64
	Lost    atomic.Int64 // as too many waited
}

type note struct {
	hookadvice.Notice
	id string
	at time.Time
}

const (
	notesWaiting = 100
	noteTries    = 4
	notePause    = 250 * time.Millisecond // before the second try, doubled for each further one
	noteWithin   = 2 * time.Second
)

// NewNotifier starts one. name is the controller's.
func NewNotifier(name string, l []Target, c clock.Clock, log zerolog.Logger) *Notifier {
	n := &Notifier{targets: map[string]Target{}, name: name, clock: c, log: log, queue: make(chan note, notesWaiting), stop: make(chan struct{}), done: make(chan struct{})}
	for _, t := range l {
		n.targets[t.Name] = t
	}
	go n.run()
	return n
}

// Notify takes a notice, and does not block.
func (n *Notifier) Notify(x hookadvice.Notice) {
	if _, ok := n.targets[x.Target]; !ok {
		n.Failed.Add(1)
		n.log.Warn().Str("script", x.Script).Str("target", x.Target).Msg("notice: no such target in hooks.targets")
		return
	}
	select {
	case n.queue <- note{x, "note_" + rand.Text(), n.clock.Wall()}:
	default:
		n.Lost.Add(1)
	}
}

// Close ends it; what waits is not sent.
func (n *Notifier) Close() {
	n.once.Do(func() { close(n.stop) })
	<-n.done
}

func (n *Notifier) run() {
	defer close(n.done)
	for {
		select {
		case <-n.stop:
			return
		case x := <-n.queue:
			n.deliver(x)
		}
	}
}

func (n *Notifier) deliver(x note) {
	pause := notePause
	for i := range noteTries {
		err := n.send(x)
		if err == nil {
			n.Sent.Add(1)
			return
		}
		if i == noteTries-1 {
			n.Failed.Add(1)
			n.log.Warn().Err(err).Str("script", x.Script).Str("target", x.Target).Msg("notice not taken")
			return
		}
		t := time.NewTimer(pause)
		select {
		case <-n.stop:
			t.Stop()
			return
		case <-t.C:
		}
		pause *= 2
	}
}

var noteLimits = http1.Limits{Body: 64 << 10, Headers: 16 << 10}.Filled()

func (n *Notifier) send(x note) error {
	t := n.targets[x.Target]
	body, err := json.Marshal(map[string]any{"type": "hook.notice", "timestamp": x.at.UTC().Format(time.RFC3339),
		"data": map[string]string{"controller": n.name, "script": x.Script, "text": x.Text}})
	if err != nil {
		return err
	}
	m := signing.Message{ID: x.id, Stamp: strconv.FormatInt(n.clock.Wall().Unix(), 10), Body: body}
	sig, err := t.Key.Sign(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteWithin)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(noteWithin))
	req := &http1.Request{Method: "POST", Target: t.Path, Body: body, Header: http1.Header{{Name: "Host", Value: t.Address}, {Name: "User-Agent", Value: "kitehub/" + n.name},
		{Name: "Content-Type", Value: "application/json"}, {Name: "Connection", Value: "close"}, {Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Stamp}, {Name: "webhook-signature", Value: sig}}}
	if _, err := nc.Write(http1.AppendRequest(nil, req)); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(bufio.NewReader(nc), &noteLimits, "POST")
	if err != nil {
		return err
	}
	if resp.Status == 410 {
		return errors.New("gone: its receiver wants no more (410)")
	}
	if resp.Status < 200 || resp.Status > 299 {
		return fmt.Errorf("status %d", resp.Status)
	}
	return nil
}
