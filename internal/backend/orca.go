package backend

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"kitehub/scheduler"
)

// A load is an ORCA report (the endpoint-load-metrics header, in its TEXT or JSON form). What has a field of its
// own in ORCA uses it; the rest are named metrics: queue, inflight, latency_ms, x0, x1, and for the answer itself
// copy (1 found warm, 2 began a load, 3 awaited one, 4 the load failed), alike and copies.
type load struct {
	fields map[string]float64
	named  map[string]float64
}

const mostMetrics = 32

// readLoad reads a report. What is malformed is left out: a report is advice.
func readLoad(s string) load {
	l := load{map[string]float64{}, map[string]float64{}}
	put := func(name string, v float64) {
		if math.IsNaN(v) || math.IsInf(v, 0) || len(l.fields)+len(l.named) >= mostMetrics {
			return
		}
		if n, ok := strings.CutPrefix(name, "named_metrics."); ok {
			l.named[n] = v
		} else {
			l.fields[name] = v
		}
	}
	if text, ok := strings.CutPrefix(s, "JSON "); ok {
		var m map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &m) != nil {
			return l
		}
		for name, raw := range m {
			var v float64
			var named map[string]float64
			if json.Unmarshal(raw, &v) == nil {
				put(name, v)
			} else if name == "named_metrics" && json.Unmarshal(raw, &named) == nil {
				for n, v := range named {
					put("named_metrics."+n, v)
				}
			}
		}
		return l
	}
	for part := range strings.SplitSeq(strings.TrimPrefix(s, "TEXT "), ",") {
		name, text, ok := strings.Cut(part, "=")
		if v, err := strconv.ParseFloat(strings.TrimSpace(text), 64); ok && err == nil {
			put(strings.TrimSpace(name), v)
		}
	}
	return l
}

// report returns the values in the order of the settings' fields; nil if none is told.
func (l load) report(fields []scheduler.ReportField) []float64 {
	out, any := make([]float64, len(fields)), false
	for i, f := range fields {
		var v float64
		var ok bool
		switch f {
		case scheduler.FieldUtil:
			v, ok = l.fields["cpu_utilization"]
		case scheduler.FieldRate:
			v, ok = l.fields["rps_fractional"]
		case scheduler.FieldErrorRate:
			v, ok = l.fields["eps"]
		case scheduler.FieldInFlight:
			v, ok = l.named["inflight"]
		case scheduler.FieldQueue:
			v, ok = l.named["queue"]
		case scheduler.FieldLatencyMS:
			v, ok = l.named["latency_ms"]
		case scheduler.FieldX0:
			v, ok = l.named["x0"]
		case scheduler.FieldX1:
			v, ok = l.named["x1"]
		}
		out[i], any = v, any || ok
	}
	if !any {
		return nil
	}
	return out
}
