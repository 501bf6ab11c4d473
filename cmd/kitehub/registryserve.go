package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kitehub/config"
	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/internal/overload"
	"kitehub/internal/registry/service"
	"kitehub/internal/store"
)

const (
	maxRegistryBody      = 4 << 20 // bytes
	registryDrainTimeout = 2 * time.Second
	// registryClientDivisor gives the part of the memory for requests.
	registryClientDivisor = 8
)

type registryServeCmd struct {
	Config string `required:"" type:"path" help:"Configuration, in protobuf text format."`
}

// Run serves until SIGTERM or SIGINT. It also ends when the store fails, with an error, so that the
// supervisor restarts the process.
func (s *registryServeCmd) Run() error {
	b, err := config.LoadRegistry(s.Config)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("process", "registry").Logger()
	if err := os.MkdirAll(b.StateDir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	unlock, err := store.Lock(b.StateDir)
	if err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	defer unlock()
	sc := b.Service
	sc.Clock = clock.System()
	sc.FS = store.Dir(b.StateDir)
	sc.Log = log
	svc, rec, err := service.Open(sc)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", b.Listen)
	if err != nil {
		svc.Close()
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http1.Server{
		Gate:           overload.NewGate(clock.System(), float64(runtime.GOMAXPROCS(0))),
		Budget:         overload.NewBudget(overload.ProcessMemory()/registryClientDivisor, b.MaxConnections),
		Handler:        service.NewHandler(svc, b.Clients, time.Duration(b.MaxAgeMS)*time.Millisecond),
		MaxConnections: b.MaxConnections,
		Limits:         http1.Limits{MaxBodyBytes: maxRegistryBody, IdleTimeout: time.Minute},
	}
	go srv.Serve(ln)
	log.Info().Str("listen", ln.Addr().String()).Uint64("snapshot", rec.SnapshotSeq).Int("records", rec.ReplayedRecords).
		Int64("cut", rec.DiscardedBytes).Msg("serving")
	err = awaitShutdown(svc)
	ln.Close()
	// Drain runs at the same time as svc.Close, which answers pending long polls.
	go srv.Drain(registryDrainTimeout)
	closeErr := svc.Close()
	srv.Drain(registryDrainTimeout)
	return errors.Join(err, closeErr)
}

// awaitShutdown returns nil on SIGTERM or SIGINT, or the error of a store that failed.
func awaitShutdown(svc *service.Service) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			return nil
		case <-ticker.C:
			if err := svc.Broken(); err != nil {
				return err
			}
		}
	}
}
