package fakeworker

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"kitehub/internal/http1"
)

// A BlobFault is a way in which a fake blob store corrupts its responses.
type BlobFault int

// The faults of a blob store.
const (
	NoBlobFault   BlobFault = iota
	Truncated               // the response ends early, at a different byte each time
	Swapped                 // a different blob of the same length
	Extended                // one more byte, which the declared length includes
	BitFlipped              // one bit in the second half is flipped
	BlobNotFound            // status 404
	TrailingBytes           // bytes after the declared length
)

// BlobStore is a fake blob store. It serves pulls of blobs as the OCI distribution specification
// defines them: GET /v2/<name>/blobs/<digest>, with ranges. It is safe for concurrent use.
type BlobStore struct {
	mu       sync.Mutex
	blobs    map[string][]byte
	fault    BlobFault
	server   *http1.Server
	ln       net.Listener
	requests int
}

// StartBlobStore starts a store on a loopback port.
func StartBlobStore() (*BlobStore, error) {
	b := &BlobStore{blobs: map[string][]byte{}}
	var err error
	if b.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.server = &http1.Server{Handler: http1.HandlerFunc(b.serve)}
	go b.server.Serve(b.ln)
	return b, nil
}

// Addr returns the address on which the store listens.
func (b *BlobStore) Addr() string { return b.ln.Addr().String() }

// Put adds a blob under its digest.
func (b *BlobStore) Put(digest string, blob []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blobs[digest] = blob
}

// SetFault makes the store corrupt its responses from now on.
func (b *BlobStore) SetFault(f BlobFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

// Requests returns the number of requests received.
func (b *BlobStore) Requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// Close stops the store.
func (b *BlobStore) Close() {
	b.ln.Close()
	b.server.Abort()
}

func (b *BlobStore) serve(c *http1.Conn, r *http1.Request) *http1.Response {
	part := strings.Split(r.Path(), "/")
	b.mu.Lock()
	b.requests++
	number, fault := b.requests, b.fault
	var blob []byte
	ok := false
	if len(part) >= 5 && part[1] == "v2" && part[len(part)-2] == "blobs" {
		blob, ok = b.blobs[part[len(part)-1]]
	}
	b.mu.Unlock()
	if !ok || fault == BlobNotFound || r.Method != "GET" {
		return &http1.Response{Status: 404, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}},
			Body: []byte(`{"errors":[{"code":"BLOB_UNKNOWN"}]}`)}
	}
	blob = append([]byte(nil), blob...)
	switch fault {
	case Swapped:
		for i := range blob {
			blob[i] ^= 0x55
		}
	case Extended:
		blob = append(blob, 0)
	case BitFlipped:
		if len(blob) > 1 {
			blob[len(blob)/2+len(blob)/4] ^= 1
		}
	}
	size, from := len(blob), 0
	resp := &http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/octet-stream"}}}
	if text, ok := strings.CutPrefix(r.Header.Get("Range"), "bytes="); ok && strings.HasSuffix(text, "-") {
		n, err := strconv.Atoi(strings.TrimSuffix(text, "-"))
		if err != nil || n >= size {
			return &http1.Response{Status: 416}
		}
		from = n
		resp.Status = 206
		resp.Header.Add("Content-Range", fmt.Sprintf("bytes %d-%d/%d", n, size-1, size))
	}
	resp.Body = blob[from:]
	whole := http1.AppendResponse(nil, resp, false)
	switch fault {
	case Truncated:
		c.Write(whole[:len(whole)-len(resp.Body)+max(1, len(resp.Body)*(number%3+1)/5)])
		return nil
	case TrailingBytes:
		c.Write(append(whole, "more"...))
		return nil
	}
	return resp
}
