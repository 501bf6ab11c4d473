package discovery

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// loadCache notifies the sink of the list that an earlier process cached, if there is one.
func (w *Watcher) loadCache() {
	if w.cfg.CacheFile == "" {
		return
	}
	text, err := os.ReadFile(w.cfg.CacheFile)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var workers []gateway.Worker
	if err == nil {
		workers, err = ParseAssignment(text, w.cfg.Cluster)
	}
	if err == nil {
		err = w.cfg.Sink.UpdateWorkers(scheduler.CachedList, 0, workers)
	}
	if err != nil {
		w.cfg.Log.Warn().Err(err).Str("file", w.cfg.CacheFile).Msg("cached endpoint list rejected")
	}
}

// saveCache caches the list in force for the next start. A failure is only logged: it costs that start, not this run.
func (w *Watcher) saveCache() {
	if w.cfg.CacheFile == "" {
		return
	}
	text, err := MarshalAssignment(w.cfg.Cluster, w.state.Workers())
	if err == nil {
		err = WriteFile(w.cfg.CacheFile, text)
	}
	if err != nil {
		w.cfg.Log.Warn().Err(err).Msg("endpoint list not cached")
	}
}

// WriteFile replaces a file atomically: a reader sees either the old text or the new, complete. The text is synced to
// disk before it takes the name.
func WriteFile(name string, text []byte) error {
	temp, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	_, err = temp.Write(text)
	if err == nil {
		err = temp.Sync()
	}
	if closeErr := temp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp.Name(), name)
	}
	if err != nil {
		os.Remove(temp.Name())
	}
	return err
}
