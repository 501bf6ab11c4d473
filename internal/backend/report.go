package backend

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"kitehub/scheduler"
)

// A loadReport is an ORCA load report: the endpoint-load-metrics header, in its TEXT or JSON form. What has a field
// of its own in ORCA uses it. The rest are named metrics: queue, inflight, latency_ms, x0 and x1; and, of the answer
// itself, copy (a scheduler.LoadNote), alike and copies.
type loadReport struct {
	fields map[string]float64
	named  map[string]float64
}

const (
	maxMetrics  = 32 // in a report
	namedPrefix = "named_metrics."
)

// parseLoadReport reads a report. Malformed parts are ignored: a report is advice.
func parseLoadReport(header string) loadReport {
	r := loadReport{fields: map[string]float64{}, named: map[string]float64{}}
	if text, ok := strings.CutPrefix(header, "JSON "); ok {
		r.addJSON(text)
	} else {
		r.addText(strings.TrimPrefix(header, "TEXT "))
	}
	return r
}

// addText adds metrics like cpu_utilization=0.5, named_metrics.queue=3.
func (r loadReport) addText(text string) {
	for pair := range strings.SplitSeq(text, ",") {
		name, number, ok := strings.Cut(pair, "=")
		if value, err := strconv.ParseFloat(strings.TrimSpace(number), 64); ok && err == nil {
			r.add(strings.TrimSpace(name), value)
		}
	}
}

// addJSON adds metrics like {"cpu_utilization":0.5,"named_metrics":{"queue":3}}.
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

// values returns the report's values of the configured fields, in their order; nil if it has none of them.
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

// A reportKey says under which name a report has a value: its own or one of its named metrics.
type reportKey struct {
	name  string
	named bool
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

// loadNote returns what the report says of the function's load.
func (r loadReport) loadNote() scheduler.LoadNote {
	note := scheduler.LoadNote(r.named["copy"])
	if note < scheduler.NoLoadNote || note > scheduler.LoadFailed {
		return scheduler.NoLoadNote
	}
	return note
}
