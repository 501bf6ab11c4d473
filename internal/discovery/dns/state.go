// Package dns keeps the list of workers up to date from a directory that answers DNS over UDP: the SRV records of one
// service are the whole list, and the serial of the zone's SOA record numbers its last event.
//
// Parse reads an answer, State says which answer to believe, Watcher asks. A datagram can be lost, be late, be cut, be
// somebody else's or be of a stale replica, so only a whole answer to the question now open, with a higher number than
// any before, changes the list.
package dns

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// MostBytes is the longest answer of the platform's directory.
const MostBytes = 8000

const mostWorkers = 4096

// Priorities of SRV records (RFC 2782), as the directory uses them.
const (
	priorityReady    = 0
	priorityDraining = 1
	weightOfSize     = 10 // a record's weight is so many times the worker's size
)

var (
	errOther = errors.New("not the answer to this question")
	errSaid  = errors.New("the directory reports a failure")
)

// Question packs the query for a service's SRV records.
func Question(id uint16, service dnsmessage.Name) ([]byte, error) {
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, RecursionDesired: false},
		Questions: []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}}}
	return m.Pack()
}

// A host is what the additional records say of one.
type host struct {
	addr          netip.Addr
	kind, cell    string
	started       time.Time
	hasAddr, told bool
}

// Parse reads an answer to the question with this id. An error means that it says nothing of the list.
func Parse(b []byte, id uint16, service dnsmessage.Name) (serial uint32, l []gateway.Worker, err error) {
	var p dnsmessage.Parser
	head, err := p.Start(b)
	if err != nil {
		return 0, nil, fmt.Errorf("header: %w", err)
	}
	if !head.Response || head.ID != id {
		return 0, nil, errOther
	}
	if head.RCode != dnsmessage.RCodeSuccess {
		return 0, nil, fmt.Errorf("%w: %s", errSaid, head.RCode)
	}
	if head.Truncated {
		return 0, nil, errors.New("the answer is truncated")
	}
	questions, err := p.AllQuestions()
	if err != nil {
		return 0, nil, fmt.Errorf("question: %w", err)
	}
	if len(questions) != 1 || !same(questions[0].Name, service) || questions[0].Type != dnsmessage.TypeSRV {
		return 0, nil, errOther
	}
	answers, err := p.AllAnswers()
	if err != nil {
		return 0, nil, fmt.Errorf("answer: %w", err)
	}
	authorities, err := p.AllAuthorities()
	if err != nil {
		return 0, nil, fmt.Errorf("authority: %w", err)
	}
	extra, err := p.AllAdditionals()
	if err != nil {
		return 0, nil, fmt.Errorf("additional: %w", err)
	}
	numbered := false
	for _, r := range authorities {
		if soa, ok := r.Body.(*dnsmessage.SOAResource); ok {
			serial, numbered = soa.Serial, true
		}
	}
	if !numbered {
		return 0, nil, errors.New("no SOA record: the list has no number")
	}
	hosts, err := readHosts(extra)
	if err != nil {
		return 0, nil, err
	}
	l, err = readWorkers(answers, hosts, service)
	return serial, l, err
}

func readHosts(extra []dnsmessage.Resource) (map[string]*host, error) {
	hosts := map[string]*host{}
	of := func(r dnsmessage.Resource) *host {
		name := key(r.Header.Name)
		h := hosts[name]
		if h == nil {
			h = &host{}
			hosts[name] = h
		}
		return h
	}
	for _, r := range extra {
		switch body := r.Body.(type) {
		case *dnsmessage.AResource:
			h := of(r)
			h.addr, h.hasAddr = netip.AddrFrom4(body.A), true
		case *dnsmessage.TXTResource:
			h := of(r)
			h.told = true
			for _, text := range body.TXT {
				name, value, _ := strings.Cut(text, "=")
				switch name {
				case "kind":
					h.kind = value
				case "cell":
					h.cell = value
				case "started":
					ms, err := strconv.ParseInt(value, 10, 64)
					if err != nil || ms < 0 {
						return nil, fmt.Errorf("%s: started: %.32q is no time", key(r.Header.Name), value)
					}
					if ms > 0 {
						h.started = time.UnixMilli(ms)
					}
				}
			}
		}
	}
	return hosts, nil
}

func readWorkers(answers []dnsmessage.Resource, hosts map[string]*host, service dnsmessage.Name) ([]gateway.Worker, error) {
	if len(answers) > mostWorkers {
		return nil, fmt.Errorf("%d records, at most %d", len(answers), mostWorkers)
	}
	var l []gateway.Worker
	seen := map[string]int{} // place in l
	for _, r := range answers {
		srv, ok := r.Body.(*dnsmessage.SRVResource)
		if !ok || !same(r.Header.Name, service) {
			continue
		}
		name := key(srv.Target)
		labels := strings.SplitN(name, ".", 3)
		if len(labels) < 2 || labels[0] == "" || labels[1] == "" {
			return nil, fmt.Errorf("target %.64q: want an id and a zone", name)
		}
		h := hosts[name]
		if h == nil || !h.hasAddr || !h.told {
			return nil, fmt.Errorf("%s: its A or TXT record is missing", name)
		}
		w := gateway.Worker{Name: labels[0], Network: "tcp", Addr: netip.AddrPortFrom(h.addr, srv.Port).String(), Zone: labels[1],
			Group: h.cell, Kind: h.kind, Size: float64(srv.Weight) / weightOfSize, Started: h.started}
		switch srv.Priority {
		case priorityReady:
			w.State = scheduler.Ready
		case priorityDraining:
			w.State = scheduler.Draining
		default:
			return nil, fmt.Errorf("%s: priority %d", name, srv.Priority)
		}
		// A record that comes twice says nothing new (RFC 2181, 5). A worker that is listed as ready and as draining drains:
		// to refuse the whole list for it would keep sending there.
		if i, twice := seen[labels[0]]; twice {
			if w.State != scheduler.Draining {
				w.State = l[i].State
			}
			if l[i].State = w.State; l[i] != w {
				return nil, fmt.Errorf("%s: listed twice, as different workers", name)
			}
			continue
		}
		seen[labels[0]] = len(l)
		l = append(l, w)
	}
	slices.SortFunc(l, func(a, b gateway.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return l, nil
}

func key(n dnsmessage.Name) string { return strings.ToLower(strings.TrimSuffix(n.String(), ".")) }

func same(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }

// State remembers which event the list held is of. 0: none is held yet.
type State struct{ Serial uint32 }

// Advance tells whether a whole answer with this number is newer than the list held, and if so takes it for the one held. An older
// one is a stale replica's or has been overtaken; of the same one nothing can have changed. Numbers are compared as a zone's serials
// are (RFC 1982): they may wrap.
func (s *State) Advance(serial uint32) bool {
	if s.Serial != 0 && int32(serial-s.Serial) <= 0 {
		return false
	}
	s.Serial = serial
	return true
}
