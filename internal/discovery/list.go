// Package discovery keeps the list of workers up to date: Envoy's ClusterLoadAssignment (xDS v3, EDS) in proto3 JSON,
// from a watched file or from a server, whole or in deltas, and from disk at start.
//
// An update that is torn, malformed or contradicts itself changes nothing: the old list stays, and the error is
// logged and told to the server. An older version than the one held is passed over. An update that takes all
// workers away is believed: it may be true, and sending to what is gone would break the rule on drains.
package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// Type URLs of the resources understood.
const (
	TypeAssignment = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	TypeEndpoint   = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
)

// Limits on an update.
const (
	mostWorkers = 10000
	mostBytes   = 16 << 20
)

// An Assignment is a ClusterLoadAssignment, as far as it is read. Unknown fields are skipped, as xDS asks.
type Assignment struct {
	Type        string     `json:"@type,omitempty"`
	ClusterName string     `json:"clusterName"`
	Endpoints   []Locality `json:"endpoints"`
}

// A Locality is a LocalityLbEndpoints.
type Locality struct {
	Locality    Place      `json:"locality"`
	LbEndpoints []Endpoint `json:"lbEndpoints"`
}

// A Place is a core.v3.Locality.
type Place struct {
	Zone string `json:"zone,omitempty"`
}

// An Endpoint is an LbEndpoint. Hostname is the worker's stable name; metadata under "kitehub" tells its group,
// its kind and, as RFC 3339, when its process started. Locality is ours, for deltas, which come without one.
type Endpoint struct {
	Type     string `json:"@type,omitempty"`
	Endpoint struct {
		Hostname string `json:"hostname"`
		Address  struct {
			SocketAddress *SocketAddress `json:"socketAddress,omitempty"`
			Pipe          *Pipe          `json:"pipe,omitempty"`
		} `json:"address"`
	} `json:"endpoint"`
	HealthStatus        string `json:"healthStatus,omitempty"`
	LoadBalancingWeight uint32 `json:"loadBalancingWeight,omitempty"`
	Metadata            struct {
		FilterMetadata struct {
			Kitehub Meta `json:"kitehub"`
		} `json:"filterMetadata"`
	} `json:"metadata"`
}

// SocketAddress is a core.v3.SocketAddress.
type SocketAddress struct {
	Address   string `json:"address"`
	PortValue uint32 `json:"portValue"`
}

// Pipe is a core.v3.Pipe.
type Pipe struct {
	Path string `json:"path"`
}

// Meta is what our metadata tells of a worker.
type Meta struct {
	Group   string `json:"group,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Started string `json:"started,omitempty"`
}

// health maps envoy.config.core.v3.HealthStatus. UNHEALTHY and TIMEOUT are worker checks of others: the module
// has its own, so these workers stay listed.
var health = map[string]scheduler.WorkerState{"": scheduler.Ready, "UNKNOWN": scheduler.Ready, "HEALTHY": scheduler.Ready,
	"DEGRADED": scheduler.Ready, "UNHEALTHY": scheduler.Ready, "TIMEOUT": scheduler.Ready, "DRAINING": scheduler.Draining}

// ParseAssignment reads a whole list. Errors name the field at fault.
func ParseAssignment(text []byte, cluster string) ([]gateway.Worker, error) {
	if len(text) > mostBytes {
		return nil, fmt.Errorf("list of %d bytes, at most %d", len(text), mostBytes)
	}
	var a Assignment
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, fmt.Errorf("not a ClusterLoadAssignment: %w", err)
	}
	return a.workers(cluster)
}

func (a *Assignment) workers(cluster string) ([]gateway.Worker, error) {
	if a.Type != "" && a.Type != TypeAssignment {
		return nil, fmt.Errorf("@type: %q is not a ClusterLoadAssignment", a.Type)
	}
	if a.ClusterName == "" {
		return nil, fmt.Errorf("clusterName: empty")
	}
	if cluster != "" && a.ClusterName != cluster {
		return nil, fmt.Errorf("clusterName: %q, want %q", a.ClusterName, cluster)
	}
	var l []gateway.Worker
	for i, loc := range a.Endpoints {
		for j, e := range loc.LbEndpoints {
			w, err := e.worker(loc.Locality.Zone)
			if err != nil {
				return nil, fmt.Errorf("endpoints[%d].lbEndpoints[%d].%w", i, j, err)
			}
			l = append(l, w)
		}
	}
	return l, distinct(l)
}

// distinct refuses two workers with one name, and two with one address: either would be sent another's calls.
func distinct(l []gateway.Worker) error {
	if len(l) > mostWorkers {
		return fmt.Errorf("%d workers, at most %d", len(l), mostWorkers)
	}
	names, addrs := map[string]bool{}, map[string]string{}
	for _, w := range l {
		if names[w.Name] {
			return fmt.Errorf("hostname: %q twice", w.Name)
		}
		names[w.Name] = true
		if old, ok := addrs[w.Network+w.Addr]; ok && w.State != scheduler.Gone {
			return fmt.Errorf("address: %s is both %q's and %q's", w.Addr, old, w.Name)
		}
		addrs[w.Network+w.Addr] = w.Name
	}
	return nil
}

func (e *Endpoint) worker(zone string) (gateway.Worker, error) {
	m := e.Metadata.FilterMetadata.Kitehub
	w := gateway.Worker{Name: e.Endpoint.Hostname, Zone: zone, Group: m.Group, Kind: m.Kind, Size: float64(e.LoadBalancingWeight)}
	if zone == "" {
		w.Zone = m.Zone
	}
	if w.Name == "" || len(w.Name) > 253 {
		return w, fmt.Errorf("endpoint.hostname: empty or over 253 bytes")
	}
	switch a := e.Endpoint.Address; {
	case a.SocketAddress != nil && a.Pipe != nil:
		return w, fmt.Errorf("endpoint.address: of %q: both a socket and a pipe", w.Name)
	case a.SocketAddress != nil:
		if a.SocketAddress.PortValue == 0 || a.SocketAddress.PortValue > 65535 {
			return w, fmt.Errorf("endpoint.address.socketAddress.portValue: %d of %q", a.SocketAddress.PortValue, w.Name)
		}
		if net.ParseIP(a.SocketAddress.Address) == nil {
			return w, fmt.Errorf("endpoint.address.socketAddress.address: %q of %q is no IP address", a.SocketAddress.Address, w.Name)
		}
		w.Network, w.Addr = "tcp", net.JoinHostPort(a.SocketAddress.Address, strconv.Itoa(int(a.SocketAddress.PortValue)))
	case a.Pipe != nil && a.Pipe.Path != "":
		w.Network, w.Addr = "unix", a.Pipe.Path
	default:
		return w, fmt.Errorf("endpoint.address: %q has neither a socket nor a pipe", w.Name)
	}
	var ok bool
	if w.State, ok = health[e.HealthStatus]; !ok {
		return w, fmt.Errorf("healthStatus: %q of %q is unknown", e.HealthStatus, w.Name)
	}
	if m.Started != "" {
		t, err := time.Parse(time.RFC3339Nano, m.Started)
		if err != nil {
			return w, fmt.Errorf("metadata.filterMetadata.kitehub.started: of %q: %w", w.Name, err)
		}
		w.Started = t
	}
	return w, nil
}

// Render writes workers as a whole list. Gone ones are left out.
func Render(cluster string, l []gateway.Worker) ([]byte, error) {
	a := Assignment{Type: TypeAssignment, ClusterName: cluster, Endpoints: []Locality{}}
	for _, w := range l {
		if w.State == scheduler.Gone {
			continue
		}
		e, err := endpoint(w)
		if err != nil {
			return nil, err
		}
		i := slices.IndexFunc(a.Endpoints, func(l Locality) bool { return l.Locality.Zone == w.Zone })
		if i < 0 {
			i = len(a.Endpoints)
			a.Endpoints = append(a.Endpoints, Locality{Locality: Place{w.Zone}})
		}
		a.Endpoints[i].LbEndpoints = append(a.Endpoints[i].LbEndpoints, e)
	}
	return json.MarshalIndent(a, "", " ")
}

func endpoint(w gateway.Worker) (e Endpoint, err error) {
	e.Endpoint.Hostname, e.LoadBalancingWeight = w.Name, uint32(w.Size)
	if w.Network == "unix" {
		e.Endpoint.Address.Pipe = &Pipe{w.Addr}
	} else {
		host, port, err := net.SplitHostPort(w.Addr)
		if err != nil {
			return e, err
		}
		n, err := strconv.Atoi(port)
		if err != nil {
			return e, err
		}
		e.Endpoint.Address.SocketAddress = &SocketAddress{host, uint32(n)}
	}
	e.HealthStatus = "HEALTHY"
	if w.State == scheduler.Draining {
		e.HealthStatus = "DRAINING"
	}
	m := &e.Metadata.FilterMetadata.Kitehub
	m.Group, m.Kind, m.Zone = w.Group, w.Kind, w.Zone
	if !w.Started.IsZero() {
		m.Started = w.Started.UTC().Format(time.RFC3339Nano)
	}
	return e, nil
}

// An Update is a DiscoveryResponse or a DeltaDiscoveryResponse.
type Update struct {
	VersionInfo       string            `json:"versionInfo,omitempty"`
	SystemVersionInfo string            `json:"systemVersionInfo,omitempty"`
	TypeURL           string            `json:"typeUrl"`
	Nonce             string            `json:"nonce"`
	Resources         []json.RawMessage `json:"resources,omitempty"`
	RemovedResources  []string          `json:"removedResources,omitempty"`
}

// A Resource is one of a delta.
type Resource struct {
	Name     string          `json:"name"`
	Version  string          `json:"version"`
	Resource json.RawMessage `json:"resource"`
}

// A Request is a DiscoveryRequest or a DeltaDiscoveryRequest: it asks for what comes after a version, and takes
// (with the version of the update) or refuses (with the old version and errorDetail) the update of a nonce.
type Request struct {
	VersionInfo   string       `json:"versionInfo,omitempty"`
	Node          Node         `json:"node"`
	ResourceNames []string     `json:"resourceNames,omitempty"`
	TypeURL       string       `json:"typeUrl"`
	ResponseNonce string       `json:"responseNonce,omitempty"`
	ErrorDetail   *ErrorDetail `json:"errorDetail,omitempty"`
}

// Node is who asks.
type Node struct {
	ID string `json:"id"`
}

// ErrorDetail is a google.rpc.Status.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// A WatchEvent is what an update changes.
type WatchEvent struct {
	Kind    scheduler.ListKind
	Version uint32
	Workers []gateway.Worker
}

// A State is the list as last understood. It is pure; the zero value but for Cluster is ready.
type State struct {
	Cluster string
	Version string
	number  uint64 // of Version, where versions are numbers
	known   map[string]gateway.Worker
	news    uint32
}

// Apply takes an update in. On an error nothing has changed. Nil news means that nothing is new.
func (s *State) Apply(u Update) (*WatchEvent, error) {
	delta := u.TypeURL == TypeEndpoint
	version := u.VersionInfo
	if delta {
		version = u.SystemVersionInfo
	} else if u.TypeURL != TypeAssignment {
		return nil, fmt.Errorf("typeUrl: %q is neither of assignments nor of endpoints", u.TypeURL)
	}
	if version == "" {
		return nil, fmt.Errorf("versionInfo: empty")
	}
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		number = 0 // opaque, as xDS allows: only equality tells
	}
	if version == s.Version || number > 0 && number < s.number {
		return nil, nil
	}
	next := map[string]gateway.Worker{}
	var news WatchEvent
	if delta {
		if s.known == nil {
			return nil, fmt.Errorf("resources: a delta before any whole list")
		}
		news.Kind = scheduler.ListDelta
		news.Workers, err = s.delta(u, next)
	} else {
		news.Kind = scheduler.FullList
		news.Workers, err = s.whole(u, next)
	}
	if err != nil {
		return nil, err
	}
	s.news++
	news.Version = s.news
	s.known, s.Version, s.number = next, version, number
	return &news, nil
}

func (s *State) whole(u Update, next map[string]gateway.Worker) ([]gateway.Worker, error) {
	if len(u.Resources) != 1 {
		return nil, fmt.Errorf("resources: %d, want the one of the cluster", len(u.Resources))
	}
	l, err := ParseAssignment(u.Resources[0], s.Cluster)
	if err != nil {
		return nil, fmt.Errorf("resources[0].%w", err)
	}
	for _, w := range l {
		next[w.Name] = w
	}
	return l, nil
}

func (s *State) delta(u Update, next map[string]gateway.Worker) ([]gateway.Worker, error) {
	for name, w := range s.known {
		next[name] = w
	}
	var l []gateway.Worker
	for i, raw := range u.Resources {
		var r Resource
		var e Endpoint
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, fmt.Errorf("resources[%d]: %w", i, err)
		}
		if err := json.Unmarshal(r.Resource, &e); err != nil {
			return nil, fmt.Errorf("resources[%d].resource: %w", i, err)
		}
		w, err := e.worker("")
		if err != nil {
			return nil, fmt.Errorf("resources[%d].resource.%w", i, err)
		}
		if r.Name != w.Name {
			return nil, fmt.Errorf("resources[%d].name: %q, its endpoint is %q", i, r.Name, w.Name)
		}
		next[w.Name] = w
		l = append(l, w)
	}
	for i, name := range u.RemovedResources {
		w, ok := next[name]
		if !ok {
			continue // xDS: removing what is not known is no error
		}
		if slices.ContainsFunc(l, func(o gateway.Worker) bool { return o.Name == name }) {
			return nil, fmt.Errorf("removedResources[%d]: %q is changed by the same update", i, name)
		}
		delete(next, name)
		w.State = scheduler.Gone
		l = append(l, w)
	}
	all := make([]gateway.Worker, 0, len(next))
	for _, w := range next {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b gateway.Worker) int { return strings.Compare(a.Name, b.Name) })
	return l, distinct(all)
}

// Reconnected says that a new stream begins: xDS versions are compared only within one, or a server that began to
// count anew would never be heard again.
func (s *State) Reconnected() { s.number = 0 }

// Workers returns the list as it stands, by name.
func (s *State) Workers() []gateway.Worker {
	l := make([]gateway.Worker, 0, len(s.known))
	for _, w := range s.known {
		l = append(l, w)
	}
	slices.SortFunc(l, func(a, b gateway.Worker) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// Backoff returns how long to wait after so many failures in a row: twice as long each time from least to most,
// and from half of it to all of it by the draw in [0, 1), so that many controllers do not come back in step.
func Backoff(failures int, least, most time.Duration, draw float64) time.Duration {
	d := least
	for i := 1; i < failures && d < most; i++ {
		d *= 2
	}
	return time.Duration(float64(min(d, most)) * (0.5 + draw/2))
}

// Difference returns the resources of a delta from one list to another.
func Difference(from, to []gateway.Worker, version string) (changed []json.RawMessage, removed []string, err error) {
	old := map[string]gateway.Worker{}
	for _, w := range from {
		old[w.Name] = w
	}
	for _, w := range to {
		was, known := old[w.Name]
		delete(old, w.Name)
		if known && was == w {
			continue
		}
		e, err := endpoint(w)
		if err != nil {
			return nil, nil, err
		}
		e.Type = TypeEndpoint
		raw, err := json.Marshal(e)
		if err != nil {
			return nil, nil, err
		}
		line, err := json.Marshal(Resource{Name: w.Name, Version: version, Resource: raw})
		if err != nil {
			return nil, nil, err
		}
		changed = append(changed, line)
	}
	for _, w := range from {
		if _, gone := old[w.Name]; gone {
			removed = append(removed, w.Name)
		}
	}
	return changed, removed, nil
}
