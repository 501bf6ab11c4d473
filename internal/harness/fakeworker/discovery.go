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

// A DiscoveryServer is a fake of the server that publishes the endpoint list. It publishes each
// list after a delay, to long polls and to a file, and records in the trace when each controller
// received which state of a worker: ready from before the list can be read, as the controller may
// use the worker at once, and draining or gone from when it has certainly been read.
type DiscoveryServer struct {
	cluster      string
	log          *trace.Log
	mu           sync.Mutex
	version      int
	published    []gateway.Worker
	earlier      map[int][]gateway.Worker // by version, for deltas
	changed      chan struct{}            // closed and replaced at each publication
	delay        time.Duration
	queue        []change
	closed       chan struct{}
	wake         chan struct{} // has an element after an addition to the queue
	wg           sync.WaitGroup
	file         string
	pollInterval time.Duration
	readers      []string // controllers that poll the file
	writeFile    func(name string, text []byte) error
	server       *http1.Server
	ln           net.Listener
	delivered    map[string]deliveredState // by controller and worker
}

// A deliveredState is the last state of a worker that a controller received, and since when it
// counts.
type deliveredState struct {
	state string
	at    time.Duration
}

// A change is a list that is to be published.
type change struct {
	at   time.Time
	list []gateway.Worker
}

// NewDiscoveryServer starts a server on a loopback port.
func NewDiscoveryServer(cluster string, log *trace.Log) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &DiscoveryServer{cluster: cluster, log: log, earlier: map[int][]gateway.Worker{}, changed: make(chan struct{}), closed: make(chan struct{}),
		wake: make(chan struct{}, 1), writeFile: discovery.WriteFile, ln: ln, delivered: map[string]deliveredState{}}
	d.server = &http1.Server{Handler: http1.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	d.wg.Add(1)
	go d.publishQueued()
	return d, nil
}

// Addr returns the address on which the server listens.
func (d *DiscoveryServer) Addr() string { return d.ln.Addr().String() }

// WriteToFile makes the server also write each published list to a file, which the named
// controllers poll at the interval.
func (d *DiscoveryServer) WriteToFile(name string, pollInterval time.Duration, readers []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.file, d.pollInterval, d.readers = name, pollInterval, readers
}

// SetDelay sets the delay of the lists that are published from now on. Lists stay in order.
func (d *DiscoveryServer) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Publish publishes a list after the delay.
func (d *DiscoveryServer) Publish(list []gateway.Worker) {
	d.mu.Lock()
	at := time.Now().Add(d.delay)
	if n := len(d.queue); n > 0 && d.queue[n-1].at.After(at) {
		at = d.queue[n-1].at
	}
	d.queue = append(d.queue, change{at, append([]gateway.Worker(nil), list...)})
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Close stops the server.
func (d *DiscoveryServer) Close() {
	close(d.closed)
	d.ln.Close()
	d.server.Abort()
	d.wg.Wait()
}

// publishQueued publishes each queued list when its time has come, until the server is closed.
func (d *DiscoveryServer) publishQueued() {
	defer d.wg.Done()
	for {
		d.mu.Lock()
		wait := time.Hour
		for len(d.queue) > 0 {
			if wait = time.Until(d.queue[0].at); wait > 0 {
				break
			}
			d.publishNow(d.queue[0].list)
			d.queue = d.queue[1:]
			wait = time.Hour
		}
		d.mu.Unlock()
		select {
		case <-d.closed:
			return
		case <-d.wake:
		case <-time.After(wait):
		}
	}
}

// publishNow publishes a list as a new version. The last 64 versions remain available for deltas.
// The caller holds mu.
func (d *DiscoveryServer) publishNow(list []gateway.Worker) {
	d.earlier[d.version] = d.published
	delete(d.earlier, d.version-64)
	d.version++
	d.published = list
	close(d.changed)
	d.changed = make(chan struct{})
	if d.file == "" {
		return
	}
	text, err := discovery.MarshalAssignment(d.cluster, list)
	if err != nil {
		panic(err)
	}
	for _, controller := range d.readers {
		d.recordReady(controller, list)
	}
	if err := d.writeFile(d.file, text); err != nil {
		panic(err) // the file is in the test's own folder
	}
	for _, controller := range d.readers {
		d.recordNotReady(controller, list, d.now()+d.pollInterval)
	}
}

// recordReady records that a controller may learn of the ready workers of a list from now on. It is
// called before the list can be read. The caller holds mu.
func (d *DiscoveryServer) recordReady(controller string, list []gateway.Worker) {
	for _, w := range list {
		if w.State == scheduler.Ready {
			d.recordState(controller, w.Name, stateReady, d.now())
		}
	}
}

// recordNotReady records that a controller has learned of the draining and gone workers of a list
// by the given time, when it has certainly read the list. The caller holds mu.
func (d *DiscoveryServer) recordNotReady(controller string, list []gateway.Worker, at time.Duration) {
	present := map[string]bool{}
	for _, w := range list {
		present[w.Name] = true
		if w.State != scheduler.Ready {
			d.recordState(controller, w.Name, stateDraining, at)
		}
	}
	for key := range d.delivered {
		if c, worker, _ := strings.Cut(key, " "); c == controller && !present[worker] {
			d.recordState(controller, worker, stateGone, at)
		}
	}
}

// States of a worker in the trace.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// recordState adds a worker's state to the trace if it differs from the last one that the
// controller received. The first state is not recorded if it is ready. A state never counts from
// before the previous one, which may be one that the controller has not read yet.
func (d *DiscoveryServer) recordState(controller, worker, state string, at time.Duration) {
	key := controller + " " + worker
	last, known := d.delivered[key]
	if last.state == state {
		return
	}
	at = max(at, last.at)
	d.delivered[key] = deliveredState{state, at}
	if !known && state == stateReady {
		return
	}
	d.log.Add(trace.Record{At: at, Kind: trace.ListDelivered, Controller: controller, Worker: worker, Outcome: state})
}

func (d *DiscoveryServer) now() time.Duration { return d.log.Now() }

// ForgetController forgets which states a controller received, as it restarts without them. It
// keeps those that count from a later time only, as they count for the new process.
func (d *DiscoveryServer) ForgetController(controller string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, last := range d.delivered {
		if strings.HasPrefix(key, controller+" ") && last.at <= d.now() {
			delete(d.delivered, key)
		}
	}
}

// serve responds to a long poll: with a delta if the client has a version that is still available,
// and with the whole list otherwise.
func (d *DiscoveryServer) serve(_ *http1.Conn, r *http1.Request) *http1.Response {
	var req discovery.Request
	if r.Path() != discovery.EndpointsPath || json.Unmarshal(r.Body, &req) != nil {
		return &http1.Response{Status: 400}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	have, err := strconv.Atoi(req.VersionInfo)
	if err != nil {
		have = -1
	}
	if have == d.version || d.version == 0 {
		changed := d.changed
		d.mu.Unlock()
		timer := time.NewTimer(discovery.LongPollTimeout)
		select {
		case <-changed:
		case <-timer.C:
		case <-d.closed:
		}
		timer.Stop()
		d.mu.Lock()
	}
	if have == d.version || d.version == 0 {
		return &http1.Response{Status: 304}
	}
	u := discovery.Update{Nonce: strconv.Itoa(d.version)}
	old, known := d.earlier[have]
	if known && have > 0 {
		u.TypeURL, u.SystemVersionInfo = discovery.TypeEndpoint, strconv.Itoa(d.version)
		u.Resources, u.RemovedResources, err = discovery.Delta(old, d.published, u.SystemVersionInfo)
	} else {
		u.TypeURL, u.VersionInfo = discovery.TypeAssignment, strconv.Itoa(d.version)
		var text []byte
		text, err = discovery.MarshalAssignment(d.cluster, d.published)
		u.Resources = []json.RawMessage{text}
	}
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	response := &http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: body}
	response.BeforeWrite = d.recordResponse(req.Node.ID, d.published)
	return response
}

// recordResponse returns a function for http1.Response.BeforeWrite that records a list's delivery
// by a response: ready workers before it is written, draining and gone ones once it is.
func (d *DiscoveryServer) recordResponse(controller string, list []gateway.Worker) func() (*http1.Response, time.Duration, func()) {
	return func() (*http1.Response, time.Duration, func()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.recordReady(controller, list)
		return nil, 0, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.recordNotReady(controller, list, d.now())
		}
	}
}
