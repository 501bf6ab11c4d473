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

var set = blobfetch.Settings{Tries: 60, Pause: ms, Longest: 4 * ms, Blame: time.Hour}

// Blobs that are truncated, swapped, extended, rotten or missing: what comes is proved, or nothing does.
func TestFaults(t *testing.T) {
	blob := make([]byte, 100_000)
	for i := range blob {
		blob[i] = byte(i * i >> 3)
	}
	sum := sha256.Sum256(blob)
	digest := "sha256:" + hex.EncodeToString(sum[:])
	good, trunc, swapped, extended, rotten, none, long := fakeworker.GoodBlobs, fakeworker.Truncated, fakeworker.Swapped, fakeworker.Extended, fakeworker.Rotten, fakeworker.NoBlobs, fakeworker.LongBlobs
	tests := []struct {
		name   string
		faults []fakeworker.BlobFault
		from   int // store that gave the end; -1: none
		err    error
		asked  []int // most requests to each store
	}{
		{"good", []fakeworker.BlobFault{good, good}, 0, nil, []int{1, 0}},
		{"missing at the first", []fakeworker.BlobFault{none, good}, 1, nil, []int{1, 1}},
		{"truncated for ever is gone on with, elsewhere where that may be asked", []fakeworker.BlobFault{trunc, good}, 1, nil, []int{1, 1}},
		{"truncated everywhere is gone on with until it is whole", []fakeworker.BlobFault{trunc, trunc}, -2, nil, []int{60, 60}},
		{"swapped", []fakeworker.BlobFault{swapped, good}, 1, nil, []int{1, 1}},
		{"extended", []fakeworker.BlobFault{extended, good}, 1, nil, []int{1, 1}},
		{"rotten", []fakeworker.BlobFault{rotten, good}, 1, nil, []int{1, 1}},
		{"bytes behind the length", []fakeworker.BlobFault{long, none}, 0, nil, []int{1, 0}},
		{"truncated, then rotten: nobody knows whose fault, each alone", []fakeworker.BlobFault{trunc, rotten, good}, 2, nil, []int{60, 2, 2}},
		{"a mismatch everywhere", []fakeworker.BlobFault{swapped, rotten, extended}, -1, blobfetch.ErrMismatch, []int{1, 1, 1}},
		{"missing everywhere", []fakeworker.BlobFault{none, none}, -1, blobfetch.ErrGivenUp, []int{60, 60}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stores []*fakeworker.Blobs
			var names []string
			for _, f := range tt.faults {
				b, err := fakeworker.StartBlobs()
				if err != nil {
					t.Fatal(err)
				}
				defer b.Close()
				b.Put(digest, blob)
				b.Fault(f)
				stores, names = append(stores, b), append(names, b.Addr())
			}
			c := blobfetch.NewClient(set, names, time.Second, clock.System(), zerolog.Nop())
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
				if s.Asked() > tt.asked[i] {
					t.Errorf("store %d was asked %d times, at most %d", i, s.Asked(), tt.asked[i])
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

// A store that gave wrong bytes is avoided, longer each time; one that failed only for a little while.
func TestBlameGrows(t *testing.T) {
	stores := blobfetch.NewStores(blobfetch.Settings{Tries: 9, Pause: 10 * ms, Longest: time.Hour, Blame: time.Second}, []string{"a", "b"})
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
			p.Got(10)
			if match := ask.Store == "b"; match {
				p.Checked(now, match, 1)
				break
			}
			p.Checked(now, false, 1)
		}
		now += 1500 * ms // over the first pause, under the second
	}
	if got := strings.Join(asked, " "); got != "a b a b b" {
		t.Errorf("asked %s, want a b a b b", got)
	}
}
