package blobfetch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
)

// A Client fetches blobs. It is safe for concurrent use. Concurrent fetches share the state of the
// stores.
type Client struct {
	plansMu     sync.Mutex // guards stores and all plans
	stores      *Stores
	clock       clock.Clock
	http        *http.Client
	log         zerolog.Logger
	idleTimeout time.Duration
}

// NewClient returns a client of stores, each given as "host:port". A request is aborted when the
// store sends nothing for idleTimeout.
func NewClient(settings Settings, stores []string, idleTimeout time.Duration, clk clock.Clock, log zerolog.Logger) *Client {
	transport := &http.Transport{
		DisableCompression:    true,
		ResponseHeaderTimeout: idleTimeout,
		MaxIdleConnsPerHost:   2,
	}
	return &Client{
		stores:      NewStores(settings, stores),
		clock:       clk,
		http:        &http.Client{Transport: transport},
		log:         log,
		idleTimeout: idleTimeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Fetch returns the verified blob of a digest, and the store that sent the last part of it. name is
// the name of the repository. size is the size in bytes that the registry has for the digest; a
// store that has a blob of another size is excluded.
//
// The error is that of ctx, wraps ErrMismatch or ErrExhausted, or reports an invalid digest or
// size.
func (c *Client) Fetch(ctx context.Context, name, digest string, size int64) (blob []byte, store string, err error) {
	want, ok := strings.CutPrefix(digest, "sha256:")
	if !ok || size <= 0 {
		return nil, "", fmt.Errorf("fetch: invalid digest %q or size of %d bytes", digest, size)
	}
	d := &download{name: name, digest: digest, sum: sha256.New(), size: size}
	plan := c.newPlan(size)
	for {
		request, err := c.nextRequest(ctx, plan, d)
		if err != nil {
			return nil, "", err
		}
		if request.FromStart {
			d.reset()
		}
		before := len(d.blob)
		fault := c.request(ctx, request, d)
		if ctx.Err() != nil {
			return nil, "", ctx.Err()
		}
		fault = c.recordResult(plan, int64(len(d.blob)-before), fault, func() bool { return d.sumHex() == want })
		if fault == 0 {
			c.log.Info().Str("store", request.Store).Str("name", name).Str("digest", digest).Int("bytes", len(d.blob)).
				Msg("blob fetched")
			return d.blob, request.Store, nil
		}
		c.log.Warn().Str("store", request.Store).Str("name", name).Str("digest", digest).Stringer("fault", fault).
			Int("bytes", len(d.blob)).Msg("blob request failed")
	}
}

func (c *Client) newPlan(size int64) *Plan {
	c.plansMu.Lock()
	defer c.plansMu.Unlock()
	return NewPlan(c.stores, size)
}

// nextRequest waits until the plan allows another request, and returns it. An error ends the fetch.
func (c *Client) nextRequest(ctx context.Context, plan *Plan, d *download) (Request, error) {
	for {
		c.plansMu.Lock()
		request, wait, err := plan.Next(c.clock.Now())
		c.plansMu.Unlock()
		if err != nil {
			c.log.Error().Err(err).Str("name", d.name).Str("digest", d.digest).Msg("blob not fetched")
			return Request{}, err
		}
		if wait <= 0 {
			return request, nil
		}
		select {
		case <-ctx.Done():
			return Request{}, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// recordResult tells the plan how a request ended. It returns the fault of the request, or a fault
// that shows only after the request has succeeded: an incomplete blob or a wrong digest. 0 means
// that the blob is complete and verified.
func (c *Client) recordResult(plan *Plan, received int64, fault Fault, verify func() bool) Fault {
	c.plansMu.Lock()
	defer c.plansMu.Unlock()
	plan.Received(received)
	if fault == 0 && !plan.Complete() {
		fault = Interrupted
	}
	if fault != 0 {
		plan.Failed(c.clock.Now(), fault, rand.Float64())
		return fault
	}
	match := verify()
	plan.Verified(c.clock.Now(), match, rand.Float64())
	if !match {
		return DigestMismatch
	}
	return 0
}
