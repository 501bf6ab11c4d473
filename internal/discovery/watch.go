package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// A Sink takes news of the list. gateway.Gateway is one.
type Sink interface {
	Workers(kind scheduler.ListKind, version uint32, l []gateway.Worker) error
}

// Config sets up a Watcher, of a file or of a server.
type Config struct {
	Node    string // the controller's name
	Cluster string
	File    string
	Server  string // host:port
	Poll    time.Duration
	Cache   string // file of the last good list; "" for none
	Sink    Sink
	Log     zerolog.Logger
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
}

// How a server is asked. A long poll is answered after its hold at the latest, so silence for longer is a fault.
const (
	LongPoll  = 10 * time.Second
	silence   = LongPoll + 5*time.Second
	leastWait = 100 * time.Millisecond
	mostWait  = 5 * time.Second
)

// Path of the long-polled discovery of a server: the REST form of xDS. Its answer is a whole list or a delta.
const Path = "/v3/discovery:endpoints"

// A Watcher keeps a sink up to date until Stop.
type Watcher struct {
	cfg    Config
	state  State
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	conn   net.Conn
}

// Start tells the sink of the cached list, if there is one, and begins to watch.
func Start(cfg Config) *Watcher {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	w := &Watcher{cfg: cfg, state: State{Cluster: cfg.Cluster}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.cached()
	w.wg.Add(1)
	if cfg.File != "" {
		go w.watchFile()
	} else {
		go w.watchServer()
	}
	return w
}

// Stop ends the watching.
func (w *Watcher) Stop() {
	w.cancel()
	w.mu.Lock()
	if w.conn != nil {
		w.conn.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

func (w *Watcher) cached() {
	if w.cfg.Cache == "" {
		return
	}
	text, err := os.ReadFile(w.cfg.Cache)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var l []gateway.Worker
	if err == nil {
		l, err = ParseAssignment(text, w.cfg.Cluster)
	}
	if err == nil {
		err = w.cfg.Sink.Workers(scheduler.CachedList, 0, l)
	}
	if err != nil {
		w.cfg.Log.Warn().Err(err).Str("file", w.cfg.Cache).Msg("cached list not used")
	}
}

// save keeps the list for the next start. A failure costs that start, not this run.
func (w *Watcher) save() {
	if w.cfg.Cache == "" {
		return
	}
	text, err := Render(w.cfg.Cluster, w.state.Workers())
	if err == nil {
		err = WriteFile(w.cfg.Cache, text)
	}
	if err != nil {
		w.cfg.Log.Warn().Err(err).Msg("list not cached")
	}
}

// WriteFile replaces a file whole: a reader sees the old text or the new.
func WriteFile(name string, text []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(text)
	if err == nil {
		err = tmp.Sync()
	}
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp.Name(), name)
	}
	if err != nil {
		os.Remove(tmp.Name())
	}
	return err
}

// take applies an update and tells the sink.
func (w *Watcher) take(u Update) error {
	before := w.state
	news, err := w.state.Apply(u)
	if err != nil || news == nil {
		return err
	}
	if err := w.cfg.Sink.Workers(news.Kind, news.Version, news.Workers); err != nil {
		w.state = before
		return err
	}
	w.save()
	return nil
}

func (w *Watcher) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// watchFile reads the file when it has changed. It compares the text: a time of change can lie.
func (w *Watcher) watchFile() {
	defer w.wg.Done()
	var last []byte
	complained := ""
	for n := uint64(1); ; n++ {
		text, err := os.ReadFile(w.cfg.File)
		if err == nil && !bytes.Equal(text, last) {
			last = text
			err = w.take(Update{VersionInfo: fmt.Sprint(n), TypeURL: TypeAssignment, Resources: []json.RawMessage{text}})
		} else if err == nil {
			complained = ""
		}
		if err != nil && err.Error() != complained {
			complained = err.Error()
			w.cfg.Log.Warn().Err(err).Str("file", w.cfg.File).Msg("list not taken: the old one stays")
		}
		if !w.sleep(w.cfg.Poll) {
			return
		}
	}
}

// watchServer asks the server for what is new, one long poll after the other.
func (w *Watcher) watchServer() {
	defer w.wg.Done()
	failures := 0
	req := Request{Node: Node{w.cfg.Node}, ResourceNames: []string{w.cfg.Cluster}, TypeURL: TypeAssignment}
	var br *bufio.Reader
	var conn net.Conn
	for w.ctx.Err() == nil {
		if conn == nil {
			var err error
			if conn, err = w.cfg.Dial(w.ctx, "tcp", w.cfg.Server); err == nil {
				br = bufio.NewReaderSize(conn, http1.ReadBuffer)
				w.state.Reconnected()
				w.mu.Lock()
				w.conn = conn
				w.mu.Unlock()
			} else {
				conn = nil
				failures++
				w.complain(err, failures)
				continue
			}
		}
		u, err := w.poll(conn, br, &req)
		if err != nil {
			conn.Close()
			conn = nil
			failures++
			w.complain(err, failures)
			continue
		}
		failures = 0
		if u == nil {
			continue
		}
		req.ResponseNonce, req.ErrorDetail = u.Nonce, nil
		if err := w.take(*u); err != nil {
			w.cfg.Log.Warn().Err(err).Str("nonce", u.Nonce).Msg("list not taken: the old one stays")
			req.ErrorDetail = &ErrorDetail{Code: 3, Message: err.Error()} // INVALID_ARGUMENT
		}
		req.VersionInfo = w.state.Version
	}
	if conn != nil {
		conn.Close()
	}
}

func (w *Watcher) complain(err error, failures int) {
	if w.ctx.Err() != nil {
		return
	}
	wait := Backoff(failures, leastWait, mostWait, rand.Float64())
	w.cfg.Log.Warn().Err(err).Int("failures", failures).Dur("again_in", wait).Msg("server of the list")
	w.sleep(wait)
}

var listLimits = http1.Limits{Body: mostBytes}.Filled()

// poll asks once; nil without an error means that nothing is new.
func (w *Watcher) poll(conn net.Conn, br *bufio.Reader, req *Request) (*Update, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(silence))
	_, err = conn.Write(http1.AppendRequest(nil, &http1.Request{Method: "POST", Target: Path, Body: body, Header: http1.Header{
		{Name: "Host", Value: w.cfg.Server}, {Name: "User-Agent", Value: "kitehub/" + w.cfg.Node}, {Name: "Content-Type", Value: "application/json"}}}))
	if err != nil {
		return nil, err
	}
	resp, err := http1.ReadResponse(br, &listLimits, "POST")
	if err != nil {
		return nil, err
	}
	if resp.Close {
		conn.Close() // the next write finds it so
	}
	switch resp.Status {
	case 304:
		return nil, nil
	case 200:
	default:
		return nil, fmt.Errorf("status %d", resp.Status)
	}
	var u Update
	if err := json.Unmarshal(resp.Body, &u); err != nil {
		return nil, fmt.Errorf("not a DiscoveryResponse: %w", err)
	}
	return &u, nil
}
