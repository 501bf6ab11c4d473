package scalebench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/service"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

// RegistryLoad is a registry's process with hollow controllers: real agents that take no calls, one connection each, in one process
// with the service. Message keys are derived from one secret; the disk is the real one.
type RegistryLoad struct {
	Controllers, Models int
	Migrations          int           // one after the other, of one alias
	IdlePeriod          time.Duration // for which nothing happens, measured
	Timeout             time.Duration // given up after, for each part
	Lease               time.Duration
	Dir                 string // for the log
	FromSnapshot        bool   // the models stand in a snapshot at the start: by commands they take the square of their number
}

// RegistryCost is what it cost. Processor time is the whole process's, so it is an upper bound for either end.
type RegistryCost struct {
	CommandCPU       time.Duration   // a command that makes a model or names it, with no controller there, while the last tenth is made
	Joined           int             // controllers that held every alias in time
	JoinTime         time.Duration   // until the last of them did
	JoinBytes        float64         // received by a controller until all had joined, mean
	JoinCPU          time.Duration   // all ends
	IdleBytes        float64         // received and sent by a controller, a second
	IdleCPU          float64         // of a core, all ends, by wall time
	MigrationTimes   []time.Duration // acknowledged: in force everywhere
	MigrationBytes   float64         // received and sent by a controller for one move
	MigrationCPU     time.Duration   // one move, all ends
	MigrationsFailed int
}

// countedConn counts what one end receives and sends.
type countedConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

const (
	scaleSecret   = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw" // of this process's loopback sockets alone
	operatorName  = "operator"
	scaleAlias    = "current"
	snapshotEvery = 5000
)

// A registryPlay is a service and its agents, under way.
type registryPlay struct {
	load    RegistryLoad
	service *service.Service
	server  *http1.Server
	address string
	agents  []*agent.Agent
	in, out atomic.Int64
	cost    RegistryCost
}

// RunRegistry plays a load and returns its cost.
func RunRegistry(load RegistryLoad) (RegistryCost, error) {
	p := &registryPlay{load: load}
	defer p.close()
	if load.FromSnapshot {
		if err := writeSnapshot(load.Dir, load.Models); err != nil {
			return p.cost, err
		}
	}
	if err := p.open(); err != nil {
		return p.cost, err
	}
	if !load.FromSnapshot {
		if err := p.fill(); err != nil {
			return p.cost, err
		}
	}
	if err := p.join(); err != nil {
		return p.cost, err
	}
	p.rest()
	return p.cost, p.moves()
}

func scaleKey(name string) (*signing.Key, error) {
	text, err := signing.DeriveSecret(scaleSecret, name)
	if err != nil {
		return nil, err
	}
	return signing.ParseKey(text)
}

func controllerName(i int) string { return fmt.Sprintf("controller-%d", i) }

func (p *registryPlay) open() error {
	settings := registry.Settings{LeaseDuration: p.load.Lease, MaxClockDrift: 0.01, SettleTimeout: p.load.Lease / 8, StagingTimeout: p.load.Lease, Retention: time.Minute, AutoRollbackWindow: time.Minute, MinCalls: 100, MaxErrorIncrease: 0.2,
		MaxModels: p.load.Models, MaxVersions: 20, MaxAliases: 5, MaxControllers: p.load.Controllers, MaxRemembered: 1000}
	s, _, err := service.Open(service.Config{Settings: settings, Clock: clock.System(), FS: store.Dir(p.load.Dir), Log: zerolog.Nop(), SnapshotInterval: snapshotEvery, LongPoll: p.load.Lease / 4})
	if err != nil {
		return err
	}
	p.service = s
	var callers []service.Client
	for i := range p.load.Controllers {
		key, err := scaleKey(controllerName(i))
		if err != nil {
			return err
		}
		callers = append(callers, service.Client{Name: controllerName(i), Keys: []*signing.Key{key}, Controller: true})
	}
	key, err := scaleKey(operatorName)
	if err != nil {
		return err
	}
	callers = append(callers, service.Client{Name: operatorName, Keys: []*signing.Key{key}, Operator: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address = listener.Addr().String()
	p.server = &http1.Server{Handler: service.NewHandler(s, callers, time.Minute)}
	go p.server.Serve(listener)
	return nil
}

func (p *registryPlay) close() {
	var stopping sync.WaitGroup
	for _, a := range p.agents {
		stopping.Go(a.Stop)
	}
	stopping.Wait()
	if p.server != nil {
		p.server.Abort()
	}
	if p.service != nil {
		p.service.Close()
	}
}

// writeSnapshot leaves a log in a folder that holds a registry with so many models.
func writeSnapshot(dir string, models int) error {
	state, err := filledRegistry(models)
	if err != nil {
		return err
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	log, _, err := store.Open(store.Dir(dir), store.Options{}, func(uint64, []byte) error { return nil }, func(uint64, []byte) error { return nil })
	if err != nil {
		return err
	}
	defer log.Close()
	last, err := log.Append(context.Background(), []byte("{}")) // replaced by the snapshot, which stands behind a record
	if err != nil {
		return err
	}
	return log.Snapshot(last, text)
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func scaleVersion(name string, i int) registry.Version {
	return registry.Version{Name: name, Digest: "sha256:" + fmt.Sprintf("%064x", i), Size: 1 << 20}
}

// fill makes the models, with one alias each, by the service's own commands.
func (p *registryPlay) fill() error {
	measured := max(1, p.load.Models/10)
	var began time.Duration
	for i := range p.load.Models {
		if i == p.load.Models-measured {
			began = processTime()
		}
		for _, command := range []registry.Command{
			registry.Push{Model: modelName(i), Version: scaleVersion("v1", 2*i)},
			registry.Promote{Model: modelName(i), Alias: scaleAlias, To: "v1"},
		} {
			if _, err := p.service.Commit(command); err != nil {
				return err
			}
		}
	}
	p.cost.CommandCPU = (processTime() - began) / time.Duration(2*measured)
	return nil
}

// join starts all controllers at once and waits until each holds every alias.
func (p *registryPlay) join() error {
	began, cpu := time.Now(), processTime()
	for i := range p.load.Controllers {
		key, err := scaleKey(controllerName(i))
		if err != nil {
			return err
		}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, &p.in, &p.out}, nil
		}
		c := &client.Client{Server: p.address, Name: controllerName(i), Key: key, Wall: time.Now, Dial: dial}
		p.agents = append(p.agents, agent.Start(agent.Config{Client: c, Node: controllerName(i), Clock: clock.System(), Log: zerolog.Nop()}))
	}
	last := registry.AliasName{Model: modelName(p.load.Models - 1), Alias: scaleAlias}
	waiting := p.agents
	for len(waiting) > 0 && time.Since(began) < p.load.Timeout {
		if _, verdict := waiting[0].Resolve(last); verdict == registry.Allowed {
			waiting = waiting[1:]
			continue
		}
		time.Sleep(time.Millisecond)
	}
	p.cost.Joined, p.cost.JoinTime, p.cost.JoinCPU = p.load.Controllers-len(waiting), time.Since(began), processTime()-cpu
	p.cost.JoinBytes = float64(p.in.Load()) / float64(p.load.Controllers)
	return nil
}

// rest measures what controllers and registry cost while nothing changes.
func (p *registryPlay) rest() {
	if p.cost.Joined < p.load.Controllers {
		return
	}
	began, cpu, bytes := time.Now(), processTime(), p.in.Load()+p.out.Load()
	time.Sleep(p.load.IdlePeriod)
	span := time.Since(began).Seconds()
	p.cost.IdleBytes = float64(p.in.Load()+p.out.Load()-bytes) / span / float64(p.load.Controllers)
	p.cost.IdleCPU = (processTime() - cpu).Seconds() / span
}

// moves moves one alias forth and back through the front, each until it is in force everywhere.
func (p *registryPlay) moves() error {
	if p.load.Migrations == 0 || p.cost.Joined < p.load.Controllers {
		return nil
	}
	key, err := scaleKey(operatorName)
	if err != nil {
		return err
	}
	operator := &client.Client{Server: p.address, Name: operatorName, Key: key, Wall: time.Now}
	defer operator.Close()
	push := registry.Push{Model: modelName(0), Version: scaleVersion("v2", 2*p.load.Models+1)}
	if _, err := operator.Command(client.NewID("push"), wire.Command{Push: &push}); err != nil {
		return err
	}
	cpu, bytes := processTime(), p.in.Load()+p.out.Load()
	for i := range p.load.Migrations {
		to := []string{"v2", "v1"}[i%2]
		began := time.Now()
		a, err := operator.Command(client.NewID("move"), wire.Command{WaitMS: p.load.Timeout.Milliseconds(),
			Promote: &registry.Promote{Model: modelName(0), Alias: scaleAlias, To: to, IfRevision: uint64(i + 1)}})
		if err != nil {
			return fmt.Errorf("move %d: %w", i, err)
		}
		if a.Status != "acknowledged" {
			p.cost.MigrationsFailed++
			continue
		}
		p.cost.MigrationTimes = append(p.cost.MigrationTimes, time.Since(began))
	}
	p.cost.MigrationCPU = (processTime() - cpu) / time.Duration(p.load.Migrations)
	p.cost.MigrationBytes = float64(p.in.Load()+p.out.Load()-bytes) / float64(p.load.Migrations) / float64(p.load.Controllers)
	return nil
}

// processTime is the processor time that the process has used.
func processTime() time.Duration {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// String says it in one line.
func (c RegistryCost) String() string {
	moves := make([]string, 0, len(c.MigrationTimes))
	for _, m := range c.MigrationTimes {
		moves = append(moves, m.Round(time.Millisecond).String())
	}
	return fmt.Sprintf("command %v; joined %d in %v, %.0f bytes each, %v of processor; at rest %.0f bytes/s each, %.4f of a core; moves %s, %d failed, %.0f bytes each, %v of processor",
		c.CommandCPU, c.Joined, c.JoinTime.Round(time.Millisecond), c.JoinBytes, c.JoinCPU.Round(time.Millisecond), c.IdleBytes, c.IdleCPU,
		strings.Join(moves, " "), c.MigrationsFailed, c.MigrationBytes, c.MigrationCPU.Round(time.Millisecond))
}
