package hooklang

import (
	"strings"
	"time"
)

// Event is the argument of a point's handler: a Call, Ended, Worker, Load, Level, Tick or Move.
type Event interface {
	// values returns the record type of the event, and the values of its fields in declaration
	// order.
	values() (*Record, []Value)
}

type (
	// Call describes a call that has arrived and that the scheduler has not seen yet.
	Call struct {
		Function string        `json:"Function"`
		Tenant   string        `json:"Tenant"`
		Client   string        `json:"Client"`
		Class    string        `json:"Class"`
		Retry    bool          `json:"Retry"`
		Wait     time.Duration `json:"Wait"` // how long the client waits for the answer
		Size     int           `json:"Size"` // of the body, in bytes
		Open     int           `json:"Open"` // calls in flight
	}
	// Ended describes a call that has got its final answer.
	Ended struct {
		Function string        `json:"Function"`
		Tenant   string        `json:"Tenant"`
		Class    string        `json:"Class"`
		Worker   string        `json:"Worker"` // that the last attempt went to
		Answer   string        `json:"Answer"` // served, refused, failed, gone, left
		Took     time.Duration `json:"Took"`
		Attempts int           `json:"Attempts"`
		Late     bool          `json:"Late"`
	}
	// Worker describes a worker that has joined or left. A worker has left when it is draining or
	// is no longer in the endpoint list.
	Worker struct {
		Name  string `json:"Name"`
		Group string `json:"Group"`
		Zone  string `json:"Zone"`
		State string `json:"State"`
	}
	// Load describes a load order that a worker rejected.
	Load struct {
		Function string        `json:"Function"`
		Worker   string        `json:"Worker"`
		Outcome  string        `json:"Outcome"`
		Took     time.Duration `json:"Took"`
	}
	// Level describes a change of a level of degraded service.
	Level struct {
		Name   string `json:"Name"`
		Before string `json:"Before"`
		Why    string `json:"Why"`
	}
	// Tick describes one run of a timer.
	Tick struct {
		Count int64 `json:"Count"` // number of the run, from 1
		Open  int   `json:"Open"`  // calls in flight
	}
	// Move describes a change of a model alias to another version.
	Move struct {
		Model    string `json:"Model"`
		Alias    string `json:"Alias"`
		Version  string `json:"Version"`
		Revision int64  `json:"Revision"`
	}
)

func field(name string, t *Type) Field { return Field{name, t} }

// newRecord returns a record type. The values methods below list the field values in the same
// order.
func newRecord(name string, fields ...Field) *Record {
	r := &Record{Name: name, Fields: fields}
	r.valueType = &Type{name: name, record: r}
	return r
}

var (
	recordCall = newRecord("Call",
		field("function", typeString), field("tenant", typeString), field("client", typeString),
		field("class", typeString), field("retry", typeBool), field("wait", typeDuration),
		field("size", typeInt), field("open", typeInt))
	recordEnded = newRecord("Ended",
		field("function", typeString), field("tenant", typeString), field("class", typeString),
		field("worker", typeString), field("answer", typeString), field("took", typeDuration),
		field("attempts", typeInt), field("late", typeBool))
	recordWorker = newRecord("Worker",
		field("name", typeString), field("group", typeString), field("zone", typeString), field("state", typeString))
	recordLoad = newRecord("Load",
		field("function", typeString), field("worker", typeString), field("outcome", typeString),
		field("took", typeDuration))
	recordLevel = newRecord("Level",
		field("name", typeString), field("before", typeString), field("why", typeString))
	recordTick = newRecord("Tick", field("count", typeInt), field("open", typeInt))
	recordMove = newRecord("Move",
		field("model", typeString), field("alias", typeString), field("version", typeString), field("revision", typeInt))

	// recordAdvice is the type of the entries that a run expression in a test returns.
	recordAdvice = newRecord("Advice",
		field("kind", typeString), field("function", typeString), field("worker", typeString),
		field("tenant", typeString), field("copies", typeInt), field("factor", typeFloat),
		field("life", typeDuration), field("key", typeString), field("text", typeString))

	// emptyRecord is the event type of a handler whose point does not exist. With it the checker
	// can still check the handler's body.
	emptyRecord = newRecord("Nothing")

	// records maps the names of the record types to the types.
	records = map[string]*Record{}
)

// Point is a hook point: a kind of event for which a script can have a handler.
type Point struct {
	Name    string
	Record  *Record
	Effects []string // the kinds of advice that its handler may give besides log
	// Inline marks a point whose calls wait for the handler. The handler runs within
	// InlineLimits and cannot change state.
	Inline bool
}

// lastingEffects are the kinds of advice that do not apply to one call: they stay in force for a
// lifetime, or notify operators.
var lastingEffects = []string{"keep_warm", "tenant_weight", "tenant_cap", "prefer", "avoid", "notify"}

// Points lists all hook points in the order of docs/hooks.md.
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

// points maps the names of the points to the points.
var points = map[string]*Point{}

func init() {
	for _, r := range []*Record{
		recordCall, recordEnded, recordWorker, recordLoad, recordLevel, recordTick, recordMove, recordAdvice,
	} {
		records[r.Name] = r
	}
	for _, p := range Points {
		points[p.Name] = p
	}
}

// pointNames returns the names of all points, separated by commas, for error messages.
func pointNames() string {
	var names []string
	for _, p := range Points {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ")
}

// Advice is one piece of advice that a script gave by calling a builtin. Kind is the name of that
// builtin and determines which of the other fields are set.
type Advice struct {
	// Kind is keep_warm, tenant_weight, tenant_cap, prefer, avoid, refuse, annotate, notify or log.
	Kind     string
	Function string        // of keep_warm
	Worker   string        // of prefer and avoid
	Tenant   string        // of tenant_weight and tenant_cap
	Copies   int64         // of keep_warm
	Factor   float64       // weight of tenant_weight, or fraction of the calls in flight of tenant_cap
	Lifetime time.Duration // how long the advice stays in force
	Key      string        // of annotate; the target of notify
	Text     string        // of refuse, annotate, notify and log
}

func intValue(n int) Value { return Value{bits: int64(n)} }

func durationValue(d time.Duration) Value { return Value{bits: int64(d)} }

func (e Call) values() (*Record, []Value) {
	return recordCall, []Value{
		strValue(e.Function),
		strValue(e.Tenant),
		strValue(e.Client),
		strValue(e.Class),
		boolValue(e.Retry),
		durationValue(e.Wait),
		intValue(e.Size),
		intValue(e.Open),
	}
}

func (e Ended) values() (*Record, []Value) {
	return recordEnded, []Value{
		strValue(e.Function),
		strValue(e.Tenant),
		strValue(e.Class),
		strValue(e.Worker),
		strValue(e.Answer),
		durationValue(e.Took),
		intValue(e.Attempts),
		boolValue(e.Late),
	}
}

func (e Worker) values() (*Record, []Value) {
	return recordWorker, []Value{strValue(e.Name), strValue(e.Group), strValue(e.Zone), strValue(e.State)}
}

func (e Load) values() (*Record, []Value) {
	return recordLoad, []Value{strValue(e.Function), strValue(e.Worker), strValue(e.Outcome), durationValue(e.Took)}
}

func (e Level) values() (*Record, []Value) {
	return recordLevel, []Value{strValue(e.Name), strValue(e.Before), strValue(e.Why)}
}

func (e Tick) values() (*Record, []Value) {
	return recordTick, []Value{{bits: e.Count}, intValue(e.Open)}
}

func (e Move) values() (*Record, []Value) {
	return recordMove, []Value{strValue(e.Model), strValue(e.Alias), strValue(e.Version), {bits: e.Revision}}
}

// value converts the advice to a record of type recordAdvice.
func (a Advice) value() Value {
	return Value{object: &object{items: []Value{
		strValue(a.Kind),
		strValue(a.Function),
		strValue(a.Worker),
		strValue(a.Tenant),
		{bits: a.Copies},
		floatValue(a.Factor),
		durationValue(a.Lifetime),
		strValue(a.Key),
		strValue(a.Text),
	}}}
}
