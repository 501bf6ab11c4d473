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

// versions is the registry of a day, its stores of blobs, and the operator who moves aliases.
type versions struct {
	s     *Versions
	p     *player
	dir   string
	addr  string
	blobs []*fakeworker.BlobStore
	fetch map[string]*blobfetch.Client // of each worker
	sizes map[string]int64             // of digests
	names []string                     // models
	keys  map[string]string            // secrets, of controllers and the operator

	mu      sync.Mutex
	service *service.Service
	server  *http1.Server
	port    net.Listener
	ln      *incarnation
	counts  MigrationCounts
}

// MigrationCounts are what became of the moves that the operator asked for.
type MigrationCounts struct {
	Requested, Acknowledged, Aborted, Rejected, Unknown int
	Longest                                             time.Duration // from the question to the acknowledgement
}

func secretOf(rng *rand.Rand) string {
	var b [32]byte
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return "whsec_" + base64.StdEncoding.EncodeToString(b[:])
}

const operator = "operator"

// newVersions starts the registry and makes all models known, each live at its first version.
func newVersions(p *player, names []string) (*versions, error) {
	v := &versions{s: p.s.Versions, p: p, dir: filepath.Join(p.dir, "registry"), names: names, fetch: map[string]*blobfetch.Client{}, sizes: map[string]int64{}, keys: map[string]string{}}
	if err := os.MkdirAll(v.dir, 0o700); err != nil {
		return nil, err
	}
	v.keys[operator] = secretOf(p.rng)
	for i := range int(p.s.Controllers) {
		v.keys[controllerName(i)] = secretOf(p.rng)
	}
	if err := v.startStores(); err != nil {
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

// startStores starts the blob stores, and gives each worker a client of them.
func (v *versions) startStores() error {
	var stores []string
	for i := range int(v.s.Stores) {
		b, err := fakeworker.StartBlobStore()
		if err != nil {
			return err
		}
		if i == 1 && v.s.Rotten {
			b.SetFault(fakeworker.BitFlipped)
		}
		v.blobs = append(v.blobs, b)
		stores = append(stores, b.Addr())
	}
	p := v.p
	for name := range p.specs {
		// Each worker prefers another store.
		l := append([]string(nil), stores...)
		p.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		v.fetch[name] = blobfetch.NewClient(blobfetch.Settings{MaxRequests: 12, MinBackoff: 5 * time.Millisecond, MaxBackoff: 200 * time.Millisecond, CorruptBackoff: time.Second}, l,
			time.Second, p.clk, zerolog.Nop())
	}
	return nil
}

// pushModels makes all versions of all models known, and each model live at its first version.
func (v *versions) pushModels() error {
	c := v.client()
	defer c.Close()
	for _, name := range v.names {
		for n := range int(v.s.Count) {
			digest, size := v.putBlob()
			push := registry.Push{Model: name, Version: registry.Version{Name: version(n), Digest: digest, Size: size}}
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

// putBlob draws the bytes of a version and puts them in all stores.
func (v *versions) putBlob() (digest string, size int64) {
	blob := make([]byte, v.s.Bytes)
	for i := range blob {
		blob[i] = byte(v.p.rng.Uint32())
	}
	sum := sha256.Sum256(blob)
	digest = "sha256:" + hex.EncodeToString(sum[:])
	for _, b := range v.blobs {
		b.Put(digest, blob)
	}
	v.sizes[digest] = int64(len(blob))
	return digest, int64(len(blob))
}

func version(n int) string { return fmt.Sprint("v", n) }

// start runs the registry's process, on the folder as it is.
func (v *versions) start() error {
	lease := ms(v.s.LeaseMs)
	s, _, err := service.Open(service.Config{Clock: v.p.clk, FS: store.Dir(v.dir), Log: v.p.o.Log, SnapshotInterval: 200, LongPoll: lease / 4,
		Settings: registry.Settings{LeaseDuration: lease, MaxClockDrift: 0.01, SettleTimeout: ms(v.s.SettleMs), StagingTimeout: 2 * time.Second, Retention: 3 * time.Second, AutoRollbackWindow: time.Second, MinCalls: 200, MaxErrorIncrease: 0.5,
			MaxModels: 10000, MaxVersions: 100, MaxAliases: 4, MaxControllers: 100, MaxRemembered: 100000}})
	if err != nil {
		return err
	}
	var callers []service.Client
	for name, secret := range v.keys {
		k, err := signing.ParseKey(secret)
		if err != nil {
			return err
		}
		callers = append(callers, service.Client{Name: name, Keys: []*signing.Key{k}, Operator: name == operator, Controller: name != operator})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.port == nil {
		if v.port, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			s.Close()
			return err
		}
		go v.accept(v.port)
	}
	ln := &incarnation{Listener: v.port, conns: make(chan net.Conn), end: make(chan struct{})}
	server := &http1.Server{Handler: service.NewHandler(s, callers, time.Minute)}
	go server.Serve(ln)
	v.service, v.server, v.ln, v.addr = s, server, ln, ln.Addr().String()
	return nil
}

// A incarnation is the listener of one process on a port that the rig keeps over its death: a port that was free meanwhile could
// become another connection's.
type incarnation struct {
	net.Listener
	conns chan net.Conn
	end   chan struct{}
}

func (l *incarnation) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.end:
		return nil, net.ErrClosed
	}
}

func (l *incarnation) Close() error {
	close(l.end)
	return nil
}

// accept hands connections to the process that lives, and closes them while none does.
func (v *versions) accept(port net.Listener) {
	for {
		c, err := port.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		ln, up := v.ln, v.service != nil
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

// kill ends the registry's process: nobody who waits hears of it, and what it knew of leases is gone.
func (v *versions) kill() {
	v.mu.Lock()
	s, server, ln := v.service, v.server, v.ln
	v.service = nil
	v.mu.Unlock()
	if s == nil {
		return
	}
	ln.Close()
	server.Abort()
	s.Close()
}

func (v *versions) client() *client.Client {
	k, err := signing.ParseKey(v.keys[operator])
	if err != nil {
		panic(err) // a secret that the rig made
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return &client.Client{Server: v.addr, Name: operator, Key: k, Wall: v.p.clk.Wall}
}

// promote moves a model's alias and waits for the acknowledgement, through deaths of the registry too: the same key asks
// again for the same move. It returns the alias's next revision.
func (v *versions) promote(c *client.Client, model string, to int, revision uint64, copies int, patient bool) (uint64, error) {
	key, begin := client.NewID("move"), v.p.clk.Now()
	cmd := rwire.Command{Promote: &registry.Promote{Model: model, Alias: "current", To: version(to), IfRevision: revision, Copies: copies}, WaitMS: 5000}
	for {
		a, err := c.Command(key, cmd)
		if err == nil && (a.Status == "acknowledged" || a.Status == "given up") {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.counts.Requested++
			if a.Status == "given up" {
				v.counts.Aborted++
				return revision, nil
			}
			v.counts.Acknowledged++
			v.counts.Longest = max(v.counts.Longest, v.p.clk.Now()-begin)
			return revision + 1, nil
		}
		if !patient && err != nil {
			return revision, err
		}
		if !v.p.wait(20 * time.Millisecond) {
			v.mu.Lock()
			v.counts.Requested++
			v.counts.Unknown++
			v.mu.Unlock()
			return revision, nil
		}
	}
}

// digest returns what a version's bytes are.
func (v *versions) digest(model string, to int) (d string) {
	v.mu.Lock()
	s := v.service
	v.mu.Unlock()
	if s != nil {
		s.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) {
			d = st.Models[model].Versions[version(to)].Digest
		})
	}
	return d
}

// migrate moves aliases until the day ends, several at a time, each model's in turn.
func (v *versions) migrate() {
	defer v.p.wg.Done()
	if v.s.MovesPerS == 0 {
		return
	}
	digests := map[string]string{}
	for _, m := range v.names {
		for n := range int(v.s.Count) {
			digests[m+"@"+version(n)] = v.digest(m, n)
		}
		v.p.log.Add(trace.Record{Kind: trace.AliasMigrated, Function: m + "@current", Revision: 1, Digest: digests[m+"@v0"], Note: m + "@v0"})
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	type turn struct {
		to       int
		revision uint64
	}
	free := make(chan string, len(v.names))
	turns := map[string]*turn{}
	for _, m := range v.names {
		free <- m
		turns[m] = &turn{0, 1}
	}
	for v.p.wait(time.Duration(float64(time.Second) / v.s.MovesPerS)) {
		select {
		case m := <-free:
			wg.Add(1)
			go func() {
				defer wg.Done()
				t := turns[m]
				next := (t.to + 1) % int(v.s.Count)
				c := v.client()
				defer c.Close()
				revision, err := v.promote(c, m, next, t.revision, int(v.s.Copies), true)
				if err == nil && revision > t.revision {
					name := m + "@" + version(next)
					v.p.log.Add(trace.Record{Kind: trace.AliasMigrated, Function: m + "@current", Revision: revision, Digest: digests[name], Note: name})
					t.to, t.revision = next, revision
				}
				free <- m
			}()
		default: // all are being moved
		}
	}
}

// lie has workers run the bytes of the first version of each model under the names of all.
func (v *versions) lie(workers []string) {
	for _, w := range workers {
		for _, m := range v.names {
			first := v.digest(m, 0)
			for n := range int(v.s.Count) {
				v.p.host.ServeStaleVersion(w, m+"@"+version(n), first)
			}
		}
	}
}

// get fetches a version's bytes for a worker.
func (v *versions) get(worker, model, digest string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err := v.fetch[worker].Fetch(ctx, model, digest, v.sizes[digest])
	return err
}

func (v *versions) close() {
	v.kill()
	v.port.Close()
	for _, b := range v.blobs {
		b.Close()
	}
	for _, f := range v.fetch {
		f.Close()
	}
}
