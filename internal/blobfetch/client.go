package blobfetch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
)

// A Client fetches blobs. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	stores *Stores
	clock  clock.Clock
	http   *http.Client
	log    zerolog.Logger
	silent time.Duration
}

// NewClient returns a client of stores, named by "host:port". A store that sends nothing for the time silent is broken off.
func NewClient(set Settings, stores []string, silent time.Duration, clk clock.Clock, log zerolog.Logger) *Client {
	return &Client{stores: NewStores(set, stores), clock: clk, log: log, silent: silent,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, ResponseHeaderTimeout: silent, MaxIdleConnsPerHost: 2}}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Fetch returns the bytes of a digest, proved, and the store that gave the last of them. size is known from the registry;
// a store that has more or fewer is not believed.
func (c *Client) Fetch(ctx context.Context, name, digest string, size int64) (blob []byte, store string, err error) {
	want, ok := strings.CutPrefix(digest, "sha256:")
	if !ok || size <= 0 {
		return nil, "", fmt.Errorf("fetch: %q of %d bytes", digest, size)
	}
	c.mu.Lock()
	p := NewPlan(c.stores, size)
	c.mu.Unlock()
	sum := sha256.New()
	for {
		c.mu.Lock()
		ask, wait, err := p.Next(c.clock.Now())
		c.mu.Unlock()
		if err != nil {
			c.log.Error().Err(err).Str("name", name).Str("digest", digest).Msg("not fetched")
			return nil, "", err
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
				return nil, "", ctx.Err()
			case <-time.After(wait):
			}
			continue
		}
		if ask.Whole {
			blob = blob[:0]
			sum.Reset()
		}
		before := len(blob)
		fault := Fault(0)
		blob, fault = c.ask(ctx, ask, name, digest, size, blob, sum)
		if ctx.Err() != nil {
			return nil, "", ctx.Err()
		}
		c.mu.Lock()
		p.Got(int64(len(blob) - before))
		if fault == 0 && !p.Complete() {
			fault = Broken
		}
		match := false
		if fault != 0 {
			p.Failed(c.clock.Now(), fault, rand.Float64())
		} else {
			match = hex.EncodeToString(sum.Sum(nil)) == want
			p.Checked(c.clock.Now(), match, rand.Float64())
			if !match {
				fault = Mismatch
			}
		}
		c.mu.Unlock()
		if match {
			c.log.Info().Str("store", ask.Store).Str("name", name).Str("digest", digest).Int("bytes", len(blob)).Msg("fetched")
			return blob, ask.Store, nil
		}
		c.log.Warn().Str("store", ask.Store).Str("name", name).Str("digest", digest).Stringer("fault", fault).Int("bytes", len(blob)).Msg("fetch")
	}
}

// ask makes one request and appends what comes. It takes no byte past the size.
func (c *Client) ask(ctx context.Context, a Ask, name, digest string, size int64, blob []byte, sum hash.Hash) ([]byte, Fault) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+a.Store+"/v2/"+name+"/blobs/"+digest, nil)
	if err != nil {
		return blob, Refused
	}
	if a.Offset > 0 {
		req.Header.Set("Range", "bytes="+strconv.FormatInt(a.Offset, 10)+"-")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return blob, Unreachable
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == 206 && a.Offset > 0:
		if resp.Header.Get("Content-Range") != fmt.Sprintf("bytes %d-%d/%d", a.Offset, size-1, size) {
			return blob, Wrong
		}
	case resp.StatusCode == 200: // a store may answer a range with the whole (RFC 9110 section 14.2)
		if a.Offset > 0 {
			if _, err := io.CopyN(io.Discard, resp.Body, a.Offset); err != nil {
				return blob, Broken
			}
		}
		if resp.ContentLength >= 0 && resp.ContentLength != size {
			return blob, Wrong
		}
	default:
		return blob, Refused
	}
	watch := time.AfterFunc(c.silent, cancel)
	defer watch.Stop()
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		watch.Reset(c.silent)
		if int64(len(blob)+n) > size {
			return blob, Wrong
		}
		blob = append(blob, buf[:n]...)
		sum.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			return blob, 0
		}
		if err != nil {
			return blob, Broken
		}
	}
}
