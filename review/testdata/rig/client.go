package rig

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A Message is a signed webhook as its client keeps it: sending it twice sends the same bytes.
type Message struct {
	ID        string
	Path      string
	Body      string
	Timestamp int64
	Signature string
}

// Sign signs a message with the present time. secret is a whsec_ secret.
func Sign(secret, id, path, body string) Message {
	m := Message{ID: id, Path: path, Body: body, Timestamp: time.Now().Unix()}
	key, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(secret, "whsec_"))
	if err != nil {
		panic(err)
	}
	mac := hmac.New(sha256.New, key)
	fmt.Fprintf(mac, "%s.%d.%s", id, m.Timestamp, body)
	m.Signature = "v1," + base64.StdEncoding.EncodeToString(mac.Sum(nil))
	return m
}

// Bytes returns the message as an HTTP/1.1 request.
func (m Message) Bytes() []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"webhook-id: %s\r\nwebhook-timestamp: %d\r\nwebhook-signature: %s\r\n\r\n%s",
		m.Path, len(m.Body), m.ID, m.Timestamp, m.Signature, m.Body)
}

// An Answer is what a client got for a message. Err is set if it got no whole answer.
type Answer struct {
	Status  int
	Outcome string // of the answer's id: served, refused or failed
	Version string // kitehub-version
	Body    string
	Err     error
	Unsent  bool // the message was not sent whole
	Took    time.Duration
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer: %v, after %v", a.Err, a.Took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d %s %s %.160s, after %v", a.Status, a.Outcome, a.Version, strings.TrimSpace(a.Body),
		a.Took.Round(time.Millisecond))
}

// Send sends a message on a connection of its own and waits for the answer.
func Send(addr string, m Message, timeout time.Duration) Answer {
	return SendSlowly(addr, m, timeout, 0)
}

// SendSlowly is Send for a client whose network takes some time between the head and the body.
func SendSlowly(addr string, m Message, timeout, between time.Duration) Answer {
	begin := time.Now()
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return Answer{Err: err, Unsent: true, Took: time.Since(begin)}
	}
	defer conn.Close()
	conn.SetDeadline(begin.Add(timeout))
	request := m.Bytes()
	head := len(request) - len(m.Body)
	if _, err := conn.Write(request[:head]); err != nil {
		return Answer{Err: err, Unsent: true, Took: time.Since(begin)}
	}
	time.Sleep(between)
	if _, err := conn.Write(request[head:]); err != nil {
		return Answer{Err: err, Unsent: true, Took: time.Since(begin)}
	}
	a := ReadAnswer(bufio.NewReader(conn))
	a.Took = time.Since(begin)
	return a
}

// ReadAnswer reads one answer.
func ReadAnswer(r *bufio.Reader) Answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	outcome := strings.Split(strings.TrimPrefix(resp.Header.Get("webhook-id"), "answer_"), "_")[0]
	return Answer{Status: resp.StatusCode, Outcome: outcome, Version: resp.Header.Get("kitehub-version"), Body: string(body)}
}
