package scenario

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/blobfetch"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/service"
	rwire "kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

// A modelRegistry is the registry of a scenario with its blob stores and the operator who migrates
// aliases.
type modelRegistry struct {
	settings   *Versions
	p          *player
	dir        string
	addr       string
	blobStores []*fakeworker.BlobStore
	fetchers   map[string]*blobfetch.Client // by worker
	sizes      map[string]int64             // by digest
	models     []string
	secrets    map[string]string // of the controllers and the operator, by name

	mu         sync.Mutex
	service    *service.Service
	server     *http1.Server
	listener   net.Listener
	current    *processListener
	migrations MigrationCounts
}

// MigrationCounts counts the migrations that the operator requested, by outcome.
type MigrationCounts struct {
	Requested, Acknowledged, Aborted, Rejected, Unknown int
	Longest                                             time.Duration // from the request to the acknowledgement
}

// newSecret draws a signing secret.
func newSecret(rng *rand.Rand) string {
	var b [32]byte
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return "whsec_" + base64.StdEncoding.EncodeToString(b[:])
}

// operator is the name of the client that migrates aliases.
const operator = "operator"

// newModelRegistry starts the registry and pushes all models, each live at its first version.
func newModelRegistry(p *player, models []string) (*modelRegistry, error) {
	v := &modelRegistry{settings: p.day.Versions, p: p, dir: filepath.Join(p.dir, "registry"), models: models, fetchers: map[string]*blobfetch.Client{}, sizes: map[string]int64{}, secrets: map[string]string{}}
	if err := os.MkdirAll(v.dir, 0o700); err != nil {
		return nil, err
	}
	v.secrets[operator] = newSecret(p.rng)
	for i := range int(p.day.Controllers) {
		v.secrets[controllerName(i)] = newSecret(p.rng)
	}
	if err := v.startBlobStores(); err != nil {
		return nil, err
	}
	if err := v.start(); err != nil {
		return nil, err
	}
	if err := v.pushModels(); err != nil {
		return nil, err
	}
	return v, nil
}

// startBlobStores starts the blob stores and a fetch client for each worker.
func (v *modelRegistry) startBlobStores() error {
	var stores []string
	for i := range int(v.settings.Stores) {
		b, err := fakeworker.StartBlobStore()
		if err != nil {
			return err
		}
		if i == 1 && v.settings.Rotten {
			b.SetFault(fakeworker.BitFlipped)
		}
		v.blobStores = append(v.blobStores, b)
		stores = append(stores, b.Addr())
	}
	p := v.p
	for name := range p.specs {
		// Each worker tries the stores in an order of its own.
		l := append([]string(nil), stores...)
		p.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		v.fetchers[name] = blobfetch.NewClient(blobfetch.Settings{MaxRequests: 12, MinBackoff: 5 * time.Millisecond, MaxBackoff: 200 * time.Millisecond, CorruptBackoff: time.Second}, l,
			time.Second, p.clk, zerolog.Nop())
	}
	return nil
}

// pushModels pushes all versions of all models and promotes the first version of each.
func (v *modelRegistry) pushModels() error {
	c := v.operatorClient()
	defer c.Close()
	for _, name := range v.models {
		for n := range int(v.settings.Count) {
			digest, size := v.putBlob()
			push := registry.Push{Model: name, Version: registry.Version{Name: versionName(n), Digest: digest, Size: size}}
			if _, err := c.Command(client.NewID("push"), rwire.Command{Push: &push}); err != nil {
				return err
			}
		}
		if _, err := v.promote(c, name, 0, 0, 0, false); err != nil {
			return err
		}
	}
	return nil
}

// putBlob draws the bytes of a version and puts them into all stores.
func (v *modelRegistry) putBlob() (digest string, size int64) {
	blob := make([]byte, v.settings.Bytes)
	for i := range blob {
		blob[i] = byte(v.p.rng.Uint32())
	}
	sum := sha256.Sum256(blob)
	digest = "sha256:" + hex.EncodeToString(sum[:])
	for _, b := range v.blobStores {
		b.Put(digest, blob)
	}
	v.sizes[digest] = int64(len(blob))
	return digest, int64(len(blob))
}

func versionName(n int) string { return fmt.Sprint("v", n) }

// start starts the registry with the state that its directory holds.
func (v *modelRegistry) start() error {
	lease := ms(v.settings.LeaseMs)
	s, _, err := service.Open(service.Config{Clock: v.p.clk, FS: store.Dir(v.dir), Log: v.p.options.Log, SnapshotInterval: 200, LongPoll: lease / 4,
		Settings: registry.Settings{LeaseDuration: lease, StaleDuration: lease, MaxClockDrift: 0.01, SettleTimeout: ms(v.settings.SettleMs), StagingTimeout: 2 * time.Second, Retention: 3 * time.Second, AutoRollbackWindow: time.Second, MinCalls: 200, MaxErrorIncrease: 0.5,
			MaxModels: 10000, MaxVersions: 100, MaxAliases: 4, MaxControllers: 100, MaxRemembered: 100000}})
	if err != nil {
		return err
	}
	var callers []service.Client
	for name, secret := range v.secrets {
		k, err := signing.ParseKey(secret)
		if err != nil {
			return err
		}
		callers = append(callers, service.Client{Name: name, Keys: []*signing.Key{k}, Operator: name == operator, Controller: name != operator})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listener == nil {
		if v.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			s.Close()
			return err
		}
		go v.accept(v.listener)
	}
	ln := &processListener{Listener: v.listener, conns: make(chan net.Conn), end: make(chan struct{})}
	server := &http1.Server{Handler: service.NewHandler(s, callers, time.Minute)}
	go server.Serve(ln)
	v.service, v.server, v.current, v.addr = s, server, ln, ln.Addr().String()
	return nil
}

// A processListener is the listener of one registry process. The harness keeps the port bound while
// the registry is down, as a free port could be taken by another connection.
type processListener struct {
	net.Listener
	conns chan net.Conn
	end   chan struct{}
}

func (l *processListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.end:
		return nil, net.ErrClosed
	}
}

func (l *processListener) Close() error {
	close(l.end)
	return nil
}

// accept passes connections to the registry process that runs, and closes them while none does.
func (v *modelRegistry) accept(port net.Listener) {
	for {
		c, err := port.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		ln, up := v.current, v.service != nil
		v.mu.Unlock()
		if !up {
			c.Close()
			continue
		}
		select {
		case ln.conns <- c:
		case <-ln.end:
			c.Close()
		}
	}
}

// kill stops the registry as a crash would: pending requests get no response, and the leases that
// it knew are lost.
func (v *modelRegistry) kill() {
	v.mu.Lock()
	s, server, ln := v.service, v.server, v.current
	v.service = nil
	v.mu.Unlock()
	if s == nil {
		return
	}
	ln.Close()
	server.Abort()
	s.Close()
}

func (v *modelRegistry) operatorClient() *client.Client {
	k, err := signing.ParseKey(v.secrets[operator])
	if err != nil {
		panic(err) // the harness created the secret
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return &client.Client{Server: v.addr, Name: operator, Key: k, Wall: v.p.clk.Wall}
}

// promote migrates a model's alias and waits for the acknowledgement. With retryErrors it also
// waits while the registry is down, as the same key repeats the same command. It returns the
// alias's revision after that.
func (v *modelRegistry) promote(c *client.Client, model string, to int, revision uint64, copies int, retryErrors bool) (uint64, error) {
	key, begin := client.NewID("move"), v.p.clk.Now()
	cmd := rwire.Command{Promote: &registry.Promote{Model: model, Alias: "current", To: versionName(to), IfRevision: revision, Copies: copies}, WaitMS: 5000}
	for {
		a, err := c.Command(key, cmd)
		if err == nil && (a.Status == "acknowledged" || a.Status == "given up") {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.migrations.Requested++
			if a.Status == "given up" {
				v.migrations.Aborted++
				return revision, nil
			}
			v.migrations.Acknowledged++
			v.migrations.Longest = max(v.migrations.Longest, v.p.clk.Now()-begin)
			return revision + 1, nil
		}
		if !retryErrors && err != nil {
			return revision, err
		}
		if !v.p.wait(20 * time.Millisecond) {
			v.mu.Lock()
			v.migrations.Requested++
			v.migrations.Unknown++
			v.mu.Unlock()
			return revision, nil
		}
	}
}

// digest returns the digest of a version, or "" while the registry is down.
func (v *modelRegistry) digest(model string, to int) (d string) {
	v.mu.Lock()
	s := v.service
	v.mu.Unlock()
	if s != nil {
		s.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) {
			d = st.Models[model].Versions[versionName(to)].Digest
		})
	}
	return d
}

// migrate migrates aliases until the scenario ends, several at a time but one migration at a time
// for each model.
func (v *modelRegistry) migrate() {
	defer v.p.wg.Done()
	if v.settings.MovesPerS == 0 {
		return
	}
	digests := map[string]string{}
	for _, m := range v.models {
		for n := range int(v.settings.Count) {
			digests[m+"@"+versionName(n)] = v.digest(m, n)
		}
		v.p.log.Add(trace.Record{Kind: trace.AliasMigrated, Function: m + "@current", Revision: 1, Digest: digests[m+"@v0"], Note: m + "@v0"})
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	type aliasState struct {
		to       int
		revision uint64
	}
	free := make(chan string, len(v.models))
	states := map[string]*aliasState{}
	for _, m := range v.models {
		free <- m
		states[m] = &aliasState{0, 1}
	}
	for v.p.wait(time.Duration(float64(time.Second) / v.settings.MovesPerS)) {
		select {
		case m := <-free:
			wg.Add(1)
			go func() {
				defer wg.Done()
				t := states[m]
				next := (t.to + 1) % int(v.settings.Count)
				c := v.operatorClient()
				defer c.Close()
				revision, err := v.promote(c, m, next, t.revision, int(v.settings.Copies), true)
				if err == nil && revision > t.revision {
					name := m + "@" + versionName(next)
					v.p.log.Add(trace.Record{Kind: trace.AliasMigrated, Function: m + "@current", Revision: revision, Digest: digests[name], Note: name})
					t.to, t.revision = next, revision
				}
				free <- m
			}()
		default: // every alias has a migration in progress
		}
	}
}

// runWrongBytes has workers run the bytes of a model's first version for every version of the
// model.
func (v *modelRegistry) runWrongBytes(workers []string) {
	for _, w := range workers {
		for _, m := range v.models {
			first := v.digest(m, 0)
			for n := range int(v.settings.Count) {
				v.p.host.ServeStaleVersion(w, m+"@"+versionName(n), first)
			}
		}
	}
}

// fetchBlob fetches the bytes of a version for a worker.
func (v *modelRegistry) fetchBlob(worker, model, digest string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err := v.fetchers[worker].Fetch(ctx, model, digest, v.sizes[digest])
	return err
}

func (v *modelRegistry) close() {
	v.kill()
	v.listener.Close()
	for _, b := range v.blobStores {
		b.Close()
	}
	for _, f := range v.fetchers {
		f.Close()
	}
}
