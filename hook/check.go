package hook

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

type variable struct {
	name string
	pos  Pos
	t    *Type
	ref  ref
	used bool
}

type checker struct {
	file   string
	s      *script
	bad    Problems
	funcs  map[string]*funcDecl
	points map[string]*funcDecl
	states map[string]*stateDecl
	scopes []map[string]*variable
	fn     *funcDecl
	test   bool
	consts bool // in a state's first value
	loops  int
	next   int // free slot
	end    Pos // of the scope that ends next
}

// Check parses a text and checks it. The script can be compiled if no problem is more than a warning.
func check(file, text string) (*script, Problems) {
	s, bad := parse(file, text)
	c := &checker{file: file, s: s, bad: bad, funcs: map[string]*funcDecl{}, points: map[string]*funcDecl{}, states: map[string]*stateDecl{}}
	if len(bad) == 0 || len(s.order) > 0 {
		c.script()
	}
	sort.SliceStable(c.bad, func(i, j int) bool {
		a, b := c.bad[i].Pos, c.bad[j].Pos
		return a.Line < b.Line || a.Line == b.Line && a.Col < b.Col
	})
	c.bad = slices.CompactFunc(c.bad, func(a, b *Problem) bool { return *a == *b })
	return s, c.bad
}

// Wrong tells whether one of the problems is more than a warning.
func (l Problems) Wrong() bool {
	return slices.ContainsFunc(l, func(p *Problem) bool { return !p.Warning })
}

func (c *checker) problem(pos Pos, format string, args ...any) {
	if len(c.bad) < maxProblems {
		text := strings.ReplaceAll(fmt.Sprintf(format, args...), " a int", " an int")
		c.bad = append(c.bad, &Problem{File: c.file, Pos: pos, Text: text})
	}
}

func (c *checker) warn(pos Pos, format string, args ...any) {
	if len(c.bad) < maxProblems {
		c.bad = append(c.bad, &Problem{File: c.file, Pos: pos, Text: fmt.Sprintf(format, args...), Warning: true})
	}
}

func (c *checker) typ(n *typeNode) *Type {
	switch n.name {
	case "list":
		if n.elem != nil {
			return listOf(c.typ(n.elem))
		}
	case "map":
		k := c.typ(n.key)
		if k != tyStr && k != tyInt && k != tyBad {
			c.problem(n.key.pos, "keys of a map are string or int, not %v", k)
			k = tyBad
		}
		return mapOf(k, c.typ(n.elem))
	}
	if t := scalars[n.name]; t != nil {
		return t
	}
	if r := records[n.name]; r != nil {
		return r.t
	}
	c.problem(n.pos, "there is no type %q", n.name)
	return tyBad
}

// free tells whether a name may be given to something of the script.
func (c *checker) free(pos Pos, name string) bool {
	what := ""
	switch {
	case builtins[name] != nil:
		what = "is the language's own"
	case records[name] != nil || scalars[name] != nil:
		what = "is a type"
	case c.funcs[name] != nil:
		what = fmt.Sprintf("is the function of line %d", c.funcs[name].pos.Line)
	case c.states[name] != nil:
		what = fmt.Sprintf("is the state of line %d", c.states[name].pos.Line)
	default:
		return true
	}
	c.problem(pos, "%s %s", name, what)
	return false
}

func (c *checker) script() {
	for _, d := range c.s.funcs {
		d.uses = map[string]Pos{}
		if d.on != nil {
			if old := c.points[d.name]; old != nil {
				c.problem(d.pos, "a second handler of %s: the first is in line %d", d.name, old.pos.Line)
			}
			c.points[d.name] = d
			d.types, d.ret = []*Type{d.on.Record.t}, tyVoid
			continue
		}
		if c.free(d.pos, d.name) {
			c.funcs[d.name] = d
		}
		if len(d.params) > 16 {
			c.problem(d.pos, "%d parameters, over 16", len(d.params))
		}
		for _, p := range d.params {
			d.types = append(d.types, c.typ(p.typ))
		}
		d.ret = tyVoid
		if d.result != nil {
			d.ret = c.typ(d.result)
		}
	}
	for i, d := range c.s.states {
		d.t, d.n = c.typ(d.typ), i
		if d.t.rec != nil || d.t.elem != nil && holdsRecord(d.t) {
			c.problem(d.typ.pos, "state holds no records of the host: keep the fields that matter")
		}
		c.consts = true
		if t := c.expr(d.init); !same(t, d.t) {
			c.problem(d.init.at(), "%s is a %v, not a %v", d.name, d.t, t)
		}
		c.consts = false
		if c.free(d.pos, d.name) {
			c.states[d.name] = d
		}
	}
	// Bounds of what a check may take, and of the tests that run before a script is loaded.
	if len(c.s.states) > maxStates {
		c.problem(c.s.states[maxStates].pos, "more than %d state variables", maxStates)
	}
	if len(c.s.funcs) > maxFuncs {
		c.problem(c.s.funcs[maxFuncs].pos, "more than %d functions", maxFuncs)
		return
	}
	if len(c.s.tests) > maxTests {
		c.problem(c.s.tests[maxTests].pos, "more than %d tests", maxTests)
		return
	}
	for _, d := range c.s.funcs {
		c.function(d)
	}
	names := map[string]Pos{}
	for _, d := range c.s.tests {
		if old, ok := names[d.name]; ok {
			c.problem(d.pos, "a second test %q: the first is in line %d", d.name, old.Line)
		}
		names[d.name] = d.pos
		d.fn = &funcDecl{pos: d.pos, name: "test " + d.name, body: d.body, end: d.body.end, ret: tyVoid, uses: map[string]Pos{}}
		c.test = true
		c.function(d.fn)
		c.test = false
	}
	for _, d := range c.s.funcs {
		if d.on != nil {
			c.reach(d)
		}
	}
	for _, d := range c.s.tests {
		for _, f := range reachable(d.fn) {
			for _, name := range sortedNames(f.uses) {
				c.problem(f.uses[name], "%s is reached from the test %q: a test looks at what run returns", name, d.name)
			}
		}
	}
}

func holdsRecord(t *Type) bool {
	return t.rec != nil || t.elem != nil && holdsRecord(t.elem)
}

func sortedNames(m map[string]Pos) []string {
	var l []string
	for n := range m {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}

func reachable(d *funcDecl) []*funcDecl {
	l := []*funcDecl{d}
	for i := 0; i < len(l); i++ {
		for _, f := range l[i].calls {
			if !slices.Contains(l, f) {
				l = append(l, f)
			}
		}
	}
	return l
}

// reach checks what a handler does, itself or by functions that it calls.
func (c *checker) reach(d *funcDecl) {
	for _, f := range reachable(d) {
		for _, name := range sortedNames(f.uses) {
			if name != "log" && !slices.Contains(d.on.Effects, name) {
				c.problem(f.uses[name], "%s cannot be advised at %s (on %s, line %d): there %v can", name, d.name, d.name, d.pos.Line, d.on.Effects)
			}
		}
		if d.on.Inline && f.writes != (Pos{}) {
			c.problem(f.writes, "state cannot be changed at %s (on %s, line %d), where many calls run at once: change it at ended", d.name, d.name, d.pos.Line)
		}
	}
}

func (c *checker) function(d *funcDecl) {
	c.fn, c.next, c.loops = d, 0, 0
	c.scopes = []map[string]*variable{{}}
	for i, p := range d.params {
		if v := c.declare(p.pos, p.name, d.types[i]); v != nil {
			v.used = true
		}
	}
	for _, v := range c.scopes[0] {
		d.vars = append(d.vars, varInfo{v.name, v.t, v.ref.n, d.pos, d.end})
	}
	sort.Slice(d.vars, func(i, j int) bool { return d.vars[i].slot < d.vars[j].slot })
	returns := c.block(d.body)
	if d.ret != tyVoid && !returns {
		c.problem(d.end, "%s ends without a return", d.name)
	}
	c.scopes = nil
}

func (c *checker) declare(pos Pos, name string, t *Type) *variable {
	v := &variable{name: name, pos: pos, t: t, ref: ref{n: c.next}, used: name == "_"}
	c.next++
	c.fn.slots = max(c.fn.slots, c.next)
	if c.next == maxSlots {
		c.problem(pos, "more than %d variables in one function", maxSlots)
	}
	if name == "_" {
		return v
	}
	if !c.free(pos, name) {
		return v
	}
	for _, s := range c.scopes {
		if old := s[name]; old != nil {
			c.problem(pos, "%s is the variable of line %d: choose another name", name, old.pos.Line)
			return v
		}
	}
	c.scopes[len(c.scopes)-1][name] = v
	return v
}

func (c *checker) push() { c.scopes = append(c.scopes, map[string]*variable{}) }

func (c *checker) pop() {
	top := c.scopes[len(c.scopes)-1]
	var l []*variable
	for _, v := range top {
		l = append(l, v)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].ref.n < l[j].ref.n })
	for _, v := range l {
		c.fn.vars = append(c.fn.vars, varInfo{v.name, v.t, v.ref.n, v.pos, c.end})
		if !v.used {
			c.warn(v.pos, "%s is never used", v.name)
		}
	}
	c.scopes = c.scopes[:len(c.scopes)-1]
}

func (c *checker) block(b *block) (ends bool) {
	c.push()
	from := c.next
	for i, s := range b.stmts {
		if c.stmt(s) {
			if ends = true; i+1 < len(b.stmts) {
				c.problem(b.stmts[i+1].at(), "this is never reached")
				break
			}
		}
	}
	c.next = from
	c.end = b.end
	c.pop()
	return ends
}

// stmt checks a statement and tells whether nothing behind it is reached.
func (c *checker) stmt(s stmt) bool {
	switch s := s.(type) {
	case *block:
		return c.block(s)
	case *letStmt:
		t := c.value(s.value)
		if s.typ != nil {
			if w := c.typ(s.typ); !same(w, t) {
				c.problem(s.value.at(), "%s is a %v, not a %v", s.name, w, t)
				t = w
			}
		}
		s.slot = c.declare(s.pos, s.name, t).ref.n
	case *setStmt:
		c.set(s)
	case *ifStmt:
		c.want(s.cond, tyBool, "a condition")
		a := c.block(s.then)
		return s.els != nil && c.stmt(s.els) && a
	case *forStmt:
		c.loop(s)
	case *matchStmt:
		t := c.value(s.value)
		if !t.ordered() && t != tyBool {
			c.problem(s.value.at(), "match looks at bool, int, float, duration and string, not at %v", t)
		}
		from := c.next
		s.slot = c.next
		c.next++
		c.fn.slots = max(c.fn.slots, c.next)
		ends, seen := s.els != nil, map[string]Pos{}
		for _, k := range s.cases {
			for _, v := range k.values {
				if w := c.value(v); !same(w, t) {
					c.problem(v.at(), "a case is a %v, not a %v", t, w)
				}
				if l, ok := v.(*litExpr); ok && l.t != tyBad {
					key := text(l.t, l.v)
					if old, ok := seen[key]; ok {
						c.problem(v.at(), "the case %s stands in line %d already", key, old.Line)
					}
					seen[key] = v.at()
				}
			}
			ends = c.block(k.body) && ends
		}
		if s.els != nil {
			ends = c.block(s.els) && ends
		}
		c.next = from
		return ends
	case *returnStmt:
		switch {
		case s.value == nil && c.fn.ret != tyVoid:
			c.problem(s.pos, "a %v is to be returned", c.fn.ret)
		case s.value != nil && c.fn.ret == tyVoid:
			c.value(s.value)
			c.problem(s.value.at(), "nothing is to be returned here")
		case s.value != nil:
			c.want(s.value, c.fn.ret, "the result")
		}
		return true
	case *leaveStmt:
		if c.loops == 0 {
			c.problem(s.pos, "%s outside a loop", s.word)
		}
		return true
	case *exprStmt:
		t := c.expr(s.value)
		if _, run := s.value.(*runExpr); t != tyVoid && t != tyBad && !run {
			c.problem(s.pos, "the %v is not used", t)
		}
		if k, ok := s.value.(*callExpr); ok && k.b != nil && k.name == "fail" {
			return true
		}
	}
	return false
}

func (c *checker) lookup(name string) (*Type, ref, bool) {
	for i := len(c.scopes) - 1; i >= 0; i-- {
		if v := c.scopes[i][name]; v != nil {
			v.used = true
			return v.t, v.ref, true
		}
	}
	if d := c.states[name]; d != nil && !c.consts {
		return d.t, ref{true, d.n}, true
	}
	return tyBad, ref{}, false
}

func (c *checker) target(pos Pos, name string) (*Type, ref) {
	used := map[string]bool{}
	for _, s := range c.scopes {
		if v := s[name]; v != nil {
			used[name] = v.used
		}
	}
	t, r, ok := c.lookup(name)
	if !ok {
		c.problem(pos, "there is no variable %q", name)
	}
	for _, s := range c.scopes { // to be set is not to be used
		if v := s[name]; v != nil {
			v.used = used[name]
		}
	}
	if r.state && c.fn.writes == (Pos{}) {
		c.fn.writes = pos
	}
	if r.state && c.test {
		c.problem(pos, "a test changes no state: handlers that it runs do")
	}
	return t, r
}

func (c *checker) set(s *setStmt) {
	t, r := c.target(s.pos, s.name)
	s.ref, s.t = r, t
	if s.index != nil {
		i := c.value(s.index)
		switch {
		case t == tyBad:
		case t.name == "list":
			if !same(i, tyInt) {
				c.problem(s.index.at(), "an index of a list is an int, not a %v", i)
			}
			t = t.elem
		case t.name == "map":
			if !same(i, t.key) {
				c.problem(s.index.at(), "a key of %s is a %v, not a %v", s.name, t.key, i)
			}
			t = t.elem
		default:
			c.problem(s.pos, "%s is a %v: only lists and maps have entries", s.name, t)
			t = tyBad
		}
	}
	v := c.value(s.value)
	if s.op != "" {
		if t.box() && s.op == "+" && t.name == "list" || t.ordered() && (s.op == "+" || t != tyStr) {
		} else {
			c.problem(s.pos, "a %v has no %s=", t, s.op)
			return
		}
	}
	if !same(t, v) {
		c.problem(s.value.at(), "%s wants a %v, not a %v", s.name, t, v)
	}
}

func (c *checker) loop(s *forStmt) {
	t := c.value(s.from)
	var key, elem *Type
	switch {
	case s.to != nil:
		elem = tyInt
		if !same(t, tyInt) {
			c.problem(s.from.at(), "a range runs over ints, not %v", t)
		}
		c.want(s.to, tyInt, "the end of a range")
	case t == tyBad:
		key, elem = tyBad, tyBad
	case t.name == "list":
		elem = t.elem
	case t.name == "map":
		key, elem = t.key, t.elem
		if s.key == "" {
			elem = t.key
		}
	default:
		c.problem(s.from.at(), "for runs over lists, maps and ranges, not over a %v", t)
		elem = tyBad
	}
	if s.key != "" && key == nil {
		if elem != tyBad {
			c.problem(s.pos, "only maps have keys to run over")
		}
		key = tyBad
	}
	from := c.next
	c.push()
	v := c.declare(s.pos, s.name, elem)
	s.slot, v.used = v.ref.n, true // to count is use enough
	c.next += 2                    // what is run over, and where it stands
	c.fn.slots = max(c.fn.slots, c.next)
	if s.key != "" {
		v := c.declare(s.pos, s.key, key)
		s.keySlot, v.used = v.ref.n, true
	}
	c.loops++
	c.block(s.body)
	c.loops--
	c.end = s.body.end
	c.pop()
	c.next = from
}

func (c *checker) want(e expr, t *Type, what string) {
	if v := c.value(e); !same(v, t) {
		c.problem(e.at(), "%s is a %v, not a %v", what, t, v)
	}
}

// value checks an expression that must have a value.
func (c *checker) value(e expr) *Type {
	t := c.expr(e)
	if t == tyVoid {
		c.problem(e.at(), "this has no value")
		return tyBad
	}
	return t
}

func (c *checker) expr(e expr) *Type {
	switch e := e.(type) {
	case *litExpr:
		return e.t
	case *nameExpr:
		t, r, ok := c.lookup(e.name)
		if !ok {
			if c.funcs[e.name] != nil {
				c.problem(e.pos, "%s is a function: call it", e.name)
			} else if c.consts {
				c.problem(e.pos, "a state's first value is made of literals")
			} else {
				c.problem(e.pos, "there is no variable %q", e.name)
			}
		}
		e.t, e.ref = t, r
	case *unaryExpr:
		e.t = c.value(e.x)
		if e.op == "not" && !same(e.t, tyBool) || e.op == "-" && (!e.t.ordered() || e.t == tyStr) {
			c.problem(e.pos, "a %v has no %q", e.t, e.op)
			e.t = tyBad
		}
	case *binExpr:
		e.t = c.binary(e)
	case *listExpr:
		elem := tyBad
		if e.node != nil {
			t := c.typ(e.node)
			if t.name != "list" {
				c.problem(e.pos, "list[T]{…} is wanted")
				t = listOf(tyBad)
			}
			elem = t.elem
		} else if len(e.items) == 0 {
			c.problem(e.pos, "an empty list names its type: list[int]{}")
		}
		for i, x := range e.items {
			t := c.value(x)
			if i == 0 && e.node == nil {
				elem = t
			}
			if !same(t, elem) {
				c.problem(x.at(), "an entry is a %v, not a %v", elem, t)
			}
		}
		e.t = listOf(elem)
	case *mapExpr:
		e.t = c.typ(e.node)
		for i := range e.keys {
			c.want(e.keys[i], e.t.key, "a key")
			c.want(e.values[i], e.t.elem, "an entry")
		}
	case *recExpr:
		r := records[e.name]
		e.t = r.t
		for i, name := range e.fields {
			n := slices.IndexFunc(r.Fields, func(f Field) bool { return f.Name == name })
			if n < 0 {
				c.problem(e.places[i], "%s has no field %q", e.name, name)
				c.value(e.values[i])
				continue
			}
			if slices.Contains(e.fields[:i], name) {
				c.problem(e.places[i], "%s stands twice", name)
			}
			c.want(e.values[i], r.Fields[n].Type, name)
		}
	case *indexExpr:
		t, i := c.value(e.x), c.value(e.i)
		switch {
		case t == tyBad:
			e.t = tyBad
		case t.name == "list" && same(i, tyInt):
			e.t = t.elem
		case t.name == "map" && same(i, t.key):
			e.t = t.elem
		default:
			c.problem(e.pos, "a %v has no entry at a %v", t, i)
			e.t = tyBad
		}
	case *fieldExpr:
		t := c.value(e.x)
		e.t = tyBad
		if t == tyBad {
			break
		}
		if t.rec == nil {
			c.problem(e.pos, "a %v has no fields", t)
			break
		}
		for i, f := range t.rec.Fields {
			if f.Name == e.name {
				e.t, e.n = f.Type, i
			}
		}
		if e.t == tyBad {
			c.problem(e.pos, "%v has no field %q", t, e.name)
		}
	case *callExpr:
		e.t = c.call(e)
	case *runExpr:
		e.t = listOf(recAdvice.t)
		if !c.test {
			c.problem(e.pos, "run is for tests")
		}
		d := c.points[e.point]
		t := c.value(e.arg)
		if d == nil {
			c.problem(e.pos, "there is no handler of %q", e.point)
			break
		}
		e.fn = d
		if !same(t, d.types[0]) {
			c.problem(e.arg.at(), "%s gets a %v, not a %v", e.point, d.types[0], t)
		}
	}
	return e.typ()
}

func (c *checker) binary(e *binExpr) *Type {
	x, y := c.value(e.x), c.value(e.y)
	if x == tyBad || y == tyBad {
		switch e.op {
		case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
			return tyBool
		}
		return tyBad
	}
	alike := same(x, y)
	switch e.op {
	case "and", "or":
		if x == tyBool && y == tyBool {
			return tyBool
		}
	case "==", "!=":
		if alike {
			return tyBool
		}
	case "<", "<=", ">", ">=":
		if alike && x.ordered() {
			return tyBool
		}
	case "in":
		if y == tyStr && x == tyStr || y.name == "list" && same(x, y.elem) || y.name == "map" && same(x, y.key) {
			return tyBool
		}
	case "+":
		if alike && (x.ordered() || x.name == "list") {
			return x
		}
	case "-":
		if alike && x.ordered() && x != tyStr {
			return x
		}
	case "*":
		switch {
		case alike && (x == tyInt || x == tyFloat):
			return x
		case x == tyDur && y == tyInt, x == tyInt && y == tyDur:
			return tyDur
		}
	case "/":
		switch {
		case alike && (x == tyInt || x == tyFloat):
			return x
		case x == tyDur && y == tyInt:
			return tyDur
		case x == tyDur && y == tyDur:
			return tyFloat
		}
	case "%":
		if alike && (x == tyInt || x == tyDur) {
			return x
		}
	}
	c.problem(e.pos, "%v %s %v has no meaning", x, e.op, y)
	switch e.op {
	case "and", "or", "==", "!=", "<", "<=", ">", ">=", "in":
		return tyBool
	}
	return tyBad
}

func (c *checker) call(e *callExpr) *Type {
	if c.consts {
		c.problem(e.pos, "a state's first value is made of literals")
		return tyBad
	}
	if d := c.funcs[e.name]; d != nil {
		e.fn = d
		c.fn.calls = append(c.fn.calls, d)
		if len(e.args) != len(d.types) {
			c.problem(e.pos, "%s takes %d arguments, not %d", e.name, len(d.types), len(e.args))
		}
		for i, a := range e.args {
			if i < len(d.types) {
				c.want(a, d.types[i], d.params[i].name)
			} else {
				c.value(a)
			}
		}
		return d.ret
	}
	b := builtins[e.name]
	if b == nil {
		for _, a := range e.args {
			c.value(a)
		}
		c.problem(e.pos, "there is no function %q", e.name)
		return tyBad
	}
	e.b = &builtin{name: e.name}
	if b.sigs[0].by {
		return c.sortBy(e, b.sigs[0])
	}
	var args []*Type
	for i, a := range e.args {
		if n, ok := a.(*nameExpr); ok && i == 0 && (e.name == "push" || e.name == "remove") {
			t, r := c.target(n.pos, n.name)
			n.t, n.ref = t, r
			args = append(args, t)
			continue
		}
		args = append(args, c.value(a))
	}
	for _, s := range b.sigs {
		vars := map[*Type]*Type{}
		if len(args) != len(s.params) {
			continue
		}
		fits := true
		for i, p := range s.params {
			fits = fits && unify(p, args[i], vars)
		}
		if !fits {
			continue
		}
		if s.test && !c.test {
			c.problem(e.pos, "%s is for tests", e.name)
		}
		if s.effect {
			if _, ok := c.fn.uses[e.name]; !ok {
				c.fn.uses[e.name] = e.pos
			}
		}
		if s.op != 0 {
			if _, ok := e.args[0].(*nameExpr); !ok {
				c.problem(e.args[0].at(), "%s changes a variable", e.name)
			}
		}
		e.b.sigs = []*signature{s}
		return substitute(s.result, vars)
	}
	want := ""
	for i, s := range b.sigs {
		if i > 0 {
			want += " or "
		}
		want += fmt.Sprint(s.params)
	}
	c.problem(e.pos, "%s takes %s, not %v", e.name, want, args)
	return tyBad
}

// sortBy checks sort_by(list, less), where less is the name of a function of two entries.
func (c *checker) sortBy(e *callExpr, s *signature) *Type {
	e.b.sigs = []*signature{s}
	if len(e.args) != 2 {
		c.problem(e.pos, "sort_by takes a list and the name of a function")
		return tyBad
	}
	t := c.value(e.args[0])
	n, ok := e.args[1].(*nameExpr)
	if t != tyBad && t.name != "list" {
		c.problem(e.args[0].at(), "sort_by takes a list, not a %v", t)
		return tyBad
	}
	if !ok || c.funcs[n.name] == nil {
		c.problem(e.args[1].at(), "sort_by takes the name of a function that tells whether one comes before another")
		return t
	}
	d := c.funcs[n.name]
	if t != tyBad && (len(d.types) != 2 || !same(d.types[0], t.elem) || !same(d.types[1], t.elem) || d.ret != tyBool) {
		c.problem(n.pos, "%s must be fn %s(a %v, b %v) bool", n.name, n.name, t.elem, t.elem)
	}
	e.fn = d
	c.fn.calls = append(c.fn.calls, d)
	return t
}
