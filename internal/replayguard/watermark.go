package replayguard

import "time"

// Barrier returns the time up to which messages may have been accepted before a restart.
func (g *Guard) Barrier() time.Time { return time.Unix(g.barrier, 0) }

// WatermarkDue returns the watermark that should be on disk by now, and whether the present one must be replaced by
// it. The caller writes it, and reports that with WatermarkSaved.
func (g *Guard) WatermarkDue(now time.Time) (watermark time.Time, due bool) {
	g.advance(now)
	needed := g.clock + ceilSeconds(g.settings.MaxClockSkew)
	step := ceilSeconds(g.settings.WatermarkStep)
	return time.Unix(needed+step, 0), g.durable < needed+step/2
}

// WatermarkSaved reports that a watermark has been written and synced to disk.
func (g *Guard) WatermarkSaved(watermark time.Time) { g.durable = max(g.durable, watermark.Unix()) }

// FinalWatermark returns the watermark to write at a clean stop: the highest timestamp accepted. From then on the
// guard accepts no message above it.
func (g *Guard) FinalWatermark() time.Time {
	g.durable = min(g.durable, g.highest)
	return time.Unix(g.highest, 0)
}
