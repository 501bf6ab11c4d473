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

// A Sink is notified of changes to the endpoint list. gateway.Gateway implements it.
//
// kind says whether workers is a complete list, a delta or a cached list. version is the number of
// the notification, or 0 for a cached list. An error rejects the update: the previous list stays in
// force.
type Sink interface {
	UpdateWorkers(kind scheduler.ListKind, version uint32, workers []gateway.Worker) error
}

// Config configures a Watcher, which watches a file or, if File is empty, a server.
type Config struct {
	Node         string // the controller's name, sent to the server
	Cluster      string // cluster name required in lists
	File         string
	Server       string        // host:port
	PollInterval time.Duration // time between two reads of the file
	CacheFile    string        // file that caches the last list applied; "" for none
	Sink         Sink
	Log          zerolog.Logger
	// Dial opens connections to the server. Nil means net.Dialer.DialContext.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

const dialTimeout = 2 * time.Second

// A Watcher keeps a sink up to date until Stop. One goroutine reads the file or polls the server.
// After Start has returned, only that goroutine uses state and calls the sink.
type Watcher struct {
	cfg    Config
	state  State
	ctx    context.Context // ends with Stop
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	conn net.Conn // last connection to the server, which Stop closes
}

// Start notifies the sink of the cached list, if there is one, and starts watching.
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

// Stop stops watching. After it returns, the sink is not notified any more.
func (w *Watcher) Stop() {
	w.cancel()
	w.mu.Lock()
	if w.conn != nil {
		w.conn.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// apply applies an update, notifies the sink of the changes and caches the new list. If the update
// is invalid or the sink rejects it, the previous list stays in force.
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

// logRejected is the log message for an update that was not applied, from a file or a server.
const logRejected = "endpoint list rejected, keeping previous"

// sleep waits for the given time. It returns false if the watcher was stopped meanwhile.
func (w *Watcher) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
