package scalebench_test

import (
	"fmt"
	"testing"

	"kitehub/internal/harness/scalebench"
)

// listSizes are numbers of workers.
var listSizes = []int{36, 300, 1000, 2000}

// BenchmarkList reports the cost of applying an endpoint list by its length.
func BenchmarkList(b *testing.B) {
	for _, workers := range listSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var c scalebench.ListCost
			for range b.N {
				var err error
				if c, err = scalebench.RunList(scalebench.ListLoad{Workers: workers, Changes: 100}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.FullBytes), "bytes-whole")
			b.ReportMetric(float64(c.DeltaBytes), "bytes-delta")
			b.ReportMetric(float64(c.DNSBytes), "bytes-dns")
			b.ReportMetric(float64(c.FullCPU.Microseconds()), "us-whole")
			b.ReportMetric(float64(c.DeltaCPU.Microseconds()), "us-delta")
			b.ReportMetric(float64(c.DNSCPU.Microseconds()), "us-dns")
			b.ReportMetric(float64(c.GatewayCPU.Microseconds()), "us-gateway")
		})
	}
}

// TestListShape checks that the size of a full list grows with the workers and that of a delta of
// one worker does not. The DNS form is not checked: the relay's directory sends one datagram, which
// holds about 60 workers, so larger installations use another form.
func TestListShape(t *testing.T) {
	var small, large scalebench.ListCost
	for _, p := range []struct {
		workers int
		cost    *scalebench.ListCost
	}{{36, &small}, {1000, &large}} {
		c, err := scalebench.RunList(scalebench.ListLoad{Workers: p.workers, Changes: 3})
		if err != nil {
			t.Fatal(err)
		}
		*p.cost = c
	}
	if grown := float64(large.FullBytes) / float64(small.FullBytes); grown < 20 || grown > 1000.0/36*1.1 {
		t.Errorf("a full list of 1,000 workers is %.1f times as large as one of 36: %d and %d bytes", grown, large.FullBytes, small.FullBytes)
	}
	if large.DeltaBytes > small.DeltaBytes+20 {
		t.Errorf("a delta of one worker has %d bytes with 1,000 workers, %d with 36", large.DeltaBytes, small.DeltaBytes)
	}
}
