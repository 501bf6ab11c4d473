package discovery

import "encoding/json"

// Type URLs of the supported resources.
const (
	TypeAssignment = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	TypeEndpoint   = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
)

// EndpointsPath is the path on which a server responds to long polls for endpoints, in the REST
// form of xDS. The body of a response is an Update.
const EndpointsPath = "/v3/discovery:endpoints"

// An Assignment is a ClusterLoadAssignment with the fields that are used. Unknown fields are
// ignored, as xDS requires.
type Assignment struct {
	Type        string              `json:"@type,omitempty"`
	ClusterName string              `json:"clusterName"`
	Endpoints   []LocalityEndpoints `json:"endpoints"`
}

// LocalityEndpoints is a LocalityLbEndpoints: the endpoints of one zone.
type LocalityEndpoints struct {
	Locality    Locality   `json:"locality"`
	LbEndpoints []Endpoint `json:"lbEndpoints"`
}

// A Locality is a core.v3.Locality.
type Locality struct {
	Zone string `json:"zone,omitempty"`
}

// An Endpoint is an LbEndpoint. Hostname is the worker's stable name, and LoadBalancingWeight is
// its size.
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
			Kitehub Metadata `json:"kitehub"`
		} `json:"filterMetadata"`
	} `json:"metadata"`
}

// A SocketAddress is a core.v3.SocketAddress.
type SocketAddress struct {
	Address   string `json:"address"` // an IP address
	PortValue uint32 `json:"portValue"`
}

// A Pipe is a core.v3.Pipe: a Unix socket.
type Pipe struct {
	Path string `json:"path"`
}

// Metadata is the metadata that kitehub adds to an endpoint, under "kitehub".
type Metadata struct {
	Group   string `json:"group,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Zone    string `json:"zone,omitempty"`    // for deltas, whose endpoints have no locality
	Started string `json:"started,omitempty"` // when the worker's process started, RFC 3339
}

// An Update is a DiscoveryResponse with a complete list or a DeltaDiscoveryResponse.
type Update struct {
	// VersionInfo is the version of a complete list. SystemVersionInfo is that of a delta.
	VersionInfo       string `json:"versionInfo,omitempty"`
	SystemVersionInfo string `json:"systemVersionInfo,omitempty"`
	// TypeURL is TypeAssignment for a complete list and TypeEndpoint for a delta.
	TypeURL string `json:"typeUrl"`
	Nonce   string `json:"nonce"`
	// Resources holds the single Assignment of a complete list, or each Resource that a delta
	// changes.
	Resources []json.RawMessage `json:"resources,omitempty"`
	// RemovedResources holds the names of the workers that a delta removes.
	RemovedResources []string `json:"removedResources,omitempty"`
}

// A Resource is one changed endpoint of a delta.
type Resource struct {
	Name     string          `json:"name"`
	Version  string          `json:"version"`
	Resource json.RawMessage `json:"resource"` // an Endpoint
}

// A Request is a DiscoveryRequest or a DeltaDiscoveryRequest. It requests the changes after
// VersionInfo, and accepts or rejects the update with the nonce ResponseNonce: VersionInfo is that
// of the update if it is accepted, and the previous one, with the reason in ErrorDetail, if it is
// rejected.
type Request struct {
	VersionInfo   string       `json:"versionInfo,omitempty"`
	Node          Node         `json:"node"`
	ResourceNames []string     `json:"resourceNames,omitempty"`
	TypeURL       string       `json:"typeUrl"`
	ResponseNonce string       `json:"responseNonce,omitempty"`
	ErrorDetail   *ErrorDetail `json:"errorDetail,omitempty"`
}

// A Node identifies the sender of a request.
type Node struct {
	ID string `json:"id"`
}

// An ErrorDetail is a google.rpc.Status.
type ErrorDetail struct {
	Code    int    `json:"code"` // a google.rpc.Code
	Message string `json:"message"`
}

// codeInvalidArgument is google.rpc.Code INVALID_ARGUMENT.
const codeInvalidArgument = 3
