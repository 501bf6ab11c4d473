// Package simwire is what goes between the registry, its operators and its controllers: JSON in signed messages (Standard
// Webhooks) over HTTP/1.1. Aliases spread in the form of xDS's REST discovery: a long poll with the version held, a nonce,
// and an error detail where the last answer was not taken (ACK and NACK).
package wire

import (
	"encoding/json"
	"time"

	"kitehub/internal/registry"
)

// Paths, all POSTed.
const (
	CommandPath   = "/registry/v1/command"
	QueryPath     = "/registry/v1/query"
	DiscoveryPath = "/v3/discovery:aliases"
)

// TypeAlias is the type of what is discovered.
const TypeAlias = "type.googleapis.com/kitehub.registry.v1.Alias"

// A Command of an operator: one field is set, and how long to wait for its move. The message's id is its key.
type Command struct {
	Push     *registry.Push     `json:"push,omitempty"`
	Promote  *registry.Promote  `json:"promote,omitempty"`
	Rollback *registry.Rollback `json:"rollback,omitempty"`
	Condemn  *registry.Condemn  `json:"condemn,omitempty"`
	Policy   *registry.Policy   `json:"policy,omitempty"`
	Collect  *registry.Collect  `json:"collect,omitempty"`
	WaitMS   int64              `json:"wait_ms,omitempty"`
}

// A Query asks without changing anything. What is list, history, move, watch or export.
type Query struct {
	What      string `json:"what"`
	Model     string `json:"model,omitempty"`
	Migration uint64 `json:"move,omitempty"`
	Since     uint64 `json:"since,omitempty"`
	WaitMS    int64  `json:"wait_ms,omitempty"`
}

// An Answer to a command or a query.
type Answer struct {
	Migration uint64            `json:"move,omitempty"`
	Status    string            `json:"status,omitempty"` // staging, fenced, acknowledged, given up, forgotten
	Why       string            `json:"why,omitempty"`
	Replayed  bool              `json:"again,omitempty"` // the key was known: nothing was done anew
	Collected []Collected       `json:"collected,omitempty"`
	Epoch     uint64            `json:"epoch,omitempty"`
	Confirmed uint64            `json:"confirmed,omitempty"`
	Holders   map[string]uint64 `json:"holders,omitempty"`
	Models    []json.RawMessage `json:"models,omitempty"`
	History   []HistoryEntry    `json:"history,omitempty"`
	Targets   []Alias           `json:"targets,omitempty"`
	State     json.RawMessage   `json:"state,omitempty"`
}

// Collected is a version that was forgotten.
type Collected struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	Digest  string `json:"Digest"`
}

// A HistoryEntry of the history, by the registry's wall clock as it is now.
type HistoryEntry struct {
	At   time.Time `json:"At"`
	By   string    `json:"By"`
	What string    `json:"What"`
	Why  string    `json:"Why"`
}

// Node says who asks.
type Node struct {
	ID string `json:"id"`
}

// ErrorDetail says why an answer was not taken.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// A Request of a controller. VersionInfo is the epoch that it acts by: with it goes the word that no answer of an older
// one is being handed out.
type Request struct {
	VersionInfo   string                `json:"version_info"`
	Node          Node                  `json:"node"`
	TypeURL       string                `json:"type_url"`
	ResponseNonce string                `json:"response_nonce,omitempty"` // "": it has just come, and is to be told all
	ErrorDetail   *ErrorDetail          `json:"error_detail,omitempty"`
	CopiesReady   []CopiesReady         `json:"stands,omitempty"`
	CallsEnded    []CallsEnded          `json:"ended,omitempty"`
	Uses          []registry.VersionRef `json:"uses,omitempty"`
	Staging       []Stage               `json:"staging,omitempty"` // that it was told
}

// CopiesReady is a worker's copies of a version, as it answered.
type CopiesReady struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Worker  string `json:"worker"`
	Copies  int    `json:"copies"`
}

// CallsEnded counts calls of a version since the last word.
type CallsEnded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Calls   int    `json:"calls"`
	Errors  int    `json:"errors"`
}

// A Response to a controller.
type Response struct {
	VersionInfo string   `json:"version_info"`
	TypeURL     string   `json:"type_url"`
	Nonce       string   `json:"nonce"`
	Since       uint64   `json:"since,omitempty"` // 0: all aliases are here
	Resources   []Alias  `json:"resources"`
	LeaseMS     float64  `json:"lease_ms"`
	SettleMS    float64  `json:"settle_ms"`
	Condemned   []string `json:"barred,omitempty"` // digests that are condemned
	Stale       []string `json:"stale,omitempty"`
	Stage       []Stage  `json:"stage,omitempty"`
}

// An Alias as it stands. Version "" is none.
type Alias struct {
	Type     string `json:"@type"`
	Model    string `json:"model"`
	Alias    string `json:"alias"`
	Version  string `json:"version"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
}

// A Stage is a version of which copies are to stand.
type Stage struct {
	Model   string `json:"model"`
	Alias   string `json:"alias"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Copies  int    `json:"copies"`
}
