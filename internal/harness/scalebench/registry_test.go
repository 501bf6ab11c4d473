package scalebench_test

import (
	"fmt"
	"testing"
	"time"

	"kitehub/internal/harness/scalebench"
)

// BenchmarkRegistry logs the cost of a registry by controllers and models. Each iteration is one
// full run.
func BenchmarkRegistry(b *testing.B) {
	for _, size := range []struct{ controllers, models int }{{100, 250}, {100, 1000}, {100, 2500}, {400, 250}, {400, 1000}, {800, 250}, {800, 1000}, {800, 2500}} {
		b.Run(fmt.Sprintf("controllers=%d/models=%d", size.controllers, size.models), func(b *testing.B) {
			for range b.N {
				benchmarkRegistry(b, scalebench.RegistryLoad{Controllers: size.controllers, Models: size.models})
			}
		})
	}
}

// BenchmarkLargeRegistry logs the cost of a registry with all models of the planned size, by
// controllers. The models come from a snapshot.
func BenchmarkLargeRegistry(b *testing.B) {
	for _, controllers := range []int{10, 50, 100} {
		b.Run(fmt.Sprintf("controllers=%d/models=23000", controllers), func(b *testing.B) {
			for range b.N {
				benchmarkRegistry(b, scalebench.RegistryLoad{Controllers: controllers, Models: 23000, FromSnapshot: true})
			}
		})
	}
}

func benchmarkRegistry(b *testing.B, load scalebench.RegistryLoad) {
	b.Helper()
	load.Migrations, load.IdlePeriod, load.Timeout, load.Lease, load.Dir = 3, 5*time.Second, 40*time.Second, 15*time.Second, b.TempDir()
	c, err := scalebench.RunRegistry(load)
	if err != nil {
		b.Fatal(err)
	}
	b.Log(c)
}

// TestRegistryShape checks that the bytes that a controller receives to join grow with the models
// and not with the controllers, and that those for a migration grow with neither. It checks no
// times.
func TestRegistryShape(t *testing.T) {
	run := func(controllers, models int, fromSnapshot bool) scalebench.RegistryCost {
		t.Helper()
		c, err := scalebench.RunRegistry(scalebench.RegistryLoad{Controllers: controllers, Models: models, FromSnapshot: fromSnapshot, Migrations: 2, IdlePeriod: 200 * time.Millisecond,
			Timeout: 20 * time.Second, Lease: 5 * time.Second, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		if c.Joined != controllers || len(c.MigrationTimes) != 2 || c.JoinBytes == 0 {
			t.Fatalf("%d controllers, %d models: %v", controllers, models, c)
		}
		return c
	}
	few, models, controllers := run(4, 50, false), run(4, 500, false), run(40, 50, false)
	if grown := models.JoinBytes / few.JoinBytes; grown < 5 || grown > 11 {
		t.Errorf("10 times the models: %.1f times the bytes to join, want 5 to 11", grown)
	}
	if grown := controllers.JoinBytes / few.JoinBytes; grown > 1.2 {
		t.Errorf("10 times the controllers: %.1f times the bytes for each to join, want at most 1.2", grown)
	}
	// Models from a snapshot are sent in the same way as models that commands have created.
	if other := run(4, 50, true).JoinBytes / few.JoinBytes; other < 0.95 || other > 1.05 {
		t.Errorf("with the models in a snapshot: %.2f times the bytes to join, want 0.95 to 1.05", other)
	}
	// A migration is sent once or twice, along with the requests before and after it.
	if models.MigrationBytes > 2*few.MigrationBytes || controllers.MigrationBytes > 2*few.MigrationBytes {
		t.Errorf("a migration takes %.0f bytes per controller, %.0f with 10 times the models, %.0f with 10 times the controllers", few.MigrationBytes, models.MigrationBytes, controllers.MigrationBytes)
	}
}

// BenchmarkModels reports the cost of a registry's state and of a controller's view by models,
// without a network.
func BenchmarkModels(b *testing.B) {
	for _, models := range []int{250, 1000, 2500, 10000, 23000} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			var c scalebench.ModelsCost
			for range b.N {
				var err error
				if c, err = scalebench.RunModels(models); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.Command.Microseconds()), "us-command")
			b.ReportMetric(float64(c.SendFull.Microseconds()), "us-tell-all")
			b.ReportMetric(float64(c.SendDelta.Microseconds()), "us-tell-news")
			b.ReportMetric(float64(c.AllBytes), "bytes-all")
			b.ReportMetric(float64(c.ApplyFull.Microseconds()), "us-learn-all")
			b.ReportMetric(float64(c.ApplyDelta.Microseconds()), "us-learn-news")
			b.ReportMetric(c.ViewBytes/1e6, "MB-view")
			b.ReportMetric(float64(c.Snapshot.Microseconds()), "us-snapshot")
		})
	}
}

// TestModelsShape checks that the update for a joining controller, and the memory of its view, grow
// no faster than the models.
func TestModelsShape(t *testing.T) {
	var small, large scalebench.ModelsCost
	for models, cost := range map[int]*scalebench.ModelsCost{500: &small, 5000: &large} {
		c, err := scalebench.RunModels(models)
		if err != nil {
			t.Fatal(err)
		}
		*cost = c
	}
	if grown := float64(large.AllBytes) / float64(small.AllBytes); grown < 9 || grown > 11 {
		t.Errorf("10 times the models: %.1f times the bytes, want 9 to 11", grown)
	}
	if small.ViewBytes <= 0 || large.ViewBytes > 25*small.ViewBytes { // a map of 10 times as many entries may have twice the spare capacity
		t.Errorf("views of 500 and of 5,000 models: %.0f and %.0f bytes", small.ViewBytes, large.ViewBytes)
	}
}
