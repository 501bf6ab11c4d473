package frame

import (
	"math"
	"strconv"
	"strings"

	"kitehub/scheduler"
)

// responseFields holds the known fields of a response.
type responseFields struct {
	note         scheduler.LoadNote
	sameFunction int // calls of the same function in flight at the worker
	copies       int // loaded copies of the function
	report       []float64
}

// parseFields parses fields like "note=resident,company=3". Unknown fields are ignored, and
// malformed ones count as missing.
func parseFields(text string, report []scheduler.LoadReportField) (f responseFields) {
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "note":
			f.note = loadNotes[value]
		case "company":
			f.sameFunction = parseCount(value)
		case "slots_up":
			f.copies = parseCount(value)
		case "load":
			f.report = parseReport(value, report)
		}
	}
	return f
}

// loadNotes maps the values of the note field.
var loadNotes = map[string]scheduler.LoadNote{
	"resident":   scheduler.FoundWarm,
	"booted":     scheduler.StartedLoad,
	"rode":       scheduler.AwaitedLoad,
	"boot_error": scheduler.LoadFailed,
}

const maxCount = 1 << 16 // greater numbers count as 0

func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxCount {
		return 0
	}
	return n
}

// reportFields maps the names of load report fields: those of the platform and those of the
// settings.
var reportFields = map[string]scheduler.LoadReportField{
	"inflight":     scheduler.FieldInFlight,
	"outstanding":  scheduler.FieldInFlight,
	"queue":        scheduler.FieldQueue,
	"backlog":      scheduler.FieldQueue,
	"util":         scheduler.FieldUtilization,
	"utilization":  scheduler.FieldUtilization,
	"latency_ms":   scheduler.FieldLatencyMS,
	"recent_ms":    scheduler.FieldLatencyMS,
	"qps":          scheduler.FieldRate,
	"throughput":   scheduler.FieldRate,
	"eps":          scheduler.FieldErrorRate,
	"errors_per_s": scheduler.FieldErrorRate,
	"x0":           scheduler.FieldX0,
	"x1":           scheduler.FieldX1,
}

// parseReport parses a load report like "inflight:7;util:0.61" and returns the values of the given
// fields, in that order. It returns nil if a field is missing or is not a non-negative number.
func parseReport(text string, fields []scheduler.LoadReportField) []float64 {
	if len(fields) == 0 {
		return nil
	}
	values := make([]float64, len(fields))
	found := 0
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, number, _ := strings.Cut(pair, ":")
		for i, field := range fields {
			if field != reportFields[name] {
				continue
			}
			value, err := strconv.ParseFloat(number, 64)
			if err != nil || math.IsNaN(value) || value < 0 {
				return nil
			}
			values[i] = value
			found++
		}
	}
	if found != len(fields) {
		return nil
	}
	return values
}
