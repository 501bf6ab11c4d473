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

// Limits on an answer.
const (
	maxAnswerBytes = 8000 // the longest that the platform's directory sends
	maxRecords     = 4096
)

// SRV records (RFC 2782), as the directory uses them.
const (
	priorityReady    = 0
	priorityDraining = 1
	weightPerSize    = 10 // a record's weight is the worker's size times this
)

// errNotAnswer is the error for a message that does not answer the query in flight: delayed, forged or misdirected.
var errNotAnswer = errors.New("not the answer to this question")

// packQuery packs the query for a service's SRV records.
func packQuery(id uint16, service dnsmessage.Name) ([]byte, error) {
	query := dnsmessage.Message{
		Header:    dnsmessage.Header{ID: id, RecursionDesired: false},
		Questions: []dnsmessage.Question{{Name: service, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}},
	}
	return query.Pack()
}

// Parse reads an answer to the query with this id: the serial of the list and its workers, by name. After an error
// the message must be ignored: it says nothing of the list.
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
		return 0, nil, errNotAnswer
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
		return errNotAnswer
	}
	if header.RCode != dnsmessage.RCodeSuccess {
		return fmt.Errorf("the directory reports a failure: %s", header.RCode)
	}
	if header.Truncated {
		return errors.New("the answer is truncated")
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
	return 0, errors.New("no SOA record: the list has no number")
}

// A host is what the additional records say of one SRV target.
type host struct {
	hasA    bool
	addr    netip.Addr
	hasTXT  bool
	kind    string
	cell    string
	started time.Time
}

// parseHosts reads the A and TXT records, by canonical name.
func parseHosts(additionals []dnsmessage.Resource) (map[string]*host, error) {
	hosts := map[string]*host{}
	for _, record := range additionals {
		name := canonical(record.Header.Name)
		known := hosts[name]
		if known == nil {
			known = &host{}
			hosts[name] = known
		}
		switch body := record.Body.(type) {
		case *dnsmessage.AResource:
			known.hasA = true
			known.addr = netip.AddrFrom4(body.A)
		case *dnsmessage.TXTResource:
			known.hasTXT = true
			if err := known.parseTXT(body.TXT); err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return hosts, nil
}

// parseTXT reads name=value pairs. Unknown names are ignored.
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
				return fmt.Errorf("started: %.32q is no time", value)
			}
			if millis > 0 {
				h.started = time.UnixMilli(millis)
			}
		}
	}
	return nil
}

// parseWorkers reads the SRV records of the service; other answers are ignored.
func parseWorkers(answers []dnsmessage.Resource, hosts map[string]*host, service dnsmessage.Name) (
	[]gateway.Worker, error,
) {
	if len(answers) > maxRecords {
		return nil, fmt.Errorf("%d records, at most %d", len(answers), maxRecords)
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

// newWorker returns the worker of an SRV record, whose target begins with the worker's id and its zone.
func newWorker(srv *dnsmessage.SRVResource, target string, h *host) (w gateway.Worker, err error) {
	labels := strings.SplitN(target, ".", 3)
	if len(labels) < 2 || labels[0] == "" || labels[1] == "" {
		return w, fmt.Errorf("target %.64q: want an id and a zone", target)
	}
	if h == nil || !h.hasA || !h.hasTXT {
		return w, fmt.Errorf("%s: its A or TXT record is missing", target)
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
		return w, fmt.Errorf("%s: priority %d", target, srv.Priority)
	}
	return w, nil
}

// mergeRepeated merges a further record of a worker into the first. A repeated record says nothing new (RFC 2181,
// section 5). A worker that is listed both as ready and as draining is draining: rejecting the complete list for it
// would go on sending calls there.
func mergeRepeated(first *gateway.Worker, repeated gateway.Worker) error {
	if repeated.State == scheduler.Draining {
		first.State = scheduler.Draining
	}
	repeated.State = first.State
	if *first != repeated {
		return errors.New("listed twice, as different workers")
	}
	return nil
}

// canonical returns a name in the form that it is compared in: names are case-insensitive.
func canonical(name dnsmessage.Name) string {
	return strings.ToLower(strings.TrimSuffix(name.String(), "."))
}

func sameName(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }
