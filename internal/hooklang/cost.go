package hooklang

import (
	"fmt"
	"math"
)

// assumedLength is the length that the estimate assumes for lists, maps and ranges whose length is
// not known before a run.
const assumedLength = 100

// Cost estimates the most instructions that a run of a handler executes. The length of a range
// between literals is known; lists, maps and other ranges are assumed to have 100 entries.
type Cost struct {
	Point  string
	Pos    Pos
	Fuel   float64
	Reason string // the construct that contributes most to the estimate
}

// Costs returns the estimate for each handler, in source order.
func (p *Program) Costs() []Cost { return p.costs }

// costEstimator estimates the cost of one handler, and records the construct that contributes most
// to it.
type costEstimator struct {
	costs       map[*funcDecl]float64 // finished functions
	inProgress  map[*funcDecl]bool    // functions being estimated, to detect recursion
	reason      string
	largestCost float64
}

// estimateCosts estimates the cost of each handler of a checked script.
func estimateCosts(s *script) (costs []Cost) {
	for _, d := range s.funcs {
		if d.point == nil {
			continue
		}
		k := &costEstimator{costs: map[*funcDecl]float64{}, inProgress: map[*funcDecl]bool{}}
		cost := k.function(d)
		if k.reason == "" {
			k.reason = "its own length"
		}
		costs = append(costs, Cost{d.name, d.pos, cost, k.reason})
	}
	return costs
}

func (k *costEstimator) function(d *funcDecl) float64 {
	if cost, ok := k.costs[d]; ok {
		return cost
	}
	if k.inProgress[d] {
		k.noteReason(math.Inf(1), fmt.Sprintf("%s calls itself", d.name))
		return math.Inf(1)
	}
	k.inProgress[d] = true
	cost := k.block(d.body) + 2
	k.inProgress[d] = false
	k.costs[d] = cost
	return cost
}

// noteReason records a reason if its cost is the largest so far.
func (k *costEstimator) noteReason(cost float64, reason string) {
	if cost > k.largestCost {
		k.largestCost, k.reason = cost, reason
	}
}

func (k *costEstimator) block(b *block) (cost float64) {
	for _, s := range b.stmts {
		cost += k.stmt(s)
	}
	return cost
}

func (k *costEstimator) stmt(s stmt) float64 {
	switch s := s.(type) {
	case *block:
		return k.block(s)
	case *letStmt:
		return k.expr(s.value) + 1
	case *assignStmt:
		cost := k.expr(s.value) + 3
		if s.index != nil {
			cost += k.expr(s.index)
		}
		return cost
	case *ifStmt:
		cost := k.block(s.then)
		if s.otherwise != nil {
			cost = max(cost, k.stmt(s.otherwise))
		}
		return k.expr(s.cond) + 2 + cost
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
	iterations := float64(assumedLength)
	cost := k.expr(s.from) + 2
	if s.to != nil {
		cost += k.expr(s.to)
		from, fromKnown := s.from.(*literalExpr)
		to, toKnown := s.to.(*literalExpr)
		if fromKnown && toKnown {
			iterations = max(0, float64(to.value.bits)-float64(from.value.bits))
		}
	}
	if body := k.block(s.body) + 3; iterations > 0 { // the body may cost infinitely much
		cost += iterations * body
	}
	k.noteReason(cost, fmt.Sprintf("the loop of line %d, run %g times", s.pos.Line, iterations))
	return cost
}

// match adds the cost of comparing with every case and that of the most expensive body.
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
	cost := 1.0
	addAll := func(l []expr) {
		for _, x := range l {
			cost += k.expr(x)
		}
	}
	switch e := e.(type) {
	case *unaryExpr:
		cost += k.expr(e.operand)
	case *binaryExpr:
		cost += k.expr(e.left) + k.expr(e.right)
		if t := e.right.typ(); visitsEntries(e.op, t) {
			cost += assumedLength
		}
	case *listExpr:
		addAll(e.items)
	case *mapExpr:
		addAll(e.keys)
		addAll(e.values)
	case *recordExpr:
		addAll(e.values)
	case *indexExpr:
		cost += k.expr(e.collection) + k.expr(e.index)
	case *fieldExpr:
		cost += k.expr(e.record)
	case *callExpr:
		return k.call(e)
	}
	return cost
}

// visitsEntries reports whether a binary operator visits the entries of its right operand of type t.
func visitsEntries(operator string, t *Type) bool {
	switch operator {
	case "in":
		return t.name == "list"
	case "+", "==", "!=":
		return t.isCollection()
	}
	return false
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
			k.noteReason(called, fmt.Sprintf("the sort of line %d", e.pos.Line))
		}
		return cost + called
	}
	if e.builtin == nil || e.name == "len" || e.name == "get" || e.name == "push" {
		return cost
	}
	for _, arg := range e.args { // a builtin visits every entry of a list or map
		if t := arg.typ(); t != nil && t.isCollection() {
			cost += assumedLength
		}
	}
	return cost
}
