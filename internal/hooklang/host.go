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

func rec(name string, fields ...any) *Record {
	r := &Record{Name: name}
	for i := 0; i < len(fields); i += 2 {
		r.Fields = append(r.Fields, Field{fields[i].(string), fields[i+1].(*Type)})
	}
	r.t = &Type{name: name, rec: r}
	return r
}

var (
	recCall = rec("Call", "function", tyStr, "tenant", tyStr, "client", tyStr, "class", tyStr, "retry", tyBool, "wait", tyDur, "size", tyInt, "open", tyInt)
	recEnd  = rec("Ended", "function", tyStr, "tenant", tyStr, "class", tyStr, "worker", tyStr, "answer", tyStr, "took", tyDur, "attempts", tyInt, "late", tyBool)
	recWork = rec("Worker", "name", tyStr, "group", tyStr, "zone", tyStr, "state", tyStr)
	recLoad = rec("Load", "function", tyStr, "worker", tyStr, "outcome", tyStr, "took", tyDur)
	recLev  = rec("Level", "name", tyStr, "before", tyStr, "why", tyStr)
	recTick = rec("Tick", "count", tyInt, "open", tyInt)
	recMove = rec("Move", "model", tyStr, "alias", tyStr, "version", tyStr, "revision", tyInt)
	// Advice is what tests see of a run.
	recAdvice = rec("Advice", "kind", tyStr, "function", tyStr, "worker", tyStr, "tenant", tyStr, "copies", tyInt, "factor", tyFloat, "life", tyDur, "key", tyStr, "text", tyStr)
	noRecord  = rec("Nothing")
	records   = map[string]*Record{}
)

// A Point is where the host runs handlers.
type Point struct {
	Name    string
	Record  *Record
	Effects []string // what may be advised there, besides log
	Inline  bool     // the call waits for it: Limits are Inline, and state cannot be changed
}

var standing = []string{"keep_warm", "tenant_weight", "tenant_cap", "prefer", "avoid", "notify"}

// Points in the order of the manual.
var Points = []*Point{
	{Name: "arrive", Record: recCall, Effects: []string{"refuse", "annotate"}, Inline: true},
	{Name: "ended", Record: recEnd, Effects: standing},
	{Name: "joined", Record: recWork, Effects: standing},
	{Name: "left", Record: recWork, Effects: standing},
	{Name: "load_refused", Record: recLoad, Effects: standing},
	{Name: "level", Record: recLev, Effects: standing},
	{Name: "timer", Record: recTick, Effects: standing},
	{Name: "moved", Record: recMove, Effects: standing},
}

var points = map[string]*Point{}

func init() {
	for _, r := range []*Record{recCall, recEnd, recWork, recLoad, recLev, recTick, recMove, recAdvice} {
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

func num(n int) Value { return Value{n: int64(n)} }

func (e Call) values() (*Record, []Value) {
	return recCall, []Value{strValue(e.Function), strValue(e.Tenant), strValue(e.Client), strValue(e.Class), boolValue(e.Retry), {n: int64(e.Wait)}, num(e.Size), num(e.Open)}
}
func (e Ended) values() (*Record, []Value) {
	return recEnd, []Value{strValue(e.Function), strValue(e.Tenant), strValue(e.Class), strValue(e.Worker), strValue(e.Answer), {n: int64(e.Took)}, num(e.Attempts), boolValue(e.Late)}
}
func (e Worker) values() (*Record, []Value) {
	return recWork, []Value{strValue(e.Name), strValue(e.Group), strValue(e.Zone), strValue(e.State)}
}
func (e Load) values() (*Record, []Value) {
	return recLoad, []Value{strValue(e.Function), strValue(e.Worker), strValue(e.Outcome), {n: int64(e.Took)}}
}
func (e Level) values() (*Record, []Value) {
	return recLev, []Value{strValue(e.Name), strValue(e.Before), strValue(e.Why)}
}
func (e Tick) values() (*Record, []Value) { return recTick, []Value{{n: e.Count}, num(e.Open)} }
func (e Move) values() (*Record, []Value) {
	return recMove, []Value{strValue(e.Model), strValue(e.Alias), strValue(e.Version), {n: e.Revision}}
}

func (a Advice) value() Value {
	return Value{o: &object{l: []Value{strValue(a.Kind), strValue(a.Function), strValue(a.Worker), strValue(a.Tenant), {n: a.Copies}, floatValue(a.Factor),
		{n: int64(a.For)}, strValue(a.Key), strValue(a.Text)}}}
}
