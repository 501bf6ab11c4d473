package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// A Sink is notified of changes of the list. gateway.Gateway is one.
//
// kind says whether workers is the complete list, a delta or a cached list; version counts the notifications, and is
// 0 for a cached list. An error rejects the update: the previous list stays in force.
type Sink interface {
	UpdateWorkers(kind scheduler.ListKind, version uint32, workers []gateway.Worker) error
}

// Config sets up a Watcher, of a file or, if File is empty, of a server.
type Config struct {
	Node         string // the controller's name, sent to the server
	Cluster      string // the name that lists must have
	File         string
	Server       string        // host:port
	PollInterval time.Duration // how often the file is read
	CacheFile    string        // file for the last list that was applied; "" for none
	Sink         Sink
	Log          zerolog.Logger
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error) // nil for net.Dialer's
}

const dialTimeout = 2 * time.Second

// A Watcher keeps a sink up to date until Stop. One goroutine reads the file or polls the server; it alone uses state
// and, after Start has returned, calls the sink.
type Watcher struct {
	cfg    Config
	state  State
	ctx    context.Context // ends with Stop
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	conn net.Conn // to the server, for Stop to close; the last one stays when it is closed
}

// Start notifies the sink of the cached list, if there is one, and begins to watch.
func Start(cfg Config) *Watcher {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	w := &Watcher{cfg: cfg, state: State{Cluster: cfg.Cluster}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.loadCache()
	w.wg.Add(1)
	if cfg.File != "" {
		go w.watchFile()
	} else {
		go w.watchServer()
	}
	return w
}

// Stop stops the watching, and returns when the sink is notified no more.
func (w *Watcher) Stop() {
	w.cancel()
	w.mu.Lock()
	if w.conn != nil {
		w.conn.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// apply applies an update, notifies the sink of what it changes and caches the new list. On an error, the sink's
// included, the previous list stays in force.
func (w *Watcher) apply(u Update) error {
	previous := w.state
	event, err := w.state.Apply(u)
	if err != nil || event == nil {
		return err
	}
	if err := w.cfg.Sink.UpdateWorkers(event.Kind, event.Version, event.Workers); err != nil {
		w.state = previous
		return err
	}
	w.saveCache()
	return nil
}

// logRejected is the one line, for a file and a server, that says that an update was not applied.
const logRejected = "endpoint list rejected, keeping previous"

// sleep waits; it returns false if the watcher was stopped meanwhile.
func (w *Watcher) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
