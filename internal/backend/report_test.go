package backend

import (
	"fmt"
	"strings"
	"testing"

	"kitehub/scheduler"
)

func TestLoadReportValuesAreInOrderOfFields(t *testing.T) {
	fields := []scheduler.LoadReportField{
		scheduler.FieldUtilization,
		scheduler.FieldInFlight,
		scheduler.FieldRate,
		scheduler.FieldX0,
	}
	for header, want := range map[string]string{
		"": "[]",
		"TEXT cpu_utilization=0.3,named_metrics.inflight=4, rps_fractional=9.5": "[0.3 4 9.5 0]",
		"cpu_utilization=0.3": "[0.3 0 0 0]",
		`JSON {"cpu_utilization":0.3,"rps_fractional":2,"named_metrics":{"inflight":4,"x0":0.5},"eps":"x"}`: "[0.3 4 2 0.5]",
		"JSON {{":                           "[]",
		"TEXT cpu_utilization=NaN, =,=":     "[]",
		"TEXT " + strings.Repeat("a=1,", 3): "[]",
	} {
		if got := fmt.Sprint(parseLoadReport(header).values(fields)); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}
