package discovery

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// loadCache notifies the sink of the list cached by an earlier process, if there is one.
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

// saveCache caches the list in force for the next start. An error is only logged, as it does not
// affect the running process.
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

// WriteFile replaces a file atomically: readers see either the complete old text or the complete
// new one. It syncs the new text to disk before renaming it over the old file.
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
