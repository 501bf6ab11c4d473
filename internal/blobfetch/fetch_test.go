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

// Whatever fault the stores have, Fetch returns the verified blob or an error, and does not send
// further requests to a store that is known to be corrupt.
func TestFaults(t *testing.T) {
	blob := make([]byte, 100_000)
	for i := range blob {
		blob[i] = byte(i * i >> 3)
	}
	sum := sha256.Sum256(blob)
	digest := "sha256:" + hex.EncodeToString(sum[:])
	const (
		good      = fakeworker.NoBlobFault
		truncated = fakeworker.Truncated
		swapped   = fakeworker.Swapped
		extended  = fakeworker.Extended
		rotten    = fakeworker.BitFlipped
		missing   = fakeworker.BlobNotFound
		long      = fakeworker.TrailingBytes
	)
	tests := []struct {
		name   string
		stores []fakeworker.BlobFault
		source int // store that sent the last bytes; below 0: any or none
		err    error
		limits []int // maximum number of requests to each store
	}{
		{"good", []fakeworker.BlobFault{good, good}, 0, nil, []int{1, 0}},
		{"missing at the first", []fakeworker.BlobFault{missing, good}, 1, nil, []int{1, 1}},
		{"truncated at the first: resumed at the other", []fakeworker.BlobFault{truncated, good}, 1, nil, []int{1, 1}},
		{"truncated everywhere: resumed until complete", []fakeworker.BlobFault{truncated, truncated}, -2, nil, []int{60, 60}},
		{"swapped", []fakeworker.BlobFault{swapped, good}, 1, nil, []int{1, 1}},
		{"extended", []fakeworker.BlobFault{extended, good}, 1, nil, []int{1, 1}},
		{"rotten", []fakeworker.BlobFault{rotten, good}, 1, nil, []int{1, 1}},
		{"bytes after the declared length", []fakeworker.BlobFault{long, missing}, 0, nil, []int{1, 0}},
		{"truncated, then rotten: the corrupt store is unknown, so the blob is fetched from one store at a time",
			[]fakeworker.BlobFault{truncated, rotten, good}, 2, nil, []int{60, 2, 2}},
		{"a mismatch everywhere",
			[]fakeworker.BlobFault{swapped, rotten, extended}, -1, blobfetch.ErrMismatch, []int{1, 1, 1}},
		{"missing everywhere", []fakeworker.BlobFault{missing, missing}, -1, blobfetch.ErrExhausted, []int{60, 60}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stores []*fakeworker.BlobStore
			var names []string
			for _, f := range tt.stores {
				b, err := fakeworker.StartBlobStore()
				if err != nil {
					t.Fatal(err)
				}
				defer b.Close()
				b.Put(digest, blob)
				b.SetFault(f)
				stores, names = append(stores, b), append(names, b.Addr())
			}
			c := blobfetch.NewClient(settings, names, time.Second, clock.System(), zerolog.Nop())
			defer c.Close()
			got, source, err := c.Fetch(context.Background(), "m", digest, int64(len(blob)))
			if !errors.Is(err, tt.err) || (err == nil) != (tt.err == nil) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err == nil && sha256.Sum256(got) != sum {
				t.Error("the blob has wrong bytes")
			}
			if tt.source >= 0 && source != names[tt.source] {
				t.Errorf("the last bytes are from %s, want %s", source, names[tt.source])
			}
			for i, s := range stores {
				if s.Requests() > tt.limits[i] {
					t.Errorf("store %d received %d requests, want at most %d", i, s.Requests(), tt.limits[i])
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

// A store that sent a corrupt blob is avoided for a backoff that doubles each time.
func TestCorruptBackoffDoubles(t *testing.T) {
	settings := blobfetch.Settings{MaxRequests: 9, MinBackoff: 10 * ms, MaxBackoff: time.Hour, CorruptBackoff: time.Second}
	stores := blobfetch.NewStores(settings, []string{"a", "b"})
	now := time.Duration(0)
	var requested []string
	for range 3 {
		p := blobfetch.NewPlan(stores, 10)
		for {
			request, wait, err := p.Next(now)
			if err != nil {
				t.Fatal(err)
			}
			if wait > 0 {
				now += wait
				continue
			}
			requested = append(requested, request.Store)
			p.Received(10)
			if match := request.Store == "b"; match {
				p.Verified(now, match, 1)
				break
			}
			p.Verified(now, false, 1)
		}
		now += 1500 * ms // longer than the first backoff, shorter than the second
	}
	if got := strings.Join(requested, " "); got != "a b a b b" {
		t.Errorf("requests to %s, want a b a b b", got)
	}
}
