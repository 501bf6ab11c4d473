package scalebench

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/dns/dnsmessage"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/discovery"
	"kitehub/internal/discovery/dns"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// ListLoad is an endpoint list that a controller applies, and a number of changes of one worker
// each.
type ListLoad struct {
	Workers, Changes int
}

// ListCost is the cost of an endpoint list as a full xDS update, as an xDS delta and as a DNS
// message. Processor time covers only the reading side, in the controller.
type ListCost struct {
	FullBytes, DeltaBytes int           // of one update
	FullCPU, DeltaCPU     time.Duration // to read one update
	DNSBytes              int           // of a full list as SRV, A and TXT records
	DNSCPU                time.Duration
	GatewayCPU            time.Duration // for the gateway to apply a delta of one worker, without its backend and scheduler
}

func listedWorker(i int) gateway.Worker {
	return gateway.Worker{Name: fmt.Sprintf("worker-%05d", i), Network: "tcp", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		Zone: "zone-" + strconv.Itoa(i%10), Group: "rack-" + strconv.Itoa(i/8), Kind: "large", Size: 8, State: scheduler.Ready,
		Started: time.Unix(1700000000+int64(i), 0)}
}

// RunList applies a list and its changes and returns the cost.
func RunList(load ListLoad) (c ListCost, err error) {
	workers := make([]gateway.Worker, load.Workers)
	for i := range workers {
		workers[i] = listedWorker(i)
	}
	state := discovery.State{Cluster: "workers"}
	for i := range load.Changes {
		text, err := discovery.MarshalAssignment("workers", workers)
		if err != nil {
			return c, err
		}
		whole := discovery.Update{VersionInfo: strconv.Itoa(2*i + 1), TypeURL: discovery.TypeAssignment, Resources: []json.RawMessage{text}}
		size, spent, err := applyUpdate(&state, whole)
		if err != nil {
			return c, err
		}
		c.FullBytes, c.FullCPU = size, c.FullCPU+spent/time.Duration(load.Changes)
		before := append([]gateway.Worker(nil), workers...)
		workers[i%len(workers)] = listedWorker(load.Workers + i)
		version := strconv.Itoa(2*i + 2)
		changed, removed, err := discovery.Delta(before, workers, version)
		if err != nil {
			return c, err
		}
		delta := discovery.Update{SystemVersionInfo: version, TypeURL: discovery.TypeEndpoint, Resources: changed, RemovedResources: removed}
		if size, spent, err = applyUpdate(&state, delta); err != nil {
			return c, err
		}
		c.DeltaBytes, c.DeltaCPU = size, c.DeltaCPU+spent/time.Duration(load.Changes)
	}
	if err := c.measureDNS(workers, load.Changes); err != nil {
		return c, err
	}
	return c, c.measureGateway(workers, load.Changes)
}

// discardTransport is a transport that discards everything.
type discardTransport struct{}

func (discardTransport) Send(backend.Attempt, func(backend.Result)) backend.RunningAttempt {
	return nil
}
func (discardTransport) LoadCopies(backend.LoadOrder, func(scheduler.Outcome, int, time.Duration)) {}
func (discardTransport) Unload(scheduler.WorkerID, string)                                         {}
func (discardTransport) Probe(scheduler.WorkerID, func(scheduler.Outcome, time.Duration, []float64)) {
}
func (discardTransport) CloseIdle(scheduler.WorkerID) {}
func (discardTransport) Update([]backend.Endpoint)    {}

// measureGateway applies changes of one worker each to a gateway whose scheduler loop does not run.
func (c *ListCost) measureGateway(workers []gateway.Worker, times int) error {
	settings := dispatchSettings(DispatchLoad{Tick: 10 * time.Millisecond, IdleCopyTTL: time.Minute})
	g, err := gateway.New(gateway.Config{Name: "scale", Settings: settings, Clock: clock.System(), Transport: discardTransport{}, Log: zerolog.Nop(), OmitRequestLog: true})
	if err != nil {
		return err
	}
	if err := g.UpdateWorkers(scheduler.FullList, 1, workers); err != nil {
		return err
	}
	began := processCPUTime()
	for i := range times {
		removed, added := workers[i%len(workers)], listedWorker(2*len(workers)+i)
		removed.State = scheduler.Removed
		workers[i%len(workers)] = added
		if err := g.UpdateWorkers(scheduler.ListDelta, uint32(i+2), []gateway.Worker{removed, added}); err != nil {
			return err
		}
	}
	c.GatewayCPU = (processCPUTime() - began) / time.Duration(times)
	return nil
}

// applyUpdate encodes an update, decodes it and applies it. It returns the size of its bytes and
// the processor time of decoding and applying.
func applyUpdate(state *discovery.State, u discovery.Update) (size int, spent time.Duration, err error) {
	text, err := json.Marshal(u)
	if err != nil {
		return 0, 0, err
	}
	began := processCPUTime()
	var read discovery.Update
	if err := json.Unmarshal(text, &read); err != nil {
		return 0, 0, err
	}
	update, err := state.Apply(read)
	spent = processCPUTime() - began
	if err == nil && update == nil {
		err = fmt.Errorf("update %s%s changes nothing", u.VersionInfo, u.SystemVersionInfo)
	}
	return len(text), spent, err
}

// measureDNS packs the list into a DNS message as the relay's directory does, without its limit on
// the size of a response, and parses it.
func (c *ListCost) measureDNS(workers []gateway.Worker, times int) error {
	service := dnsmessage.MustNewName("_calls._tcp.workers.internal.")
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: 1, Response: true},
		Questions: []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}},
		Authorities: []dnsmessage.Resource{{Header: dnsmessage.ResourceHeader{Name: service, Class: dnsmessage.ClassINET},
			Body: &dnsmessage.SOAResource{NS: service, MBox: service, Serial: 1}}}}
	for i, w := range workers {
		host, err := dnsmessage.NewName(w.Name + "." + w.Zone + ".workers.internal.")
		if err != nil {
			return err
		}
		record := func(body dnsmessage.ResourceBody, name dnsmessage.Name) dnsmessage.Resource {
			return dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET}, Body: body}
		}
		m.Answers = append(m.Answers, record(&dnsmessage.SRVResource{Target: host, Port: 8080, Weight: 80}, service))
		m.Additionals = append(m.Additionals, record(&dnsmessage.AResource{A: [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}}, host),
			record(&dnsmessage.TXTResource{TXT: []string{"kind=" + w.Kind, "cell=" + w.Group, "started=" + strconv.FormatInt(w.Started.UnixMilli(), 10)}}, host))
	}
	text, err := m.Pack()
	if err != nil {
		return err
	}
	c.DNSBytes = len(text)
	began := processCPUTime()
	for range times {
		if _, l, err := dns.Parse(text, 1, service); err != nil || len(l) != len(workers) {
			return fmt.Errorf("%d of %d workers parsed: %v", len(l), len(workers), err)
		}
	}
	c.DNSCPU = (processCPUTime() - began) / time.Duration(times)
	return nil
}
