package discovery

import (
	"bytes"
	"encoding/json"
	"os"
	"strconv"
)

// watchFile reads the file once every poll interval and applies it when its text has changed. It
// does not rely on the modification time, as a file that was copied or restored may have an old
// one.
//
// A repeated error is logged only once.
func (w *Watcher) watchFile() {
	defer w.wg.Done()
	var lastText []byte
	lastError := ""
	for reads := uint64(1); ; reads++ {
		text, err := os.ReadFile(w.cfg.File)
		if err == nil && !bytes.Equal(text, lastText) {
			lastText = text
			err = w.apply(Update{
				VersionInfo: strconv.FormatUint(reads, 10), // increasing: a file has no version
				TypeURL:     TypeAssignment,
				Resources:   []json.RawMessage{text},
			})
		} else if err == nil {
			lastError = ""
		}
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			w.cfg.Log.Warn().Err(err).Str("file", w.cfg.File).Msg(logRejected)
		}
		if !w.sleep(w.cfg.PollInterval) {
			return
		}
	}
}
