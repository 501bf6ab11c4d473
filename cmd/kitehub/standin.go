package main

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/workersim"
	"kitehub/scheduler"
)

type standinCmd struct {
	List     string        `required:"" type:"path" help:"Write the list of workers there, for 'discovery.file'."`
	Cluster  string        `default:"workers"`
	Workers  int           `default:"3"`
	Function []string      `required:"" help:"Names of functions that the workers can load, each with its class behind a colon: quote-lake:quote."`
	Load     time.Duration `default:"300ms" help:"How long a load takes."`
	Work     time.Duration `default:"40ms" help:"How long a call runs."`
}

// Run runs stand-in workers on the loopback interface until SIGTERM or SIGINT.
func (s *standinCmd) Run() error {
	if s.Workers < 1 || s.Workers > 80 {
		return fmt.Errorf("--workers: %d is not between 1 and 80", s.Workers)
	}
	cfg, err := s.workerConfig()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	host, err := fakeworker.Start(cfg)
	if err != nil {
		return err
	}
	defer host.Close()
	var workers []gateway.Worker
	for _, name := range host.Names() {
		workers = append(workers, gateway.Worker{
			Name:    name,
			Network: "tcp",
			Addr:    host.Addr(name),
			Group:   "g",
			Kind:    "std",
			State:   scheduler.Ready,
			Size:    1,
		})
		fmt.Println(name, host.Addr(name))
	}
	text, err := discovery.MarshalAssignment(s.Cluster, workers)
	if err == nil {
		err = discovery.WriteFile(s.List, text)
	}
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// workerConfig returns the configuration of the workers, which are all alike, and of the functions
// that they can load.
func (s *standinCmd) workerConfig() (fakeworker.Config, error) {
	cfg := fakeworker.Config{
		Clock: clock.System(),
		Fleet: workersim.Config{
			Store:       workersim.Store{FullRateFetches: float64(s.Workers)},
			DedupWindow: 5 * time.Second,
		},
	}
	for i := range s.Workers {
		cfg.Fleet.Workers = append(cfg.Fleet.Workers, workersim.Spec{
			Name:        fmt.Sprintf("worker-%d", i+1),
			Group:       "g",
			Cores:       2,
			Speed:       1,
			MemoryMB:    4000,
			Queue:       32,
			LoadSlots:   4,
			IdleCopyTTL: 8 * time.Second,
		})
	}
	for _, f := range s.Function {
		name, class, ok := strings.Cut(f, ":")
		if !ok || name == "" || class == "" {
			return cfg, fmt.Errorf("--function: %q is not a name and a class, separated by a colon", f)
		}
		cfg.Functions = append(cfg.Functions, fakeworker.FunctionConfig{
			Function: workersim.Function{
				Name: name, MemoryMB: 500, Lanes: 2, Fetch: s.Load * 2 / 3, Start: s.Load / 3,
			},
			Class: class,
			Work:  s.Work,
		})
	}
	return cfg, nil
}
