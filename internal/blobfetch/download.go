package blobfetch

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"
)

// A download holds the bytes that one fetch has received so far, with their checksum.
type download struct {
	name   string // name of the repository
	digest string
	size   int64
	blob   []byte
	sum    hash.Hash // checksum of blob
}

// reset discards the bytes.
func (d *download) reset() {
	d.blob = d.blob[:0]
	d.sum.Reset()
}

func (d *download) append(b []byte) {
	d.blob = append(d.blob, b...)
	d.sum.Write(b)
}

func (d *download) sumHex() string { return hex.EncodeToString(d.sum.Sum(nil)) }

// request makes one request and appends the bytes of the response to the download, up to the size
// of the blob. It returns 0 if the response ended without a fault.
func (c *Client) request(ctx context.Context, r Request, d *download) Fault {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.Store+"/v2/"+d.name+"/blobs/"+d.digest, nil)
	if err != nil {
		return BadStatus
	}
	if r.Offset > 0 {
		req.Header.Set("Range", "bytes="+strconv.FormatInt(r.Offset, 10)+"-")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Unreachable
	}
	defer resp.Body.Close()
	if fault := skipToOffset(resp, r.Offset, d.size); fault != 0 {
		return fault
	}
	idle := time.AfterFunc(c.idleTimeout, cancel)
	defer idle.Stop()
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		idle.Reset(c.idleTimeout)
		if int64(len(d.blob)+n) > d.size {
			return WrongLength
		}
		d.append(buf[:n])
		if errors.Is(err, io.EOF) {
			return 0
		}
		if err != nil {
			return Interrupted
		}
	}
}

// skipToOffset checks the status and the length of the response to a request that starts at an
// offset. If the response has the whole blob, it skips the body up to the offset.
func skipToOffset(resp *http.Response, offset, size int64) Fault {
	switch {
	case resp.StatusCode == 206 && offset > 0:
		if resp.Header.Get("Content-Range") != fmt.Sprintf("bytes %d-%d/%d", offset, size-1, size) {
			return WrongLength
		}
	case resp.StatusCode == 200: // a store may ignore a range (RFC 9110 section 14.2)
		if offset > 0 {
			if _, err := io.CopyN(io.Discard, resp.Body, offset); err != nil {
				return Interrupted
			}
		}
		if resp.ContentLength >= 0 && resp.ContentLength != size {
			return WrongLength
		}
	default:
		return BadStatus
	}
	return 0
}
