package webhook

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/http1"
)

// traceID returns the trace ID of a traceparent header (W3C Trace Context), or a random one if the
// header is missing or invalid.
func traceID(traceparent string) (id [16]byte) {
	if len(traceparent) == 55 && traceparent[:3] == "00-" && traceparent[35] == '-' {
		n, err := hex.Decode(id[:], []byte(traceparent[3:35]))
		if err == nil && n == len(id) && id != [16]byte{} {
			return id
		}
	}
	rand.Read(id[:])
	return id
}

// clientTimeout returns how long the client waits, taken from x-envoy-upstream-rq-timeout-ms or
// from Prefer: wait=seconds (RFC 7240). It is at most the deadline of the class, which is also the
// default.
func clientTimeout(h http1.Header, deadline time.Duration) time.Duration {
	millis, err := strconv.ParseUint(h.Get("x-envoy-upstream-rq-timeout-ms"), 10, 31)
	if err == nil && millis > 0 {
		return min(deadline, time.Duration(millis)*time.Millisecond)
	}
	for preference := range strings.SplitSeq(h.Get("Prefer"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(preference), "wait="); ok {
			if seconds, err := strconv.ParseUint(text, 10, 20); err == nil && seconds > 0 {
				return min(deadline, time.Duration(seconds)*time.Second)
			}
		}
	}
	return deadline
}
