package webhook

import "time"

// checksPerWatermarkStep is the number of checks per WatermarkStep, the time that one saved
// watermark covers.
const checksPerWatermarkStep = 8

const minCheckInterval = 10 * time.Millisecond

// writeWatermarks keeps the saved watermark ahead of the clock until the Handler is stopped.
func (h *Handler) writeWatermarks() {
	defer h.wg.Done()
	ticker := time.NewTicker(max(minCheckInterval, h.cfg.Replay.WatermarkStep/checksPerWatermarkStep))
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
			// A failure is not fatal: once the clock reaches the saved watermark, calls are
			// rejected.
			if err := h.writeWatermark(); err != nil {
				h.cfg.Log.Error().Err(err).Msg("replay watermark not written")
			}
		}
	}
}

// writeWatermark saves the watermark if it is due.
func (h *Handler) writeWatermark() error { return h.saveWatermark(false) }

// RewriteWatermark saves the watermark although it may not be due. It repairs the file after a
// process that should not have written it may have done so.
func (h *Handler) RewriteWatermark() error { return h.saveWatermark(true) }

// saveWatermark saves the watermark if it is due, or in any case if always is set.
func (h *Handler) saveWatermark(always bool) error {
	h.watermarkMutex.Lock()
	defer h.watermarkMutex.Unlock()
	h.mu.Lock()
	watermark, due := h.guard.WatermarkDue(h.cfg.Clock.Wall())
	due = due || always
	if h.handedOver || h.pauseEnded != nil { // the file belongs to the successor
		due = false
	}
	h.mu.Unlock()
	if !due {
		return nil
	}
	if err := h.cfg.Watermark.Save(watermark); err != nil {
		return err
	}
	h.mu.Lock()
	h.guard.WatermarkSaved(watermark)
	h.mu.Unlock()
	return nil
}
