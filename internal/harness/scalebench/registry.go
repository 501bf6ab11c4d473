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

// RegistryLoad is a registry with controllers that are real agents, with one connection each, but
// take no calls. All run in one process. Signing keys are derived from one secret, and the
// registry's log is on a real disk.
type RegistryLoad struct {
	Controllers, Models int
	Migrations          int           // of one alias, in sequence
	IdlePeriod          time.Duration // during which nothing changes, measured
	Timeout             time.Duration // of each phase
	Lease               time.Duration
	Dir                 string // of the registry's log
	FromSnapshot        bool   // start from a snapshot with the models, as the time for commands grows with the square of their number
}

// RegistryCost is the cost of a RegistryLoad. Processor time is that of the whole process, so it is
// an upper bound for the registry as well as for the controllers.
type RegistryCost struct {
	CommandCPU       time.Duration   // mean of the commands that push and promote the last tenth of the models, with no controller joined
	Joined           int             // controllers that had every alias before the timeout
	JoinTime         time.Duration   // until the last of them had
	JoinBytes        float64         // received by a controller until all had joined; mean
	JoinCPU          time.Duration   // of all controllers and the registry
	IdleBytes        float64         // received and sent by a controller in a second
	IdleCPU          float64         // share of a core, of all controllers and the registry
	MigrationTimes   []time.Duration // of those that were acknowledged, which are in effect everywhere
	MigrationBytes   float64         // received and sent by a controller for one migration
	MigrationCPU     time.Duration   // for one migration, of all controllers and the registry
	MigrationsFailed int
}

// countingConn counts the bytes that one end receives and sends.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

const (
	sharedSecret     = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw" // used only on loopback sockets of this process
	operatorName     = "operator"
	aliasName        = "current"
	snapshotInterval = 5000 // log records between snapshots
)

// A registryRun is a running service with its agents.
type registryRun struct {
	load    RegistryLoad
	service *service.Service
	server  *http1.Server
	address string
	agents  []*agent.Agent
	in, out atomic.Int64
	cost    RegistryCost
}

// RunRegistry runs a load and returns its cost.
func RunRegistry(load RegistryLoad) (RegistryCost, error) {
	r := &registryRun{load: load}
	defer r.close()
	if load.FromSnapshot {
		if err := writeSnapshot(load.Dir, load.Models); err != nil {
			return r.cost, err
		}
	}
	if err := r.startService(); err != nil {
		return r.cost, err
	}
	if !load.FromSnapshot {
		if err := r.pushModels(); err != nil {
			return r.cost, err
		}
	}
	if err := r.joinControllers(); err != nil {
		return r.cost, err
	}
	r.measureIdle()
	return r.cost, r.migrate()
}

// deriveKey returns the signing key of a client.
func deriveKey(name string) (*signing.Key, error) {
	text, err := signing.DeriveSecret(sharedSecret, name)
	if err != nil {
		return nil, err
	}
	return signing.ParseKey(text)
}

func controllerName(i int) string { return fmt.Sprintf("controller-%d", i) }

func (r *registryRun) startService() error {
	settings := registry.Settings{LeaseDuration: r.load.Lease, StaleDuration: r.load.Lease, MaxClockDrift: 0.01, SettleTimeout: r.load.Lease / 8, StagingTimeout: r.load.Lease, Retention: time.Minute, AutoRollbackWindow: time.Minute, MinCalls: 100, MaxErrorIncrease: 0.2,
		MaxModels: r.load.Models, MaxVersions: 20, MaxAliases: 5, MaxControllers: r.load.Controllers, MaxRemembered: 1000}
	s, _, err := service.Open(service.Config{Settings: settings, Clock: clock.System(), FS: store.Dir(r.load.Dir), Log: zerolog.Nop(), SnapshotInterval: snapshotInterval, LongPoll: r.load.Lease / 4})
	if err != nil {
		return err
	}
	r.service = s
	var clients []service.Client
	for i := range r.load.Controllers {
		key, err := deriveKey(controllerName(i))
		if err != nil {
			return err
		}
		clients = append(clients, service.Client{Name: controllerName(i), Keys: []*signing.Key{key}, Controller: true})
	}
	key, err := deriveKey(operatorName)
	if err != nil {
		return err
	}
	clients = append(clients, service.Client{Name: operatorName, Keys: []*signing.Key{key}, Operator: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = listener.Addr().String()
	r.server = &http1.Server{Handler: service.NewHandler(s, clients, time.Minute)}
	go r.server.Serve(listener)
	return nil
}

func (r *registryRun) close() {
	var stopping sync.WaitGroup
	for _, a := range r.agents {
		stopping.Go(a.Stop)
	}
	stopping.Wait()
	if r.server != nil {
		r.server.Abort()
	}
	if r.service != nil {
		r.service.Close()
	}
}

// writeSnapshot writes a log whose snapshot is a registry with the given number of models.
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
	last, err := log.Append(context.Background(), []byte("{}")) // a snapshot has to follow a record, which it replaces
	if err != nil {
		return err
	}
	return log.Snapshot(last, text)
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func modelVersion(name string, i int) registry.Version {
	return registry.Version{Name: name, Digest: "sha256:" + fmt.Sprintf("%064x", i), Size: 1 << 20}
}

// pushModels creates the models, with one alias each, by commands of the service.
func (r *registryRun) pushModels() error {
	measured := max(1, r.load.Models/10)
	var began time.Duration
	for i := range r.load.Models {
		if i == r.load.Models-measured {
			began = processCPUTime()
		}
		for _, command := range []registry.Command{
			registry.Push{Model: modelName(i), Version: modelVersion("v1", 2*i)},
			registry.Promote{Model: modelName(i), Alias: aliasName, To: "v1"},
		} {
			if _, err := r.service.Commit(command); err != nil {
				return err
			}
		}
	}
	r.cost.CommandCPU = (processCPUTime() - began) / time.Duration(2*measured)
	return nil
}

// joinControllers starts all controllers at once and waits until each has every alias.
func (r *registryRun) joinControllers() error {
	began, cpu := time.Now(), processCPUTime()
	for i := range r.load.Controllers {
		key, err := deriveKey(controllerName(i))
		if err != nil {
			return err
		}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &r.in, &r.out}, nil
		}
		c := &client.Client{Server: r.address, Name: controllerName(i), Key: key, Wall: time.Now, Dial: dial}
		r.agents = append(r.agents, agent.Start(agent.Config{Client: c, Node: controllerName(i), Clock: clock.System(), Log: zerolog.Nop()}))
	}
	last := registry.AliasName{Model: modelName(r.load.Models - 1), Alias: aliasName}
	waiting := r.agents
	for len(waiting) > 0 && time.Since(began) < r.load.Timeout {
		if _, verdict := waiting[0].Resolve(last); verdict == registry.Allowed {
			waiting = waiting[1:]
			continue
		}
		time.Sleep(time.Millisecond)
	}
	r.cost.Joined, r.cost.JoinTime, r.cost.JoinCPU = r.load.Controllers-len(waiting), time.Since(began), processCPUTime()-cpu
	r.cost.JoinBytes = float64(r.in.Load()) / float64(r.load.Controllers)
	return nil
}

// measureIdle measures the cost of controllers and registry while nothing changes.
func (r *registryRun) measureIdle() {
	if r.cost.Joined < r.load.Controllers {
		return
	}
	began, cpu, bytes := time.Now(), processCPUTime(), r.in.Load()+r.out.Load()
	time.Sleep(r.load.IdlePeriod)
	span := time.Since(began).Seconds()
	r.cost.IdleBytes = float64(r.in.Load()+r.out.Load()-bytes) / span / float64(r.load.Controllers)
	r.cost.IdleCPU = (processCPUTime() - cpu).Seconds() / span
}

// migrate migrates one alias back and forth by requests of an operator, and waits each time until
// the migration is in effect everywhere.
func (r *registryRun) migrate() error {
	if r.load.Migrations == 0 || r.cost.Joined < r.load.Controllers {
		return nil
	}
	key, err := deriveKey(operatorName)
	if err != nil {
		return err
	}
	operator := &client.Client{Server: r.address, Name: operatorName, Key: key, Wall: time.Now}
	defer operator.Close()
	push := registry.Push{Model: modelName(0), Version: modelVersion("v2", 2*r.load.Models+1)}
	if _, err := operator.Command(client.NewID("push"), wire.Command{Push: &push}); err != nil {
		return err
	}
	cpu, bytes := processCPUTime(), r.in.Load()+r.out.Load()
	for i := range r.load.Migrations {
		to := []string{"v2", "v1"}[i%2]
		began := time.Now()
		a, err := operator.Command(client.NewID("move"), wire.Command{WaitMS: r.load.Timeout.Milliseconds(),
			Promote: &registry.Promote{Model: modelName(0), Alias: aliasName, To: to, IfRevision: uint64(i + 1)}})
		if err != nil {
			return fmt.Errorf("migration %d: %w", i, err)
		}
		if a.Status != "acknowledged" {
			r.cost.MigrationsFailed++
			continue
		}
		r.cost.MigrationTimes = append(r.cost.MigrationTimes, time.Since(began))
	}
	r.cost.MigrationCPU = (processCPUTime() - cpu) / time.Duration(r.load.Migrations)
	r.cost.MigrationBytes = float64(r.in.Load()+r.out.Load()-bytes) / float64(r.load.Migrations) / float64(r.load.Controllers)
	return nil
}

// processCPUTime returns the processor time that the process has used.
func processCPUTime() time.Duration {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// String returns the cost in one line.
func (c RegistryCost) String() string {
	migrations := make([]string, 0, len(c.MigrationTimes))
	for _, m := range c.MigrationTimes {
		migrations = append(migrations, m.Round(time.Millisecond).String())
	}
	return fmt.Sprintf("command %v; joined %d in %v, %.0f bytes each, %v of processor; idle %.0f bytes/s each, %.4f of a core; migrations %s, %d failed, %.0f bytes each, %v of processor",
		c.CommandCPU, c.Joined, c.JoinTime.Round(time.Millisecond), c.JoinBytes, c.JoinCPU.Round(time.Millisecond), c.IdleBytes, c.IdleCPU,
		strings.Join(migrations, " "), c.MigrationsFailed, c.MigrationBytes, c.MigrationCPU.Round(time.Millisecond))
}
