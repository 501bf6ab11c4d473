package webhook

import "time"

// checksPerStep is how often the watermark is examined in the time that one write of it lasts.
const checksPerStep = 8

const minCheckInterval = 10 * time.Millisecond

// writeWatermarks writes the watermark ahead of the clock until the front is stopped.
func (f *Handler) writeWatermarks() {
	defer f.stopped.Done()
	ticker := time.NewTicker(max(minCheckInterval, f.cfg.Replay.WatermarkStep/checksPerStep))
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			if err := f.writeWatermark(); err != nil { // calls are rejected once the present one is used up
				f.cfg.Log.Error().Err(err).Msg("replay watermark not written")
			}
		}
	}
}

// writeWatermark writes the watermark if it is due.
func (f *Handler) writeWatermark() error {
	f.mu.Lock()
	watermark, due := f.guard.WatermarkDue(f.cfg.Clock.Wall())
	if f.passed || f.resumed != nil { // the file is the successor's
		due = false
	}
	f.mu.Unlock()
	if !due {
		return nil
	}
	if err := f.cfg.Watermark.Save(watermark); err != nil {
		return err
	}
	f.mu.Lock()
	f.guard.WatermarkSaved(watermark)
	f.mu.Unlock()
	return nil
}
