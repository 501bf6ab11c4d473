package hooklang

import (
	"fmt"
	"math"
)

// assumed is how long a list or map is taken to be, of which nothing is known before it runs.
const assumed = 100

// A Cost is an estimate of what a handler takes at most, in instructions. Ranges between literals are counted; lists, maps
// and other ranges are taken to have 100 entries.
type Cost struct {
	Point string
	Pos   Pos
	Fuel  float64
	Why   string // what most of it is
}

// Costs returns the estimate of each handler, in the order of the text.
func (p *Program) Costs() []Cost { return p.costs }

type coster struct {
	done map[*funcDecl]float64
	open map[*funcDecl]bool
	why  string
	most float64
}

func estimate(s *script) (l []Cost) {
	for _, d := range s.funcs {
		if d.on == nil {
			continue
		}
		k := &coster{done: map[*funcDecl]float64{}, open: map[*funcDecl]bool{}}
		f := k.function(d)
		if k.why == "" {
			k.why = "its own length"
		}
		l = append(l, Cost{d.name, d.pos, f, k.why})
	}
	return l
}

func (k *coster) function(d *funcDecl) float64 {
	if f, ok := k.done[d]; ok {
		return f
	}
	if k.open[d] {
		k.note(math.Inf(1), fmt.Sprintf("%s calls itself", d.name))
		return math.Inf(1)
	}
	k.open[d] = true
	f := k.block(d.body) + 2
	k.open[d] = false
	k.done[d] = f
	return f
}

func (k *coster) note(f float64, why string) {
	if f > k.most {
		k.most, k.why = f, why
	}
}

func (k *coster) block(b *block) (f float64) {
	for _, s := range b.stmts {
		f += k.stmt(s)
	}
	return f
}

func (k *coster) stmt(s stmt) float64 {
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
		if s.els != nil {
			f = max(f, k.stmt(s.els))
		}
		return k.expr(s.cond) + 2 + f
	case *forStmt:
		n := float64(assumed)
		f := k.expr(s.from) + 2
		if s.to != nil {
			f += k.expr(s.to)
			a, ok := s.from.(*litExpr)
			b, ok2 := s.to.(*litExpr)
			if ok && ok2 {
				n = max(0, float64(b.v.n)-float64(a.v.n))
			}
		}
		f += n * (k.block(s.body) + 3)
		k.note(f, fmt.Sprintf("the loop of line %d, taken %g times", s.pos.Line, n))
		return f
	case *matchStmt:
		f, most := k.expr(s.value)+1, 0.0
		for _, c := range s.cases {
			for _, v := range c.values {
				f += k.expr(v) + 3
			}
			most = max(most, k.block(c.body))
		}
		if s.els != nil {
			most = max(most, k.block(s.els))
		}
		return f + most + 1
	case *returnStmt:
		if s.value != nil {
			return k.expr(s.value) + 1
		}
	case *exprStmt:
		return k.expr(s.value) + 1
	}
	return 1
}

func (k *coster) expr(e expr) float64 {
	f := 1.0
	each := func(l []expr) {
		for _, x := range l {
			f += k.expr(x)
		}
	}
	switch e := e.(type) {
	case *unaryExpr:
		f += k.expr(e.x)
	case *binExpr:
		f += k.expr(e.x) + k.expr(e.y)
		if t := e.y.typ(); e.op == "in" && t.name == "list" || e.op == "+" && t.box() {
			f += assumed
		}
	case *listExpr:
		each(e.items)
	case *mapExpr:
		each(e.keys)
		each(e.values)
	case *recExpr:
		each(e.values)
	case *indexExpr:
		f += k.expr(e.x) + k.expr(e.i)
	case *fieldExpr:
		f += k.expr(e.x)
	case *callExpr:
		for i, a := range e.args {
			if i == 0 || e.b == nil || !e.b.sigs[0].by {
				f += k.expr(a)
			}
		}
		if e.fn != nil {
			g := k.function(e.fn)
			if e.b != nil { // sort_by
				g *= assumed * math.Log2(assumed)
				k.note(g, fmt.Sprintf("the sort of line %d", e.pos.Line))
			}
			f += g
		} else if e.b != nil {
			for _, a := range e.args {
				if a.typ() != nil && a.typ().box() && e.name != "len" && e.name != "get" && e.name != "push" {
					f += assumed
				}
			}
		}
	}
	return f
}
