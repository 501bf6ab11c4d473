package scalebench_test

import (
	"fmt"
	"testing"

	"kitehub/internal/harness/scalebench"
)

var listSizes = []int{36, 300, 1000, 2000}

// BenchmarkList prints what taking the list of workers in costs by its length.
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

// A whole list grows with its workers; a delta of one worker does not, nor do its bytes. The relay's directory says all in one
// datagram, which holds some sixty workers: more need another form of the list.
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
		t.Errorf("a whole list of 1,000 is %.1f times that of 36: %d and %d bytes", grown, large.FullBytes, small.FullBytes)
	}
	if large.DeltaBytes > small.DeltaBytes+20 {
		t.Errorf("a delta of one worker is %d bytes of 1,000, %d of 36", large.DeltaBytes, small.DeltaBytes)
	}
}
