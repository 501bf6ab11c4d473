package hooklang

import (
	"strings"
	"time"
)

// An Event is what a point hands to its handler: one of Call, Ended, Worker, Load, Level, Tick and Move.
type Event interface{ values() (*Record, []Value) }

type (
	// A Call has arrived and is decided upon next.
	Call struct {
		Function string        `json:"Function"`
		Tenant   string        `json:"Tenant"`
		Client   string        `json:"Client"`
		Class    string        `json:"Class"`
		Retry    bool          `json:"Retry"`
		Wait     time.Duration `json:"Wait"` // how long the client waits
		Size     int           `json:"Size"` // bytes of the body
		Open     int           `json:"Open"` // calls in hand
	}
	// Ended is a call that got its final answer.
	Ended struct {
		Function string        `json:"Function"`
		Tenant   string        `json:"Tenant"`
		Class    string        `json:"Class"`
		Worker   string        `json:"Worker"` // of the last attempt
		Answer   string        `json:"Answer"` // served, refused, failed, gone, left
		Took     time.Duration `json:"Took"`
		Attempts int           `json:"Attempts"`
		Late     bool          `json:"Late"`
	}
	// Worker has joined, or left (drains, or is gone from the list).
	Worker struct {
		Name  string `json:"Name"`
		Group string `json:"Group"`
		Zone  string `json:"Zone"`
		State string `json:"State"`
	}
	// Load is an order to load that was refused.
	Load struct {
		Function string        `json:"Function"`
		Worker   string        `json:"Worker"`
		Outcome  string        `json:"Outcome"`
		Took     time.Duration `json:"Took"`
	}
	// Level is a level of reduced service that changed.
	Level struct {
		Name   string `json:"Name"`
		Before string `json:"Before"`
		Why    string `json:"Why"`
	}
	// Tick is a timer's run.
	Tick struct {
		Count int64 `json:"Count"` // from 1
		Open  int   `json:"Open"`  // calls in hand
	}
	// Move is an alias that names another version.
	Move struct {
		Model    string `json:"Model"`
		Alias    string `json:"Alias"`
		Version  string `json:"Version"`
		Revision int64  `json:"Revision"`
	}
)

func newRecord(name string, fields ...any) *Record {
	r := &Record{Name: name}
	for i := 0; i < len(fields); i += 2 {
		r.Fields = append(r.Fields, Field{fields[i].(string), fields[i+1].(*Type)})
	}
	r.valueType = &Type{name: name, record: r}
	return r
}

var (
	recordCall   = newRecord("Call", "function", typeString, "tenant", typeString, "client", typeString, "class", typeString, "retry", typeBool, "wait", typeDuration, "size", typeInt, "open", typeInt)
	recordEnded  = newRecord("Ended", "function", typeString, "tenant", typeString, "class", typeString, "worker", typeString, "answer", typeString, "took", typeDuration, "attempts", typeInt, "late", typeBool)
	recordWorker = newRecord("Worker", "name", typeString, "group", typeString, "zone", typeString, "state", typeString)
	recordLoad   = newRecord("Load", "function", typeString, "worker", typeString, "outcome", typeString, "took", typeDuration)
	recordLevel  = newRecord("Level", "name", typeString, "before", typeString, "why", typeString)
	recordTick   = newRecord("Tick", "count", typeInt, "open", typeInt)
	recordMove   = newRecord("Move", "model", typeString, "alias", typeString, "version", typeString, "revision", typeInt)
	// Advice is what tests see of a run.
	recordAdvice = newRecord("Advice", "kind", typeString, "function", typeString, "worker", typeString, "tenant", typeString, "copies", typeInt, "factor", typeFloat, "life", typeDuration, "key", typeString, "text", typeString)
	noRecord     = newRecord("Nothing")
	records      = map[string]*Record{}
)

// A Point is where the host runs handlers.
type Point struct {
	Name    string
	Record  *Record
	Effects []string // what may be advised there, besides log
	Inline  bool     // the call waits for it: Limits are Inline, and state cannot be changed
}

var lastingEffects = []string{"keep_warm", "tenant_weight", "tenant_cap", "prefer", "avoid", "notify"}

// Points in the order of the manual.
var Points = []*Point{
	{Name: "arrive", Record: recordCall, Effects: []string{"refuse", "annotate"}, Inline: true},
	{Name: "ended", Record: recordEnded, Effects: lastingEffects},
	{Name: "joined", Record: recordWorker, Effects: lastingEffects},
	{Name: "left", Record: recordWorker, Effects: lastingEffects},
	{Name: "load_refused", Record: recordLoad, Effects: lastingEffects},
	{Name: "level", Record: recordLevel, Effects: lastingEffects},
	{Name: "timer", Record: recordTick, Effects: lastingEffects},
	{Name: "moved", Record: recordMove, Effects: lastingEffects},
}

var points = map[string]*Point{}

func init() {
	for _, r := range []*Record{recordCall, recordEnded, recordWorker, recordLoad, recordLevel, recordTick, recordMove, recordAdvice} {
		records[r.Name] = r
	}
	for _, p := range Points {
		points[p.Name] = p
	}
}

func pointNames() string {
	var l []string
	for _, p := range Points {
		l = append(l, p.Name)
	}
	return strings.Join(l, ", ")
}

// Advice is one thing that a hook advises. Which fields are set is the kind's matter.
type Advice struct {
	Kind     string // the name of the effect: keep_warm, tenant_weight, tenant_cap, prefer, avoid, refuse, annotate, notify, log
	Function string
	Worker   string
	Tenant   string
	Copies   int64
	Factor   float64       // weight, or share of the calls in hand
	For      time.Duration // how long it holds
	Key      string
	Text     string
}

func num(n int) Value { return Value{bits: int64(n)} }

func (e Call) values() (*Record, []Value) {
	return recordCall, []Value{strValue(e.Function), strValue(e.Tenant), strValue(e.Client), strValue(e.Class), boolValue(e.Retry), {bits: int64(e.Wait)}, num(e.Size), num(e.Open)}
}
func (e Ended) values() (*Record, []Value) {
	return recordEnded, []Value{strValue(e.Function), strValue(e.Tenant), strValue(e.Class), strValue(e.Worker), strValue(e.Answer), {bits: int64(e.Took)}, num(e.Attempts), boolValue(e.Late)}
}
func (e Worker) values() (*Record, []Value) {
	return recordWorker, []Value{strValue(e.Name), strValue(e.Group), strValue(e.Zone), strValue(e.State)}
}
func (e Load) values() (*Record, []Value) {
	return recordLoad, []Value{strValue(e.Function), strValue(e.Worker), strValue(e.Outcome), {bits: int64(e.Took)}}
}
func (e Level) values() (*Record, []Value) {
	return recordLevel, []Value{strValue(e.Name), strValue(e.Before), strValue(e.Why)}
}
func (e Tick) values() (*Record, []Value) { return recordTick, []Value{{bits: e.Count}, num(e.Open)} }
func (e Move) values() (*Record, []Value) {
	return recordMove, []Value{strValue(e.Model), strValue(e.Alias), strValue(e.Version), {bits: e.Revision}}
}

func (a Advice) value() Value {
	return Value{object: &object{items: []Value{strValue(a.Kind), strValue(a.Function), strValue(a.Worker), strValue(a.Tenant), {bits: a.Copies}, floatValue(a.Factor),
		{bits: int64(a.For)}, strValue(a.Key), strValue(a.Text)}}}
}
