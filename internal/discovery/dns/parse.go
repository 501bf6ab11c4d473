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

// Limits on a response.
const (
	maxResponseBytes = 8000 // the longest response that the platform's directory sends
	maxRecords       = 4096
)

// Values in SRV records (RFC 2782), as used by the directory.
const (
	priorityReady    = 0
	priorityDraining = 1
	weightPerSize    = 10 // ratio of a record's weight to the worker's size
)

// errUnrelated is the error for a message that is not a response to the query in flight: it may be
// delayed, forged or misdirected.
var errUnrelated = errors.New("not a response to this query")

// packQuery encodes a query for the SRV records of a service.
func packQuery(id uint16, service dnsmessage.Name) ([]byte, error) {
	query := dnsmessage.Message{
		Header:    dnsmessage.Header{ID: id, RecursionDesired: false},
		Questions: []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}},
	}
	return query.Pack()
}

// Parse parses a response to the query with the given ID. It returns the serial of the list and its
// workers, ordered by name. If it returns an error, the message must be ignored, as it is not a
// valid list.
func Parse(message []byte, id uint16, service dnsmessage.Name) (serial uint32, workers []gateway.Worker, err error) {
	var parser dnsmessage.Parser
	header, err := parser.Start(message)
	if err != nil {
		return 0, nil, fmt.Errorf("header: %w", err)
	}
	if err := checkHeader(header, id); err != nil {
		return 0, nil, err
	}
	questions, err := parser.AllQuestions()
	if err != nil {
		return 0, nil, fmt.Errorf("question: %w", err)
	}
	if len(questions) != 1 || !sameName(questions[0].Name, service) || questions[0].Type != dnsmessage.TypeSRV {
		return 0, nil, errUnrelated
	}
	answers, err := parser.AllAnswers()
	if err != nil {
		return 0, nil, fmt.Errorf("answer: %w", err)
	}
	authorities, err := parser.AllAuthorities()
	if err != nil {
		return 0, nil, fmt.Errorf("authority: %w", err)
	}
	additionals, err := parser.AllAdditionals()
	if err != nil {
		return 0, nil, fmt.Errorf("additional: %w", err)
	}
	if serial, err = parseSerial(authorities); err != nil {
		return 0, nil, err
	}
	hosts, err := parseHosts(additionals)
	if err != nil {
		return 0, nil, err
	}
	workers, err = parseWorkers(answers, hosts, service)
	return serial, workers, err
}

func checkHeader(header dnsmessage.Header, id uint16) error {
	if !header.Response || header.ID != id {
		return errUnrelated
	}
	if header.RCode != dnsmessage.RCodeSuccess {
		return fmt.Errorf("directory reports failure: %s", header.RCode)
	}
	if header.Truncated {
		return errors.New("response is truncated")
	}
	return nil
}

// parseSerial returns the serial of the zone's SOA record.
func parseSerial(authorities []dnsmessage.Resource) (uint32, error) {
	for _, record := range slices.Backward(authorities) {
		if soa, ok := record.Body.(*dnsmessage.SOAResource); ok {
			return soa.Serial, nil
		}
	}
	return 0, errors.New("no SOA record: the list has no serial")
}

// A host holds the additional records of one SRV target.
type host struct {
	hasA    bool
	addr    netip.Addr
	hasTXT  bool
	kind    string
	cell    string
	started time.Time
}

// parseHosts parses the A and TXT records. It returns them by canonical name.
func parseHosts(additionals []dnsmessage.Resource) (map[string]*host, error) {
	hosts := map[string]*host{}
	for _, record := range additionals {
		name := canonical(record.Header.Name)
		h := hosts[name]
		if h == nil {
			h = &host{}
			hosts[name] = h
		}
		switch body := record.Body.(type) {
		case *dnsmessage.AResource:
			h.hasA = true
			h.addr = netip.AddrFrom4(body.A)
		case *dnsmessage.TXTResource:
			h.hasTXT = true
			if err := h.parseTXT(body.TXT); err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return hosts, nil
}

// parseTXT parses name=value pairs. Unknown names are ignored.
func (h *host) parseTXT(pairs []string) error {
	for _, pair := range pairs {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "kind":
			h.kind = value
		case "cell":
			h.cell = value
		case "started": // Unix milliseconds; 0 if unknown
			millis, err := strconv.ParseInt(value, 10, 64)
			if err != nil || millis < 0 {
				return fmt.Errorf("started: %.32q is not a valid time", value)
			}
			if millis > 0 {
				h.started = time.UnixMilli(millis)
			}
		}
	}
	return nil
}

// parseWorkers parses the SRV records of the service and ignores other records.
func parseWorkers(answers []dnsmessage.Resource, hosts map[string]*host, service dnsmessage.Name) (
	[]gateway.Worker, error,
) {
	if len(answers) > maxRecords {
		return nil, fmt.Errorf("%d records, maximum is %d", len(answers), maxRecords)
	}
	var workers []gateway.Worker
	indexOf := map[string]int{} // in workers, by name
	for _, record := range answers {
		srv, ok := record.Body.(*dnsmessage.SRVResource)
		if !ok || !sameName(record.Header.Name, service) {
			continue
		}
		target := canonical(srv.Target)
		worker, err := newWorker(srv, target, hosts[target])
		if err != nil {
			return nil, err
		}
		i, repeated := indexOf[worker.Name]
		if !repeated {
			indexOf[worker.Name] = len(workers)
			workers = append(workers, worker)
			continue
		}
		if err := mergeRepeated(&workers[i], worker); err != nil {
			return nil, fmt.Errorf("%s: %w", target, err)
		}
	}
	slices.SortFunc(workers, func(a, b gateway.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return workers, nil
}

// newWorker returns the worker of an SRV record. The first two labels of the record's target are
// the worker's ID and zone.
func newWorker(srv *dnsmessage.SRVResource, target string, h *host) (w gateway.Worker, err error) {
	labels := strings.SplitN(target, ".", 3)
	if len(labels) < 2 || labels[0] == "" || labels[1] == "" {
		return w, fmt.Errorf("target %.64q does not begin with an ID and a zone", target)
	}
	if h == nil || !h.hasA || !h.hasTXT {
		return w, fmt.Errorf("%s: A or TXT record is missing", target)
	}
	w = gateway.Worker{
		Name:    labels[0],
		Network: "tcp",
		Addr:    netip.AddrPortFrom(h.addr, srv.Port).String(),
		Zone:    labels[1],
		Group:   h.cell,
		Kind:    h.kind,
		Size:    float64(srv.Weight) / weightPerSize,
		Started: h.started,
	}
	switch srv.Priority {
	case priorityReady:
		w.State = scheduler.Ready
	case priorityDraining:
		w.State = scheduler.Draining
	default:
		return w, fmt.Errorf("%s: unknown priority %d", target, srv.Priority)
	}
	return w, nil
}

// mergeRepeated merges a repeated record of a worker into the first. A duplicate record adds
// nothing (RFC 2181, section 5). A worker that is listed both as ready and as draining counts as
// draining, as calls would still be sent to it if the whole list were rejected instead.
func mergeRepeated(first *gateway.Worker, repeated gateway.Worker) error {
	if repeated.State == scheduler.Draining {
		first.State = scheduler.Draining
	}
	repeated.State = first.State
	if *first != repeated {
		return errors.New("listed twice with different data")
	}
	return nil
}

// canonical returns a name in lower case, as names are case-insensitive, and without the final dot.
func canonical(name dnsmessage.Name) string {
	return strings.ToLower(strings.TrimSuffix(name.String(), "."))
}

func sameName(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }
