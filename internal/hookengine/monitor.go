package hookengine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// overdueAfter is how long a run may last before it is logged. All limits of a run end it far
	// earlier.
	overdueAfter = time.Second
	// monitorInterval is the time between two searches for overdue runs.
	monitorInterval = 500 * time.Millisecond
)

// A runMonitor knows the runs in progress, and logs those that do not return. It is safe for
// concurrent use.
type runMonitor struct {
	mu       sync.Mutex // guards the fields below
	lastID   uint64
	running  map[uint64]*monitoredRun
	overdue  int64 // runs that were logged, including those that have returned
	stopped  chan struct{}
	stopOnce sync.Once
}

// A monitoredRun is a run in progress.
type monitoredRun struct {
	script  string
	version uint64
	point   string
	start   time.Time
	logged  bool
}

func newRunMonitor() *runMonitor {
	return &runMonitor{running: map[uint64]*monitoredRun{}, stopped: make(chan struct{})}
}

// begin records a run that starts, and returns the ID to pass to end.
func (m *runMonitor) begin(script string, version uint64, point string) uint64 {
	run := &monitoredRun{script: script, version: version, point: point, start: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	m.running[m.lastID] = run
	return m.lastID
}

// end records that a run has returned.
func (m *runMonitor) end(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, id)
}

// counts returns the number of runs in progress, and of the runs that have ever been overdue.
func (m *runMonitor) counts() (running, overdue int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int64(len(m.running)), m.overdue
}

// watch logs overdue runs until stop is called.
func (m *runMonitor) watch(log zerolog.Logger) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stopped:
			return
		case now := <-ticker.C:
			m.logOverdue(now, log)
		}
	}
}

// logOverdue logs each overdue run once.
func (m *runMonitor) logOverdue(now time.Time, log zerolog.Logger) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, run := range m.running {
		age := now.Sub(run.start)
		if run.logged || age < overdueAfter {
			continue
		}
		run.logged = true
		m.overdue++
		log.Error().Str("script", run.script).Uint64("version", run.version).Str("point", run.point).
			Dur("age", age).Msg("hook run does not return")
	}
}

func (m *runMonitor) stop() { m.stopOnce.Do(func() { close(m.stopped) }) }
