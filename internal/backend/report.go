package backend

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"kitehub/scheduler"
)

// A loadReport is an ORCA load report, sent in the endpoint-load-metrics header in the TEXT or JSON
// format. Values that ORCA has a field for use that field. The others are named metrics: queue,
// inflight, latency_ms, x0 and x1 describe the worker, and copy (a scheduler.LoadNote), alike and
// copies describe the function of the request.
type loadReport struct {
	fields map[string]float64
	named  map[string]float64
}

const (
	maxMetrics  = 32 // per load report
	namedPrefix = "named_metrics."
)

// parseLoadReport parses a load report. Malformed parts are ignored, as load reports are advisory.
func parseLoadReport(header string) loadReport {
	r := loadReport{fields: map[string]float64{}, named: map[string]float64{}}
	if text, ok := strings.CutPrefix(header, "JSON "); ok {
		r.addJSON(text)
	} else {
		r.addText(strings.TrimPrefix(header, "TEXT "))
	}
	return r
}

// addText adds metrics in the TEXT format: cpu_utilization=0.5, named_metrics.queue=3.
func (r loadReport) addText(text string) {
	for pair := range strings.SplitSeq(text, ",") {
		name, number, ok := strings.Cut(pair, "=")
		if value, err := strconv.ParseFloat(strings.TrimSpace(number), 64); ok && err == nil {
			r.add(strings.TrimSpace(name), value)
		}
	}
}

// addJSON adds metrics in the JSON format: {"cpu_utilization":0.5,"named_metrics":{"queue":3}}.
func (r loadReport) addJSON(text string) {
	var members map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &members) != nil {
		return
	}
	for name, member := range members {
		var value float64
		var named map[string]float64
		if json.Unmarshal(member, &value) == nil {
			r.add(name, value)
		} else if name == "named_metrics" && json.Unmarshal(member, &named) == nil {
			for name, value := range named {
				r.add(namedPrefix+name, value)
			}
		}
	}
}

func (r loadReport) add(name string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || len(r.fields)+len(r.named) >= maxMetrics {
		return
	}
	if metric, ok := strings.CutPrefix(name, namedPrefix); ok {
		r.named[metric] = value
	} else {
		r.fields[name] = value
	}
}

// values returns the values of the given fields, in that order, with 0 for a field that is missing.
// It returns nil if the load report has none of them.
func (r loadReport) values(fields []scheduler.LoadReportField) []float64 {
	values := make([]float64, len(fields))
	found := false
	for i, field := range fields {
		value, ok := r.value(field)
		values[i] = value
		found = found || ok
	}
	if !found {
		return nil
	}
	return values
}

// A reportKey locates a value in a load report.
type reportKey struct {
	name  string
	named bool // a named metric instead of an ORCA field
}

var reportKeys = map[scheduler.LoadReportField]reportKey{
	scheduler.FieldUtilization: {name: "cpu_utilization"},
	scheduler.FieldRate:        {name: "rps_fractional"},
	scheduler.FieldErrorRate:   {name: "eps"},
	scheduler.FieldInFlight:    {name: "inflight", named: true},
	scheduler.FieldQueue:       {name: "queue", named: true},
	scheduler.FieldLatencyMS:   {name: "latency_ms", named: true},
	scheduler.FieldX0:          {name: "x0", named: true},
	scheduler.FieldX1:          {name: "x1", named: true},
}

func (r loadReport) value(field scheduler.LoadReportField) (value float64, ok bool) {
	key, known := reportKeys[field]
	switch {
	case !known:
		return 0, false
	case key.named:
		value, ok = r.named[key.name]
	default:
		value, ok = r.fields[key.name]
	}
	return value, ok
}

// loadNote returns what the worker reports about loading the function.
func (r loadReport) loadNote() scheduler.LoadNote {
	note := scheduler.LoadNote(r.named["copy"])
	if note < scheduler.NoLoadNote || note > scheduler.LoadFailed {
		return scheduler.NoLoadNote
	}
	return note
}
