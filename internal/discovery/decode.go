package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// Limits on an update.
const (
	maxWorkers       = 10000
	maxUpdateBytes   = 16 << 20
	maxHostnameBytes = 253 // of a DNS name
)

// workerStates maps envoy.config.core.v3.HealthStatus. UNHEALTHY and TIMEOUT are results of health
// checks made by others. The scheduler makes its own health checks, so such workers count as ready.
var workerStates = map[string]scheduler.WorkerState{
	"":          scheduler.Ready,
	"UNKNOWN":   scheduler.Ready,
	"HEALTHY":   scheduler.Ready,
	"DEGRADED":  scheduler.Ready,
	"UNHEALTHY": scheduler.Ready,
	"TIMEOUT":   scheduler.Ready,
	"DRAINING":  scheduler.Draining,
}

// ParseAssignment parses a complete list. An empty cluster matches any. Errors name the invalid
// field and are sent to the server as the reason for the rejection.
func ParseAssignment(text []byte, cluster string) ([]gateway.Worker, error) {
	if len(text) > maxUpdateBytes {
		return nil, fmt.Errorf("list of %d bytes, maximum is %d", len(text), maxUpdateBytes)
	}
	var assignment Assignment
	if err := json.Unmarshal(text, &assignment); err != nil {
		return nil, fmt.Errorf("not a ClusterLoadAssignment: %w", err)
	}
	return assignment.workers(cluster)
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
	var workers []gateway.Worker
	for i, locality := range a.Endpoints {
		for j, endpoint := range locality.LbEndpoints {
			w, err := endpoint.worker(locality.Locality.Zone)
			if err != nil {
				return nil, fmt.Errorf("endpoints[%d].lbEndpoints[%d].%w", i, j, err)
			}
			workers = append(workers, w)
		}
	}
	return workers, checkUnique(workers)
}

// checkUnique returns an error if two workers have the same name or the same address, as one of
// them would receive the other's calls.
func checkUnique(workers []gateway.Worker) error {
	if len(workers) > maxWorkers {
		return fmt.Errorf("%d workers, maximum is %d", len(workers), maxWorkers)
	}
	names := map[string]bool{}
	nameOf := map[string]string{} // by network and address
	for _, w := range workers {
		if names[w.Name] {
			return fmt.Errorf("hostname: duplicate %q", w.Name)
		}
		names[w.Name] = true
		address := w.Network + w.Addr
		if other, taken := nameOf[address]; taken && w.State != scheduler.Removed {
			return fmt.Errorf("address: %s is used by both %q and %q", w.Addr, other, w.Name)
		}
		nameOf[address] = w.Name
	}
	return nil
}

// worker converts an endpoint. zone is the zone of its locality. If that is empty, the zone is
// taken from the endpoint's metadata.
func (e *Endpoint) worker(zone string) (gateway.Worker, error) {
	meta := e.Metadata.FilterMetadata.Kitehub
	w := gateway.Worker{
		Name:  e.Endpoint.Hostname,
		Zone:  zone,
		Group: meta.Group,
		Kind:  meta.Kind,
		Size:  float64(e.LoadBalancingWeight),
	}
	if zone == "" {
		w.Zone = meta.Zone
	}
	if w.Name == "" || len(w.Name) > maxHostnameBytes {
		return w, fmt.Errorf("endpoint.hostname: empty or over %d bytes", maxHostnameBytes)
	}
	var err error
	if w.Network, w.Addr, err = e.address(); err != nil {
		return w, err
	}
	var known bool
	if w.State, known = workerStates[e.HealthStatus]; !known {
		return w, fmt.Errorf("healthStatus: %q of %q is unknown", e.HealthStatus, w.Name)
	}
	if meta.Started != "" {
		started, err := time.Parse(time.RFC3339Nano, meta.Started)
		if err != nil {
			return w, fmt.Errorf("metadata.filterMetadata.kitehub.started: of %q: %w", w.Name, err)
		}
		w.Started = started
	}
	return w, nil
}

// address returns the network and address of an endpoint in the form expected by net.Dial.
func (e *Endpoint) address() (network, addr string, err error) {
	name := e.Endpoint.Hostname
	socket := e.Endpoint.Address.SocketAddress
	pipe := e.Endpoint.Address.Pipe
	switch {
	case socket != nil && pipe != nil:
		return "", "", fmt.Errorf("endpoint.address: of %q: both a socket and a pipe", name)
	case socket != nil:
		if socket.PortValue == 0 || socket.PortValue > 65535 {
			return "", "", fmt.Errorf("endpoint.address.socketAddress.portValue: %d of %q is out of range",
				socket.PortValue, name)
		}
		if net.ParseIP(socket.Address) == nil {
			return "", "", fmt.Errorf("endpoint.address.socketAddress.address: %q of %q is not an IP address",
				socket.Address, name)
		}
		return "tcp", net.JoinHostPort(socket.Address, strconv.Itoa(int(socket.PortValue))), nil
	case pipe != nil && pipe.Path != "":
		return "unix", pipe.Path, nil
	}
	return "", "", fmt.Errorf("endpoint.address: %q has neither a socket nor a pipe", name)
}
