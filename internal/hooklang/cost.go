package hooklang

import (
	"fmt"
	"math"
)

// assumedLength is the assumed length of lists, maps and ranges that are not known before a run.
const assumedLength = 100

// Cost is an estimate of what a handler takes at most, in instructions. Ranges between literals are counted;
// lists, maps and other ranges are assumed to have 100 entries.
type Cost struct {
	Point  string
	Pos    Pos
	Fuel   float64
	Reason string // the construct that contributes most to the estimate
}

// Costs returns the estimate of each handler, in the order of the text.
func (p *Program) Costs() []Cost { return p.costs }

// costEstimator estimates the cost of one handler, and notes the largest single reason for it.
type costEstimator struct {
	costs   map[*funcDecl]float64
	active  map[*funcDecl]bool
	reason  string
	largest float64
}

func estimate(s *script) (l []Cost) {
	for _, d := range s.funcs {
		if d.point == nil {
			continue
		}
		k := &costEstimator{costs: map[*funcDecl]float64{}, active: map[*funcDecl]bool{}}
		f := k.function(d)
		if k.reason == "" {
			k.reason = "its own length"
		}
		l = append(l, Cost{d.name, d.pos, f, k.reason})
	}
	return l
}

func (k *costEstimator) function(d *funcDecl) float64 {
	if f, ok := k.costs[d]; ok {
		return f
	}
	if k.active[d] {
		k.note(math.Inf(1), fmt.Sprintf("%s calls itself", d.name))
		return math.Inf(1)
	}
	k.active[d] = true
	f := k.block(d.body) + 2
	k.active[d] = false
	k.costs[d] = f
	return f
}

// note remembers a reason if it is the largest so far.
func (k *costEstimator) note(f float64, why string) {
	if f > k.largest {
		k.largest, k.reason = f, why
	}
}

func (k *costEstimator) block(b *block) (f float64) {
	for _, s := range b.stmts {
		f += k.stmt(s)
	}
	return f
}

func (k *costEstimator) stmt(s stmt) float64 {
	switch s := s.(type) {
	case *block:
		return k.block(s)
	case *letStmt:
		return k.expr(s.value) + 1
	case *setStmt:
		f := k.expr(s.value) + 3
		if s.index != nil {
			f += k.expr(s.index)
		}
		return f
	case *ifStmt:
		f := k.block(s.then)
		if s.otherwise != nil {
			f = max(f, k.stmt(s.otherwise))
		}
		return k.expr(s.cond) + 2 + f
	case *forStmt:
		return k.loop(s)
	case *matchStmt:
		return k.match(s)
	case *returnStmt:
		if s.value != nil {
			return k.expr(s.value) + 1
		}
	case *exprStmt:
		return k.expr(s.value) + 1
	}
	return 1
}

func (k *costEstimator) loop(s *forStmt) float64 {
	times := float64(assumedLength)
	cost := k.expr(s.from) + 2
	if s.to != nil {
		cost += k.expr(s.to)
		from, fromKnown := s.from.(*literalExpr)
		to, toKnown := s.to.(*literalExpr)
		if fromKnown && toKnown {
			times = max(0, float64(to.value.bits)-float64(from.value.bits))
		}
	}
	cost += times * (k.block(s.body) + 3)
	k.note(cost, fmt.Sprintf("the loop of line %d, taken %g times", s.pos.Line, times))
	return cost
}

// match adds up all values of cases, and the most expensive body.
func (k *costEstimator) match(s *matchStmt) float64 {
	cost := k.expr(s.value) + 1
	body := 0.0
	for _, c := range s.cases {
		for _, value := range c.values {
			cost += k.expr(value) + 3
		}
		body = max(body, k.block(c.body))
	}
	if s.otherwise != nil {
		body = max(body, k.block(s.otherwise))
	}
	return cost + body + 1
}

func (k *costEstimator) expr(e expr) float64 {
	f := 1.0
	each := func(l []expr) {
		for _, x := range l {
			f += k.expr(x)
		}
	}
	switch e := e.(type) {
	case *unaryExpr:
		f += k.expr(e.operand)
	case *binaryExpr:
		f += k.expr(e.left) + k.expr(e.right)
		if t := e.right.typ(); e.op == "in" && t.name == "list" || e.op == "+" && t.isCollection() {
			f += assumedLength
		}
	case *listExpr:
		each(e.items)
	case *mapExpr:
		each(e.keys)
		each(e.values)
	case *recordExpr:
		each(e.values)
	case *indexExpr:
		f += k.expr(e.collection) + k.expr(e.index)
	case *fieldExpr:
		f += k.expr(e.record)
	case *callExpr:
		return k.call(e)
	}
	return f
}

func (k *costEstimator) call(e *callExpr) float64 {
	cost := 1.0
	for i, arg := range e.args {
		if i == 0 || e.builtin == nil || !e.builtin.signatures[0].takesFunction {
			cost += k.expr(arg)
		}
	}
	if e.function != nil {
		called := k.function(e.function)
		if e.builtin != nil { // sort_by
			called *= assumedLength * math.Log2(assumedLength)
			k.note(called, fmt.Sprintf("the sort of line %d", e.pos.Line))
		}
		return cost + called
	}
	if e.builtin == nil || e.name == "len" || e.name == "get" || e.name == "push" {
		return cost
	}
	for _, arg := range e.args { // it reads lists and maps from end to end
		if t := arg.typ(); t != nil && t.isCollection() {
			cost += assumedLength
		}
	}
	return cost
}
