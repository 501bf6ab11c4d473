package hooklang

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
