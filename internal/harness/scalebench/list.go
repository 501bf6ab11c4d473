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

// ListLoad is a list of workers as a controller takes it in, with the changes of one worker each.
type ListLoad struct {
	Workers, Changes int
}

// ListCost is what the list's two forms of xDS and its DNS form cost. Processor time is of reading, as a controller does, alone.
type ListCost struct {
	FullBytes, DeltaBytes int           // of one update
	FullCPU, DeltaCPU     time.Duration // to read one update
	DNSBytes              int           // of a whole list as SRV, A and TXT records
	DNSCPU                time.Duration
	GatewayCPU            time.Duration // for the gateway to take a delta of one worker in, but for its back end and module
}

func listedWorker(i int) gateway.Worker {
	return gateway.Worker{Name: fmt.Sprintf("worker-%05d", i), Network: "tcp", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		Zone: "zone-" + strconv.Itoa(i%10), Group: "rack-" + strconv.Itoa(i/8), Kind: "large", Size: 8, State: scheduler.Ready,
		Started: time.Unix(1700000000+int64(i), 0)}
}

// RunList plays a load and returns its cost.
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
	if err := c.playDNS(workers, load.Changes); err != nil {
		return c, err
	}
	return c, c.playGateway(workers, load.Changes)
}

// noCarrier carries nothing.
type noCarrier struct{}

func (noCarrier) Send(backend.Attempt, func(backend.Result)) backend.RunningAttempt         { return nil }
func (noCarrier) LoadCopies(backend.LoadOrder, func(scheduler.Outcome, int, time.Duration)) {}
func (noCarrier) Unload(scheduler.WorkerID, string)                                         {}
func (noCarrier) Probe(scheduler.WorkerID, func(scheduler.Outcome, time.Duration, []float64)) {
}
func (noCarrier) CloseIdle(scheduler.WorkerID) {}
func (noCarrier) Update([]backend.Endpoint)    {}

// playGateway tells a gateway of changes of one worker each. Its loop does not run.
func (c *ListCost) playGateway(workers []gateway.Worker, times int) error {
	settings := dispatchSettings(DispatchLoad{Tick: 10 * time.Millisecond, IdleCopyTTL: time.Minute})
	g, err := gateway.New(gateway.Config{Name: "scale", Settings: settings, Clock: clock.System(), Transport: noCarrier{}, Log: zerolog.Nop(), OmitRequestLog: true})
	if err != nil {
		return err
	}
	if err := g.UpdateWorkers(scheduler.FullList, 1, workers); err != nil {
		return err
	}
	began := processTime()
	for i := range times {
		gone, come := workers[i%len(workers)], listedWorker(2*len(workers)+i)
		gone.State = scheduler.Removed
		workers[i%len(workers)] = come
		if err := g.UpdateWorkers(scheduler.ListDelta, uint32(i+2), []gateway.Worker{gone, come}); err != nil {
			return err
		}
	}
	c.GatewayCPU = (processTime() - began) / time.Duration(times)
	return nil
}

// applyUpdate reads an update from its bytes, as they come.
func applyUpdate(state *discovery.State, u discovery.Update) (size int, spent time.Duration, err error) {
	text, err := json.Marshal(u)
	if err != nil {
		return 0, 0, err
	}
	began := processTime()
	var read discovery.Update
	if err := json.Unmarshal(text, &read); err != nil {
		return 0, 0, err
	}
	news, err := state.Apply(read)
	spent = processTime() - began
	if err == nil && news == nil {
		err = fmt.Errorf("update %s%s says nothing new", u.VersionInfo, u.SystemVersionInfo)
	}
	return len(text), spent, err
}

// playDNS packs the list as the relay's directory does, past its longest answer too, and reads it.
func (c *ListCost) playDNS(workers []gateway.Worker, times int) error {
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
	began := processTime()
	for range times {
		if _, l, err := dns.Parse(text, 1, service); err != nil || len(l) != len(workers) {
			return fmt.Errorf("%d of %d workers read: %v", len(l), len(workers), err)
		}
	}
	c.DNSCPU = (processTime() - began) / time.Duration(times)
	return nil
}
