// Package wire defines the protocol between the registry, its operators and its controllers: JSON
// in signed messages (Standard Webhooks) over HTTP/1.1. It has the types of the messages and no
// behaviour; packages client and service implement the protocol.
//
// Operators send commands and queries. Controllers poll for aliases in the form of the REST
// discovery of xDS: a long poll either confirms the version of the last response (ACK) or says why
// that response was rejected (NACK).
//
// The JSON keys in the tags are the protocol, also where they differ from the names of the fields.
package wire

import (
	"encoding/json"
	"time"

	"kitehub/internal/registry"
)

// The paths of requests. The method is always POST.
const (
	CommandPath   = "/registry/v1/command"  // operators: Command to Response
	QueryPath     = "/registry/v1/query"    // any client: Query to Response
	DiscoveryPath = "/v3/discovery:aliases" // controllers: DiscoveryRequest to DiscoveryResponse
)

// TypeAlias is the type URL of the resources of discovery.
const TypeAlias = "type.googleapis.com/kitehub.registry.v1.Alias"

// A Command of an operator. Exactly one of the pointers is set. The ID of the message is the
// idempotency key of the command.
type Command struct {
	Push     *registry.Push     `json:"push,omitempty"`
	Promote  *registry.Promote  `json:"promote,omitempty"`
	Rollback *registry.Rollback `json:"rollback,omitempty"`
	Condemn  *registry.Condemn  `json:"condemn,omitempty"`
	Policy   *registry.Policy   `json:"policy,omitempty"`
	Collect  *registry.Collect  `json:"collect,omitempty"`
	// WaitMS is how long the response may wait for the end of the migration, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// A Query of the registry, which changes nothing.
type Query struct {
	// Kind is "list" (models and lease holders), "history", "move" (status of a migration), "watch"
	// (wait for a newer epoch) or "export" (the complete state).
	Kind      string `json:"what"`
	Model     string `json:"model,omitempty"`   // list, history: only this model
	Migration uint64 `json:"move,omitempty"`    // move: the migration
	Since     uint64 `json:"since,omitempty"`   // watch: the epoch that the client knows
	WaitMS    int64  `json:"wait_ms,omitempty"` // move, watch: longest wait in milliseconds
}

// A Response to a command or a query. Only the fields that belong to that command or query are set.
type Response struct {
	Migration uint64 `json:"move,omitempty"`   // started by the command; 0 if none
	Status    string `json:"status,omitempty"` // of the migration: see registry.State.Status
	Reason    string `json:"why,omitempty"`    // of the status: see registry.State.Status
	Replayed  bool   `json:"again,omitempty"`  // the key was known, and nothing was executed again

	Collected      []Collected       `json:"collected,omitempty"`
	Epoch          uint64            `json:"epoch,omitempty"`
	ConfirmedEpoch uint64            `json:"confirmed,omitempty"` // see registry.State.ConfirmedEpoch
	Holders        map[string]uint64 `json:"holders,omitempty"`   // confirmed epoch by lease holder
	// WithoutLease has the controllers that hold no lease, with how long they may still answer by
	// the policy stale, in milliseconds.
	WithoutLease map[string]int64  `json:"without_lease,omitempty"`
	Models       []json.RawMessage `json:"models,omitempty"`  // each is a registry.Model
	History      []HistoryEntry    `json:"history,omitempty"` // oldest first
	Targets      []Alias           `json:"targets,omitempty"` // changed since the queried epoch
	State        json.RawMessage   `json:"state,omitempty"`   // a registry.State
}

// Collected identifies a version that was removed.
type Collected struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	Digest  string `json:"Digest"`
}

// A HistoryEntry records who did what, when and why. At is in terms of the registry's current wall
// clock.
type HistoryEntry struct {
	At     time.Time `json:"At"`
	By     string    `json:"By"`
	Action string    `json:"What"`
	Reason string    `json:"Why"`
}

// Node identifies the controller that sends a request.
type Node struct {
	ID string `json:"id"`
}

// ErrorDetail says why a response was rejected. Code is a google.rpc.Code.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// A DiscoveryRequest of a controller. It renews the lease of the controller unless it has an
// ErrorDetail.
type DiscoveryRequest struct {
	// VersionInfo is the epoch that the controller confirms, in decimal: the controller no longer
	// returns answers under an older epoch. "" means 0.
	VersionInfo string `json:"version_info"`
	Node        Node   `json:"node"`
	TypeURL     string `json:"type_url"`
	// ResponseNonce is the nonce of the last response. If it is empty, the registry sends
	// everything, as to a controller that has just started.
	ResponseNonce string `json:"response_nonce,omitempty"`
	// ErrorDetail is why the last response was rejected, if it was.
	ErrorDetail *ErrorDetail  `json:"error_detail,omitempty"`
	CopiesReady []CopiesReady `json:"stands,omitempty"` // changes since the last request
	CallsEnded  []CallsEnded  `json:"ended,omitempty"`  // since the last request
	// VersionsInUse are the versions under which calls run although their alias no longer names
	// them.
	VersionsInUse []registry.VersionRef `json:"uses,omitempty"`
	Staging       []Stage               `json:"staging,omitempty"` // as in the last response
	// EndsStale says that the controller ends answers without a lease StaleMS after the lease. Only
	// such a controller is told the models that permit them.
	EndsStale bool `json:"ends_stale,omitempty"`
}

// CopiesReady is the number of ready copies of a version at a worker, as reported by the worker.
type CopiesReady struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Worker  string `json:"worker"`
	Copies  int    `json:"copies"`
}

// CallsEnded counts the ended calls of a version.
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
	Since       uint64   `json:"since,omitempty"`  // epoch since which Resources changed; 0: complete
	Resources   []Alias  `json:"resources"`        // sorted by model and alias
	LeaseMS     float64  `json:"lease_ms"`         // milliseconds from when the request was sent
	SettleMS    float64  `json:"settle_ms"`        // milliseconds; see registry.Settings.SettleTimeout
	Condemned   []string `json:"barred,omitempty"` // every condemned digest
	AllowStale  []string `json:"stale,omitempty"`  // every model that permits answers without a lease
	// StaleMS is how long after the lease AllowStale permits answers, in milliseconds; if it is 0,
	// not at all.
	StaleMS float64 `json:"stale_ms,omitempty"`
	Stage   []Stage `json:"stage,omitempty"` // every version this controller is to have loaded
}

// An Alias with the version that it names; Version is empty if it names none.
type Alias struct {
	Type     string `json:"@type"`
	Model    string `json:"model"`
	Alias    string `json:"alias"`
	Version  string `json:"version"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

// A Stage is a version of which a number of copies must become ready for the migration of an alias.
type Stage struct {
	Model   string `json:"model"`
	Alias   string `json:"alias"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Copies  int    `json:"copies"`
}
