#!/usr/bin/env bash
# Fails if the compiler fuses a product with a sum or a difference in the scheduler, or in the
# simulation whose run is recorded: see scheduler/numbers.go. It compiles for arm64, where products
# are fused, so it finds the same on every machine. It runs nothing that it compiles.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
listing=$(mktemp)
trap 'rm -f "$listing"' EXIT
GOARCH=arm64 go build -gcflags=-S ./scheduler/... >"$listing" 2>&1
GOARCH=arm64 go test -c -gcflags=-S -o /dev/null ./scheduler >>"$listing" 2>&1
if ! grep -q 'simulation_test\.go' "$listing"; then
	echo "the compiler listed no instructions of scheduler/simulation_test.go" >&2
	exit 1
fi
# Other tests may fuse: what they compute is not recorded.
found=$({ grep -E '\bFN?M(ADD|SUB)[SD]\b' "$listing" || true; } | { grep -oE 'scheduler/[a-z0-9_/]+\.go:[0-9]+' || true; } |
	awk '!/_test\.go/ || /simulation_test\.go/' | sort -u)
if [ -n "$found" ]; then
	echo "fused products; write float64(x*y) + z, see scheduler/numbers.go:" >&2
	echo "$found" >&2
	exit 1
fi
