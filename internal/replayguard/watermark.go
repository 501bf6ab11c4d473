package replayguard

import "time"

// Barrier returns the time up to which an earlier process may have accepted messages.
func (g *Guard) Barrier() time.Time { return time.Unix(g.barrier, 0) }

// WatermarkDue returns the watermark to write next, and whether it is due to replace the one on
// disk. The caller writes a watermark that is due and confirms that with WatermarkSaved.
func (g *Guard) WatermarkDue(now time.Time) (watermark time.Time, due bool) {
	g.advanceClock(now)
	needed := g.clock + ceilSeconds(g.settings.MaxClockSkew)
	step := ceilSeconds(g.settings.WatermarkStep)
	return time.Unix(needed+step, 0), g.durableWatermark < needed+step/2
}

// WatermarkSaved records that a watermark has been written and synced to disk.
func (g *Guard) WatermarkSaved(watermark time.Time) {
	g.durableWatermark = max(g.durableWatermark, watermark.Unix())
}

// FinalWatermark returns the watermark to write at a clean stop: the highest accepted timestamp.
// From this call on, the guard accepts no message above it.
func (g *Guard) FinalWatermark() time.Time {
	g.durableWatermark = min(g.durableWatermark, g.highestAccepted)
	return time.Unix(g.highestAccepted, 0)
}
