package fakeworker

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/trace"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// A DiscoveryServer is a stand-in for the server of the list of workers. Changes are published after a delay, to the server's
// long polls and to a file. It notes in the trace when each controller was told what.
type DiscoveryServer struct {
	cluster   string
	log       *trace.Log
	mu        sync.Mutex
	version   int
	shown     []gateway.Worker // as published
	since     map[int][]gateway.Worker
	news      chan struct{} // closed at each publication
	delay     time.Duration
	queue     []change
	end       chan struct{}
	kick      chan struct{}
	wg        sync.WaitGroup
	file      string
	poll      time.Duration
	readers   []string // controllers that watch the file
	server    *http1.Server
	ln        net.Listener
	delivered map[string]string // last state told, by controller and worker
}

type change struct {
	at   time.Time
	list []gateway.Worker
}

// NewDiscoveryServer starts a server on loopback.
func NewDiscoveryServer(cluster string, log *trace.Log) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &DiscoveryServer{cluster: cluster, log: log, since: map[int][]gateway.Worker{}, news: make(chan struct{}), end: make(chan struct{}),
		kick: make(chan struct{}, 1), ln: ln, delivered: map[string]string{}}
	l.server = &http1.Server{Handler: http1.HandlerFunc(l.serve)}
	go l.server.Serve(ln)
	l.wg.Add(1)
	go l.publish()
	return l, nil
}

// Addr returns where the server listens.
func (l *DiscoveryServer) Addr() string { return l.ln.Addr().String() }

// WriteToFile has each publication written to a file too, which the controllers named watch at the interval.
func (l *DiscoveryServer) WriteToFile(name string, poll time.Duration, readers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.file, l.poll, l.readers = name, poll, readers
}

// SetDelay sets how late changes are published from now on. Publications keep their order.
func (l *DiscoveryServer) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Publish publishes a list after the delay.
func (l *DiscoveryServer) Publish(list []gateway.Worker) {
	l.mu.Lock()
	at := time.Now().Add(l.delay)
	if n := len(l.queue); n > 0 && l.queue[n-1].at.After(at) {
		at = l.queue[n-1].at
	}
	l.queue = append(l.queue, change{at, append([]gateway.Worker(nil), list...)})
	l.mu.Unlock()
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Close ends the server.
func (l *DiscoveryServer) Close() {
	close(l.end)
	l.ln.Close()
	l.server.Abort()
	l.wg.Wait()
}

func (l *DiscoveryServer) publish() {
	defer l.wg.Done()
	for {
		l.mu.Lock()
		wait := time.Hour
		for len(l.queue) > 0 {
			if wait = time.Until(l.queue[0].at); wait > 0 {
				break
			}
			l.show(l.queue[0].list)
			l.queue = l.queue[1:]
			wait = time.Hour
		}
		l.mu.Unlock()
		select {
		case <-l.end:
			return
		case <-l.kick:
		case <-time.After(wait):
		}
	}
}

// show makes a list the present one. It is called with mu held.
func (l *DiscoveryServer) show(list []gateway.Worker) {
	l.since[l.version] = l.shown
	delete(l.since, l.version-64)
	l.version++
	l.shown = list
	close(l.news)
	l.news = make(chan struct{})
	if l.file == "" {
		return
	}
	text, err := discovery.MarshalAssignment(l.cluster, list)
	if err == nil {
		err = discovery.WriteFile(l.file, text)
	}
	if err != nil {
		panic(err) // the rig's own folder
	}
	for _, c := range l.readers {
		l.tell(c, list, l.poll)
	}
}

// tell notes what a controller knows, from some time later on at the latest: bad news is counted from then, good news
// from now, as it may have read either at once. It is called with mu held.
func (l *DiscoveryServer) tell(controller string, list []gateway.Worker, later time.Duration) {
	at := l.now() + later
	present := map[string]bool{}
	for _, w := range list {
		state := "ready"
		if w.State != scheduler.Ready {
			state = "draining"
		}
		present[w.Name] = true
		if state == "ready" {
			l.note(controller, w.Name, state, at-later)
		} else {
			l.note(controller, w.Name, state, at)
		}
	}
	for key, state := range l.delivered {
		if c, worker, _ := strings.Cut(key, " "); c == controller && !present[worker] && state != "gone" {
			l.note(controller, worker, "gone", at)
		}
	}
}

func (l *DiscoveryServer) note(controller, worker, state string, at time.Duration) {
	key := controller + " " + worker
	old, known := l.delivered[key]
	if old == state || !known && state == "ready" {
		l.delivered[key] = state
		return
	}
	l.delivered[key] = state
	l.log.Add(trace.Record{At: at, Kind: trace.ListDelivered, Controller: controller, Worker: worker, Outcome: state})
}

func (l *DiscoveryServer) now() time.Duration { return l.log.Now() }

// ForgetController drops what a controller was told: it starts anew.
func (l *DiscoveryServer) ForgetController(controller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.delivered {
		if strings.HasPrefix(key, controller+" ") {
			delete(l.delivered, key)
		}
	}
}

// serve answers long polls: a whole list at first, a delta to one who holds a version that is still known.
func (l *DiscoveryServer) serve(_ *http1.Conn, r *http1.Request) *http1.Response {
	var req discovery.Request
	if r.Path() != discovery.EndpointsPath || json.Unmarshal(r.Body, &req) != nil {
		return &http1.Response{Status: 400}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	have, err := strconv.Atoi(req.VersionInfo)
	if err != nil {
		have = -1
	}
	if have == l.version || l.version == 0 {
		news := l.news
		l.mu.Unlock()
		timer := time.NewTimer(discovery.LongPollTimeout)
		select {
		case <-news:
		case <-timer.C:
		case <-l.end:
		}
		timer.Stop()
		l.mu.Lock()
	}
	if have == l.version || l.version == 0 {
		return &http1.Response{Status: 304}
	}
	u := discovery.Update{Nonce: strconv.Itoa(l.version)}
	old, known := l.since[have]
	if known && have > 0 {
		u.TypeURL, u.SystemVersionInfo = discovery.TypeEndpoint, strconv.Itoa(l.version)
		u.Resources, u.RemovedResources, err = discovery.Delta(old, l.shown, u.SystemVersionInfo)
	} else {
		u.TypeURL, u.VersionInfo = discovery.TypeAssignment, strconv.Itoa(l.version)
		var text []byte
		text, err = discovery.MarshalAssignment(l.cluster, l.shown)
		u.Resources = []json.RawMessage{text}
	}
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	l.tell(req.Node.ID, l.shown, 0)
	return &http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: body}
}
