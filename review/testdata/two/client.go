package main

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// secret is the client's key in the configuration, without its prefix: the example of the Standard
// Webhooks specification.
const secret = "MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"

// A call is one signed webhook.
type call struct {
	function, id, body string
	at                 time.Time     // of the signature
	wait               time.Duration // how long the client waits; 0: it does not say
}

// bytes returns the request as it goes over the wire.
func (c call) bytes() []byte {
	key, _ := base64.StdEncoding.DecodeString(secret)
	stamp := strconv.FormatInt(c.at.Unix(), 10)
	mac := hmac.New(sha256.New, key)
	io.WriteString(mac, c.id+"."+stamp+"."+c.body)
	wait := ""
	if c.wait > 0 {
		wait = "x-envoy-upstream-rq-timeout-ms: " + strconv.FormatInt(c.wait.Milliseconds(), 10) + "\r\n"
	}
	return []byte("POST /call/" + c.function + " HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\n" +
		"webhook-id: " + c.id + "\r\nwebhook-timestamp: " + stamp + "\r\n" +
		"webhook-signature: v1," + base64.StdEncoding.EncodeToString(mac.Sum(nil)) + "\r\n" +
		wait + "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body)
}

// An answer is what a client read.
type answer struct {
	status int
	body   string
	header http.Header
}

func (a answer) String() string {
	body := a.body
	if len(body) > 200 {
		body = body[:200] + "…"
	}
	return fmt.Sprintf("%d %s", a.status, body)
}

// errUnanswered means that a request was sent whole and had no answer.
var errUnanswered = errors.New("no answer")

// send sends a call on a connection and reads its answer.
func send(conn net.Conn, reader *bufio.Reader, c call, within time.Duration) (answer, error) {
	conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write(c.bytes()); err != nil {
		return answer{}, fmt.Errorf("%w: write: %w", errUnanswered, err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, fmt.Errorf("%w: read: %w", errUnanswered, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, fmt.Errorf("%w: read: %w", errUnanswered, err)
	}
	return answer{resp.StatusCode, string(body), resp.Header}, nil
}

// sendOnce sends a call on a connection of its own.
func sendOnce(addr string, c call, within time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return answer{}, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	return send(conn, bufio.NewReader(conn), c, within)
}

// awaitServing waits until a call of the function warm is served, so that a case begins with a
// controller that knows its workers.
func (b *bench) awaitServing(addr string) error {
	var last string
	for i := 0; i < 100; i++ {
		a, err := sendOnce(addr, call{function: "warm", id: fmt.Sprintf("warm%d_%d", time.Now().UnixNano(), i), body: `{"warm":1}`, at: time.Now()}, 6*time.Second)
		if err == nil && a.status == 200 {
			return nil
		}
		last = fmt.Sprint(a, err)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: the controller serves nothing: %s", errSetup, last)
}
