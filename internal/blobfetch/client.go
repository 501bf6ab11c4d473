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
	clock  clock.Clock
	http   *http.Client
	log    zerolog.Logger
	silent time.Duration // a store that sends nothing for so long is given up for the request

	mu     sync.Mutex // guards stores and the plans that share it
	stores *Stores
}

const maxIdlePerStore = 2 // connections

// NewClient returns a client of stores, named by "host:port". A request to a store that sends nothing for the time
// silent fails.
func NewClient(settings Settings, stores []string, silent time.Duration, clk clock.Clock, log zerolog.Logger) *Client {
	return &Client{
		stores: NewStores(settings, stores),
		clock:  clk,
		log:    log,
		silent: silent,
		http: &http.Client{Transport: &http.Transport{
			DisableCompression:    true,
			ResponseHeaderTimeout: silent,
			MaxIdleConnsPerHost:   maxIdlePerStore,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// A fetch is one call of Fetch, on its goroutine.
type fetch struct {
	client *Client
	plan   *Plan
	name   string
	digest string // "sha256:" and hex digits
	want   string // the hex digits
	size   int64
	log    zerolog.Logger

	blob []byte
	sum  hash.Hash // of blob
}

// Fetch returns the bytes of a digest, proved, and the store that sent the last of them. The size is known from the
// registry: a store that has more or fewer bytes is not believed. The error wraps ErrMismatch or ErrExhausted, or is
// the context's.
func (c *Client) Fetch(ctx context.Context, name, digest string, size int64) (blob []byte, store string, err error) {
	want, ok := strings.CutPrefix(digest, "sha256:")
	if !ok || size <= 0 {
		return nil, "", fmt.Errorf("fetch: %q of %d bytes", digest, size)
	}
	f := &fetch{
		client: c,
		name:   name,
		digest: digest,
		want:   want,
		size:   size,
		sum:    sha256.New(),
		log:    c.log.With().Str("name", name).Str("digest", digest).Logger(),
	}
	c.mu.Lock()
	f.plan = NewPlan(c.stores, size)
	c.mu.Unlock()
	for {
		request, err := f.next(ctx)
		if err != nil {
			return nil, "", err
		}
		fault := f.execute(ctx, request)
		if ctx.Err() != nil {
			return nil, "", ctx.Err()
		}
		if fault = f.report(fault); fault == 0 {
			f.log.Info().Str("store", request.Store).Int("bytes", len(f.blob)).Msg("blob fetched")
			return f.blob, request.Store, nil
		}
		f.log.Warn().Str("store", request.Store).Stringer("fault", fault).Int("bytes", len(f.blob)).
			Msg("blob request failed")
	}
}

// next waits for the next request of the plan.
func (f *fetch) next(ctx context.Context) (Request, error) {
	c := f.client
	for {
		c.mu.Lock()
		request, wait, err := f.plan.Next(c.clock.Now())
		c.mu.Unlock()
		if err != nil {
			f.log.Error().Err(err).Msg("blob not fetched")
			return request, err
		}
		if wait <= 0 {
			return request, nil
		}
		select {
		case <-ctx.Done():
			return request, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// execute sends a request and appends the bytes that come.
func (f *fetch) execute(ctx context.Context, request Request) Fault {
	if request.Restart {
		f.blob = f.blob[:0]
		f.sum.Reset()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := len(f.blob)
	fault := f.receive(ctx, cancel, request)
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	f.plan.Received(int64(len(f.blob) - before))
	return fault
}

// report tells the plan how a request ended, and returns its fault: 0 if all bytes are there and match the digest.
func (f *fetch) report(fault Fault) Fault {
	c := f.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if fault == 0 && !f.plan.Complete() {
		fault = Broken
	}
	if fault != 0 {
		f.plan.Failed(c.clock.Now(), fault, rand.Float64())
		return fault
	}
	match := hex.EncodeToString(f.sum.Sum(nil)) == f.want
	f.plan.Checked(c.clock.Now(), match, rand.Float64())
	if !match {
		return Mismatch
	}
	return 0
}

// receive sends a request and appends the bytes of the answer, at most up to the size. cancel ends ctx.
func (f *fetch) receive(ctx context.Context, cancel context.CancelFunc, request Request) Fault {
	url := "http://" + request.Store + "/v2/" + f.name + "/blobs/" + f.digest
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Refused
	}
	if request.Offset > 0 {
		req.Header.Set("Range", "bytes="+strconv.FormatInt(request.Offset, 10)+"-")
	}
	resp, err := f.client.http.Do(req)
	if err != nil {
		return Unreachable
	}
	defer resp.Body.Close()
	if fault := f.checkResponse(resp, request.Offset); fault != 0 {
		return fault
	}
	watchdog := time.AfterFunc(f.client.silent, cancel)
	defer watchdog.Stop()
	return f.append(resp.Body, func() { watchdog.Reset(f.client.silent) })
}

// checkResponse checks the answer to a request for the bytes from an offset on, and reads up to them.
func (f *fetch) checkResponse(resp *http.Response, offset int64) Fault {
	switch {
	case resp.StatusCode == http.StatusPartialContent && offset > 0:
		if resp.Header.Get("Content-Range") != fmt.Sprintf("bytes %d-%d/%d", offset, f.size-1, f.size) {
			return Wrong
		}
	case resp.StatusCode == http.StatusOK: // a store may answer with all bytes (RFC 9110 section 14.2)
		if offset > 0 {
			if _, err := io.CopyN(io.Discard, resp.Body, offset); err != nil {
				return Broken
			}
		}
		if resp.ContentLength >= 0 && resp.ContentLength != f.size {
			return Wrong
		}
	default:
		return Refused
	}
	return 0
}

const copySize = 32 << 10 // bytes read at once

// append appends all bytes of a body, which must not go past the size. progress is called after each read.
func (f *fetch) append(body io.Reader, progress func()) Fault {
	buffer := make([]byte, copySize)
	for {
		n, err := body.Read(buffer)
		progress()
		if int64(len(f.blob)+n) > f.size {
			return Wrong
		}
		f.blob = append(f.blob, buffer[:n]...)
		f.sum.Write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return 0
		}
		if err != nil {
			return Broken
		}
	}
}
