// Package wire is the protocol between the registry, its operators and its controllers: JSON in signed messages
// (Standard Webhooks) over HTTP/1.1. It holds the forms of messages and no behaviour; packages client and service
// speak it.
//
// Operators send commands and queries. Controllers poll for aliases in the form of xDS's REST discovery: a long
// poll that confirms the version held (ACK), or says why the last response was rejected (NACK).
//
// The JSON keys in the tags are the protocol, also where they differ from the names of the fields.
package wire

import (
	"encoding/json"
	"time"

	"kitehub/internal/registry"
)

// The paths of requests; the method is always POST.
const (
	CommandPath   = "/registry/v1/command"  // operators: Command to Answer
	QueryPath     = "/registry/v1/query"    // any caller: Query to Answer
	DiscoveryPath = "/v3/discovery:aliases" // controllers: Request to Response
)

// TypeAlias is the type URL of the resources of discovery.
const TypeAlias = "type.googleapis.com/kitehub.registry.v1.Alias"

// A Command of an operator: exactly one of the pointers is set. The id of its message is its idempotency key.
type Command struct {
	Push     *registry.Push     `json:"push,omitempty"`
	Promote  *registry.Promote  `json:"promote,omitempty"`
	Rollback *registry.Rollback `json:"rollback,omitempty"`
	Condemn  *registry.Condemn  `json:"condemn,omitempty"`
	Policy   *registry.Policy   `json:"policy,omitempty"`
	Collect  *registry.Collect  `json:"collect,omitempty"`
	// WaitMS is how long the answer may wait for the end of the migration, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// A Query changes nothing.
type Query struct {
	// Kind is "list" (of models and lease holders), "history", "move" (status of a migration), "watch" (for a newer
	// epoch) or "export" (of the state).
	Kind      string `json:"what"`
	Model     string `json:"model,omitempty"`   // list, history: of this model alone
	Migration uint64 `json:"move,omitempty"`    // move: its id
	Since     uint64 `json:"since,omitempty"`   // watch: the epoch that is known
	WaitMS    int64  `json:"wait_ms,omitempty"` // move, watch: how long to wait, in milliseconds
}

// An Response to a command or a query. Only the fields that belong to it are set.
type Response struct {
	Migration uint64 `json:"move,omitempty"`   // that the command started; 0: none
	Status    string `json:"status,omitempty"` // of the migration: see registry.State.Status
	Reason    string `json:"why,omitempty"`    // the migration was aborted
	Replayed  bool   `json:"again,omitempty"`  // the key was known: nothing was done again

	Collected      []Collected       `json:"collected,omitempty"`
	Epoch          uint64            `json:"epoch,omitempty"`
	ConfirmedEpoch uint64            `json:"confirmed,omitempty"` // epoch: see registry.State.Confirmed
	Holders        map[string]uint64 `json:"holders,omitempty"`   // epoch that each lease holder confirmed
	Models         []json.RawMessage `json:"models,omitempty"`    // each a registry.Model
	History        []HistoryEntry    `json:"history,omitempty"`   // oldest first
	Targets        []Alias           `json:"targets,omitempty"`   // changed since the epoch of the query
	State          json.RawMessage   `json:"state,omitempty"`     // a registry.State
}

// Collected is a version that was removed.
type Collected struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	Digest  string `json:"Digest"`
}

// A HistoryEntry says who did what, when and why. At is by the registry's wall clock as it is set now.
type HistoryEntry struct {
	At     time.Time `json:"At"`
	By     string    `json:"By"`
	Action string    `json:"What"`
	Reason string    `json:"Why"`
}

// Node says which controller sends a request.
type Node struct {
	ID string `json:"id"`
}

// ErrorDetail says why a response was rejected. Code is one of google.rpc.Code.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// A DiscoveryRequest of a controller. It renews the controller's lease, unless it has an ErrorDetail.
type DiscoveryRequest struct {
	// VersionInfo is the epoch that the controller confirms, in decimal: it hands out no answer under an older one
	// any more. "" is 0.
	VersionInfo string `json:"version_info"`
	Node        Node   `json:"node"`
	TypeURL     string `json:"type_url"`
	// ResponseNonce is that of the last response; "": everything is to be sent, as to a controller that just started.
	ResponseNonce string        `json:"response_nonce,omitempty"`
	ErrorDetail   *ErrorDetail  `json:"error_detail,omitempty"` // why the last response was rejected; nil: it was not
	CopiesReady   []CopiesReady `json:"stands,omitempty"`       // news since the last request
	CallsEnded    []CallsEnded  `json:"ended,omitempty"`        // since the last request
	// VersionsInUse are the versions under which calls run although their alias does not name them any more.
	VersionsInUse []registry.VersionRef `json:"uses,omitempty"`
	Staging       []Stage               `json:"staging,omitempty"` // as the last response had it
}

// CopiesReady is the number of ready copies of a version at a worker, as the worker said.
type CopiesReady struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Worker  string `json:"worker"`
	Copies  int    `json:"copies"`
}

// CallsEnded counts calls of a version.
type CallsEnded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Calls   int    `json:"calls"`
	Errors  int    `json:"errors"` // how many of the calls failed
}

// A DiscoveryResponse to a controller.
type DiscoveryResponse struct {
	VersionInfo string   `json:"version_info"` // epoch, in decimal
	TypeURL     string   `json:"type_url"`
	Nonce       string   `json:"nonce"`
	Since       uint64   `json:"since,omitempty"`  // Resources are the changes since this epoch; 0: they are complete
	Resources   []Alias  `json:"resources"`        // sorted by model and alias
	LeaseMS     float64  `json:"lease_ms"`         // milliseconds from when the request was sent
	SettleMS    float64  `json:"settle_ms"`        // milliseconds that calls under superseded targets may go on
	Condemned   []string `json:"barred,omitempty"` // every condemned digest
	AllowStale  []string `json:"stale,omitempty"`  // every model that permits answers without a lease
	Stage       []Stage  `json:"stage,omitempty"`  // all that this controller is to have loaded
}

// An Alias with the version that it names; "": none.
type Alias struct {
	Type     string `json:"@type"`
	Model    string `json:"model"`
	Alias    string `json:"alias"`
	Version  string `json:"version"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

// A Stage is a version of which so many copies are to become ready, for the migration of an alias.
type Stage struct {
	Model   string `json:"model"`
	Alias   string `json:"alias"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Copies  int    `json:"copies"`
}
