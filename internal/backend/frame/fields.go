package frame

import (
	"math"
	"strconv"
	"strings"

	"kitehub/scheduler"
)

// answerFields are the fields of an answer that are understood.
type answerFields struct {
	note         scheduler.LoadNote
	sameFunction int // calls of the same function in flight at the worker
	copies       int // loaded
	report       []float64
}

// parseFields reads fields like "note=resident,company=3". Unknown ones are ignored; those that are malformed count
// as missing.
func parseFields(text string, report []scheduler.LoadReportField) (f answerFields) {
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

// loadNotes are the notes of answers, by their words on the wire.
var loadNotes = map[string]scheduler.LoadNote{
	"resident":   scheduler.FoundWarm,
	"booted":     scheduler.StartedLoad,
	"rode":       scheduler.AwaitedLoad,
	"boot_error": scheduler.LoadFailed,
}

const maxCount = 1 << 16 // a greater number is no count

func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxCount {
		return 0
	}
	return n
}

// reportFields are the words for the fields of a load report: the platform's, and those of the settings.
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

// parseReport reads a load report like "inflight:7;util:0.61", in the order of the fields. It returns nil if the
// report lacks a field or has one that is not a number.
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
