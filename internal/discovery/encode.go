package discovery

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// MarshalAssignment returns workers as the JSON of an Assignment, a complete list. Removed workers
// are left out.
func MarshalAssignment(cluster string, workers []gateway.Worker) ([]byte, error) {
	assignment := Assignment{Type: TypeAssignment, ClusterName: cluster, Endpoints: []LocalityEndpoints{}}
	for _, w := range workers {
		if w.State == scheduler.Removed {
			continue
		}
		endpoint, err := newEndpoint(w)
		if err != nil {
			return nil, err
		}
		locality := assignment.locality(w.Zone)
		locality.LbEndpoints = append(locality.LbEndpoints, endpoint)
	}
	return json.MarshalIndent(assignment, "", " ")
}

// locality returns the locality of a zone, adding it if there is none.
func (a *Assignment) locality(zone string) *LocalityEndpoints {
	i := slices.IndexFunc(a.Endpoints, func(l LocalityEndpoints) bool { return l.Locality.Zone == zone })
	if i < 0 {
		i = len(a.Endpoints)
		a.Endpoints = append(a.Endpoints, LocalityEndpoints{Locality: Locality{zone}})
	}
	return &a.Endpoints[i]
}

func newEndpoint(w gateway.Worker) (e Endpoint, err error) {
	e.Endpoint.Hostname = w.Name
	e.LoadBalancingWeight = uint32(w.Size)
	if w.Network == "unix" {
		e.Endpoint.Address.Pipe = &Pipe{w.Addr}
	} else if e.Endpoint.Address.SocketAddress, err = newSocketAddress(w.Addr); err != nil {
		return e, err
	}
	e.HealthStatus = "HEALTHY"
	if w.State == scheduler.Draining {
		e.HealthStatus = "DRAINING"
	}
	meta := &e.Metadata.FilterMetadata.Kitehub
	meta.Group = w.Group
	meta.Kind = w.Kind
	meta.Zone = w.Zone
	if !w.Started.IsZero() {
		meta.Started = w.Started.UTC().Format(time.RFC3339Nano)
	}
	return e, nil
}

func newSocketAddress(addr string) (*SocketAddress, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	return &SocketAddress{host, uint32(port)}, nil
}

// Delta returns the changed resources and the names of the removed ones of a delta between two
// lists. The changed resources get the given version.
func Delta(from, to []gateway.Worker, version string) (changed []json.RawMessage, removed []string, err error) {
	missing := map[string]gateway.Worker{} // in from, and not yet found in to
	for _, w := range from {
		missing[w.Name] = w
	}
	for _, w := range to {
		before, known := missing[w.Name]
		delete(missing, w.Name)
		if known && before == w {
			continue
		}
		resource, err := newResource(w, version)
		if err != nil {
			return nil, nil, err
		}
		changed = append(changed, resource)
	}
	for _, w := range from {
		if _, ok := missing[w.Name]; ok {
			removed = append(removed, w.Name)
		}
	}
	return changed, removed, nil
}

func newResource(w gateway.Worker, version string) (json.RawMessage, error) {
	endpoint, err := newEndpoint(w)
	if err != nil {
		return nil, err
	}
	endpoint.Type = TypeEndpoint
	text, err := json.Marshal(endpoint)
	if err != nil {
		return nil, err
	}
	return json.Marshal(Resource{Name: w.Name, Version: version, Resource: text})
}
