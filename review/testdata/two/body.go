package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["body"] = bodyCase }

// bodyCase lets clients send calls with bodies of 100 KB, one after the other on a connection that
// each keeps, and takes the controller over a few times meanwhile.
func bodyCase(b *bench) (broken bool, err error) {
	const size = 100 << 10
	f := &fleet{bench: b, work: 5 * time.Millisecond, quiet: true, reply: `{"price":120}`}
	addr, err := b.setUp(f, []string{"w1", "w2"}, `daemon { handover: "DIR/handover" }`)
	if err != nil {
		return false, err
	}
	config := b.path("kitehub.textproto")
	current, err := b.begin("process0", "serve", "--config", config)
	if err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	body := `{"pad":"` + strings.Repeat("x", size) + `"}`
	const clients = 12
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served, refused, lost := 0, 0, 0, 0
	stop := make(chan struct{})
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var conn net.Conn
			var reader *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					if conn != nil {
						conn.Close()
					}
					return
				default:
				}
				if conn == nil {
					if conn, err = net.DialTimeout("tcp", addr, 2*time.Second); err != nil {
						b.notef("client %d: connect: %v", i, err)
						time.Sleep(50 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				c := call{function: "quotes", id: fmt.Sprintf("c%d_%d", i, n), body: body, at: time.Now()}
				a, err := send(conn, reader, c, 10*time.Second)
				mu.Lock()
				sent++
				switch {
				case errors.Is(err, errUnanswered):
					lost++
					b.notef("client %d, call %s with a body of %d bytes: %v", i, c.id, len(body), err)
				case a.status == 200:
					served++
				default:
					refused++
					b.notef("client %d, call %s: %v", i, c.id, a)
				}
				mu.Unlock()
				if err != nil {
					conn.Close()
					conn = nil
				}
			}
		}()
	}
	const takeOvers = 5
	for n := 1; n <= takeOvers; n++ {
		time.Sleep(1500 * time.Millisecond)
		if !b.trouble {
			continue
		}
		next, err := b.begin(fmt.Sprintf("process%d", n), "serve", "--config", config, "--take-over")
		if err == nil {
			err = b.awaitLog(next, `"message":"serving"`, 5*time.Second)
		}
		if err == nil && !current.awaitEnd(12*time.Second) {
			err = fmt.Errorf("%w: the old process does not end", errSetup)
		}
		if err != nil {
			close(stop)
			wg.Wait()
			return false, err
		}
		current = next
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	wg.Wait()
	b.notef("%d calls sent: %d served, %d answered otherwise, %d with no answer", sent, served, refused, lost)
	return lost > 0, nil
}
