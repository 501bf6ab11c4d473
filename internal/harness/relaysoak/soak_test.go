package relaysoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// Environment variables of the tests.
const (
	envSeeds = "KITEHUB_SOAK_SEEDS" // how many seeds to play
	envFirst = "KITEHUB_SOAK_FIRST" // the first of them
	envLogs  = "KITEHUB_SOAK_LOGS"  // folder for the relays' logs
)

// Length of one soak, and how many are played unless the environment says otherwise.
const (
	soakDuration = 5 * time.Second
	defaultSeeds = 4
)

// envInt returns a number from the environment, or a default.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// No rule is broken while connections, workers, clients and the process itself fail.
func TestRulesHoldUnderFaults(t *testing.T) {
	for i := range envInt(envSeeds, defaultSeeds) {
		seed := uint64(envInt(envFirst, 1) + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

func soak(t *testing.T, seed uint64) {
	dir := t.TempDir()
	logs := dir
	if v := os.Getenv(envLogs); v != "" {
		logs = v
	}
	log, err := os.OpenFile(filepath.Join(logs, fmt.Sprintf("seed-%d.log", seed)), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	violations, counts, err := Run(Options{Seed: seed, Duration: soakDuration, Dir: dir, Command: func() *exec.Cmd {
		c := exec.Command(os.Args[0])
		// The race detector would delay the end of the process by a second.
		c.Env = append(os.Environ(), fmt.Sprint(envChild, "=", seed), "GORACE=atexit_sleep_ms=0")
		c.Stderr = log
		return c
	}})
	if err != nil {
		t.Error(err)
	}
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%v", counts)
}
