package main

import "strings"

// settings are those of examples/loopback, for one controller on its own. ADDR, DIR and EXTRA are
// replaced.
const settings = `name: "c1"
me: 0
controllers: 1
tick_ms: 2
state_dir: "DIR/state"
stop_ms: 5000
webhook {
  listen: "ADDR"
  prefix: "/call/"
  past_ms: 300000
  future_ms: 5000
  ahead_ms: 5000
  remembered: 100000
  kept_bytes: 67108864
  max_connections: 10000
  max_body: 1048576
  first_byte_ms: 10000
  head_ms: 5000
  body_ms: 10000
  idle_ms: 30000
}
classes { name: "quote" effect: SAFE aim_ms: 600 deadline_ms: 4000 worth: 1 late_share: 0.3 }
classes { name: "transfer" effect: UNSAFE aim_ms: 1200 deadline_ms: 5000 worth: 2 }
classes { name: "grant" effect: KEYED scope: ALL_WORKERS window_ms: 8000 aim_ms: 600 deadline_ms: 4000 worth: 2 }
classes { name: "trade" effect: UNSAFE aim_ms: 600 deadline_ms: 4000 worth: 2 }
functions { name: "warm" class: "quote" memory_mb: 500 lanes: 8 load_ms: 300 }
functions { name: "quotes" class: "quote" memory_mb: 500 lanes: 8 load_ms: 300 }
functions { name: "transfer" class: "transfer" memory_mb: 500 lanes: 8 load_ms: 300 }
functions { name: "grant" class: "grant" memory_mb: 500 lanes: 8 load_ms: 300 }
functions { name: "trade" class: "trade" memory_mb: 500 lanes: 8 load_ms: 300 }
tenants { name: "lakeside" share: 1 }
clients { name: "shop" tenant: "lakeside" keys: "whsec_SECRET" }
discovery { file: "DIR/workers.json" cluster: "workers" poll_ms: 200 }
kinds { name: "std" memory_mb: 8000 }
limits {
  attempts: 3
  open: 20000
  cancel: true
  probe: true
  retry_after: true
  max_retry_after_ms: 2000
  dial_ms: 250
  keep_alive_ms: 20000
}
loading { orders: true on_miss: LOAD idle_life_ms: 8000 answer_ms: 10000 }
guarantees { answer_grace_ms: 8 drain_grace_ms: 500 cold_share: 0.2 cold_ms: 16000 fall_factor: 2 fall_within_ms: 2000 }
EXTRA
`

// configure writes the configuration of a controller that listens at an address.
func (b *bench) configure(addr, extra string) error {
	text := strings.NewReplacer("ADDR", addr, "DIR", b.dir, "SECRET", secret, "EXTRA", strings.ReplaceAll(extra, "DIR", b.dir)).Replace(settings)
	return b.write("kitehub.textproto", text)
}

// setUp starts workers and writes the configuration of a controller. It returns the controller's
// address.
func (b *bench) setUp(f *fleet, names []string, extra string) (string, error) {
	var workers [][2]string
	for _, name := range names {
		addr, err := f.listen(name)
		if err != nil {
			return "", err
		}
		workers = append(workers, [2]string{name, addr})
	}
	return b.setUpWith(workers, extra)
}

// setUpWith writes the list of workers and the configuration of a controller.
func (b *bench) setUpWith(workers [][2]string, extra string) (string, error) {
	if err := b.write("workers.json", workerList(workers...)); err != nil {
		return "", err
	}
	addr, err := freeAddr()
	if err != nil {
		return "", err
	}
	return addr, b.configure(addr, extra)
}
