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

var settings = blobfetch.Settings{Tries: 60, Pause: ms, Longest: 4 * ms, Blame: time.Hour}

// Whatever stores send, truncated, swapped, extended, rotten or missing blobs: what Fetch returns is proved.
func TestFetchReturnsProvedBytesOrError(t *testing.T) {
	blob := make([]byte, 100_000)
	for i := range blob {
		blob[i] = byte(i * i >> 3)
	}
	sum := sha256.Sum256(blob)
	digest := "sha256:" + hex.EncodeToString(sum[:])
	const (
		good     = fakeworker.GoodBlobs
		truncate = fakeworker.Truncated
		swapped  = fakeworker.Swapped
		extended = fakeworker.Extended
		rotten   = fakeworker.Rotten
		none     = fakeworker.NoBlobs
		long     = fakeworker.LongBlobs
	)
	tests := []struct {
		name        string
		faults      []fakeworker.BlobFault // of each store
		wantStore   int                    // that sent the last bytes; below 0: any, or none
		wantErr     error
		maxRequests []int // to each store
	}{
		{"good", []fakeworker.BlobFault{good, good}, 0, nil, []int{1, 0}},
		{"missing at the first", []fakeworker.BlobFault{none, good}, 1, nil, []int{1, 1}},
		{"truncated, resumed at the other", []fakeworker.BlobFault{truncate, good}, 1, nil, []int{1, 1}},
		{"truncated everywhere, resumed", []fakeworker.BlobFault{truncate, truncate}, -2, nil, []int{60, 60}},
		{"swapped", []fakeworker.BlobFault{swapped, good}, 1, nil, []int{1, 1}},
		{"extended", []fakeworker.BlobFault{extended, good}, 1, nil, []int{1, 1}},
		{"rotten", []fakeworker.BlobFault{rotten, good}, 1, nil, []int{1, 1}},
		{"bytes after the length", []fakeworker.BlobFault{long, none}, 0, nil, []int{1, 0}},
		{"truncated, then rotten: each by itself", []fakeworker.BlobFault{truncate, rotten, good}, 2, nil, []int{60, 2, 2}},
		{"mismatch everywhere", []fakeworker.BlobFault{swapped, rotten, extended}, -1, blobfetch.ErrMismatch, []int{1, 1, 1}},
		{"missing everywhere", []fakeworker.BlobFault{none, none}, -1, blobfetch.ErrExhausted, []int{60, 60}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stores []*fakeworker.Blobs
			var names []string
			for _, fault := range tt.faults {
				b, err := fakeworker.StartBlobs()
				if err != nil {
					t.Fatal(err)
				}
				defer b.Close()
				b.Put(digest, blob)
				b.Fault(fault)
				stores = append(stores, b)
				names = append(names, b.Addr())
			}
			c := blobfetch.NewClient(settings, names, time.Second, clock.System(), zerolog.Nop())
			defer c.Close()
			got, from, err := c.Fetch(context.Background(), "m", digest, int64(len(blob)))
			if !errors.Is(err, tt.wantErr) || (err == nil) != (tt.wantErr == nil) {
				t.Fatalf("error %v, want %v", err, tt.wantErr)
			}
			if err == nil && sha256.Sum256(got) != sum {
				t.Error("other bytes came")
			}
			if tt.wantStore >= 0 && from != names[tt.wantStore] {
				t.Errorf("the last bytes came from %s, want %s", from, names[tt.wantStore])
			}
			for i, s := range stores {
				if s.Asked() > tt.maxRequests[i] {
					t.Errorf("%d requests to store %d, at most %d", s.Asked(), i, tt.maxRequests[i])
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

// A store that sent wrong bytes is avoided for longer each time.
func TestBlamedStoreIsAvoidedLongerEachTime(t *testing.T) {
	settings := blobfetch.Settings{Tries: 9, Pause: 10 * ms, Longest: time.Hour, Blame: time.Second}
	stores := blobfetch.NewStores(settings, []string{"a", "b"})
	now := time.Duration(0)
	var requested []string // stores
	for range 3 {
		plan := blobfetch.NewPlan(stores, 10)
		for {
			request, wait, err := plan.Next(now)
			if err != nil {
				t.Fatal(err)
			}
			if wait > 0 {
				now += wait
				continue
			}
			requested = append(requested, request.Store)
			plan.Received(10)
			match := request.Store == "b"
			plan.Checked(now, match, 1)
			if match {
				break
			}
		}
		now += 1500 * ms // over the first backoff, under the second
	}
	if got := strings.Join(requested, " "); got != "a b a b b" {
		t.Errorf("requests to %s, want a b a b b", got)
	}
}
