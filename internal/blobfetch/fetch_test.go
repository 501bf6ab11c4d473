package blobfetch_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/blobfetch"
	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeworker"
)

const ms = time.Millisecond

var settings = blobfetch.Settings{MaxRequests: 60, MinBackoff: ms, MaxBackoff: 4 * ms, CorruptBackoff: time.Hour}

// Whatever stores do to a blob, its verified bytes are returned or none are, and stores at fault are not asked again.
func TestFaults(t *testing.T) {
	blob := make([]byte, 100_000)
	for i := range blob {
		blob[i] = byte(i * i >> 3)
	}
	sum := sha256.Sum256(blob)
	digest := "sha256:" + hex.EncodeToString(sum[:])
	const (
		good      = fakeworker.GoodBlobs
		truncated = fakeworker.Truncated
		swapped   = fakeworker.Swapped
		extended  = fakeworker.Extended
		rotten    = fakeworker.Rotten
		missing   = fakeworker.NoBlobs
		long      = fakeworker.LongBlobs
	)
	tests := []struct {
		name   string
		stores []fakeworker.BlobFault
		from   int // store that gave the last bytes; below 0: any or none
		err    error
		asked  []int // most requests to each store
	}{
		{"good", []fakeworker.BlobFault{good, good}, 0, nil, []int{1, 0}},
		{"missing at the first", []fakeworker.BlobFault{missing, good}, 1, nil, []int{1, 1}},
		{"truncated at the first: resumed at the other", []fakeworker.BlobFault{truncated, good}, 1, nil, []int{1, 1}},
		{"truncated everywhere: resumed until complete", []fakeworker.BlobFault{truncated, truncated}, -2, nil, []int{60, 60}},
		{"swapped", []fakeworker.BlobFault{swapped, good}, 1, nil, []int{1, 1}},
		{"extended", []fakeworker.BlobFault{extended, good}, 1, nil, []int{1, 1}},
		{"rotten", []fakeworker.BlobFault{rotten, good}, 1, nil, []int{1, 1}},
		{"bytes behind the length", []fakeworker.BlobFault{long, missing}, 0, nil, []int{1, 0}},
		{"truncated, then rotten: no store is known to be at fault, so each is asked by itself",
			[]fakeworker.BlobFault{truncated, rotten, good}, 2, nil, []int{60, 2, 2}},
		{"a mismatch everywhere",
			[]fakeworker.BlobFault{swapped, rotten, extended}, -1, blobfetch.ErrMismatch, []int{1, 1, 1}},
		{"missing everywhere", []fakeworker.BlobFault{missing, missing}, -1, blobfetch.ErrExhausted, []int{60, 60}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stores []*fakeworker.Blobs
			var names []string
			for _, f := range tt.stores {
				b, err := fakeworker.StartBlobs()
				if err != nil {
					t.Fatal(err)
				}
				defer b.Close()
				b.Put(digest, blob)
				b.Fault(f)
				stores, names = append(stores, b), append(names, b.Addr())
			}
			c := blobfetch.NewClient(settings, names, time.Second, clock.System(), zerolog.Nop())
			defer c.Close()
			got, from, err := c.Fetch(context.Background(), "m", digest, int64(len(blob)))
			if !errors.Is(err, tt.err) || (err == nil) != (tt.err == nil) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err == nil && sha256.Sum256(got) != sum {
				t.Error("other bytes came")
			}
			if tt.from >= 0 && from != names[tt.from] {
				t.Errorf("the end came from %s, want %s", from, names[tt.from])
			}
			for i, s := range stores {
				if s.Requests() > tt.asked[i] {
					t.Errorf("store %d was asked %d times, at most %d", i, s.Requests(), tt.asked[i])
				}
			}
			if errors.Is(err, blobfetch.ErrMismatch) {
				for _, n := range names {
					if !strings.Contains(err.Error(), n) {
						t.Errorf("%v does not name %s", err, n)
					}
				}
			}
		})
	}
}

// A store that gave wrong bytes is avoided, for longer each time.
func TestBlameGrows(t *testing.T) {
	settings := blobfetch.Settings{MaxRequests: 9, MinBackoff: 10 * ms, MaxBackoff: time.Hour, CorruptBackoff: time.Second}
	stores := blobfetch.NewStores(settings, []string{"a", "b"})
	now := time.Duration(0)
	var asked []string
	for range 3 {
		p := blobfetch.NewPlan(stores, 10)
		for {
			ask, wait, err := p.Next(now)
			if err != nil {
				t.Fatal(err)
			}
			if wait > 0 {
				now += wait
				continue
			}
			asked = append(asked, ask.Store)
			p.Received(10)
			if match := ask.Store == "b"; match {
				p.Verified(now, match, 1)
				break
			}
			p.Verified(now, false, 1)
		}
		now += 1500 * ms // over the first backoff, under the second
	}
	if got := strings.Join(asked, " "); got != "a b a b b" {
		t.Errorf("asked %s, want a b a b b", got)
	}
}
