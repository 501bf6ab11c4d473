package hooklang

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// variable is a local variable.
type variable struct {
	name      string
	pos       Pos
	valueType *Type
	ref       ref
	used      bool
}

// checker checks the names and types of a script, and fills them in in its syntax tree.
type checker struct {
	file        string
	parsed      *script
	problems    Problems
	funcs       map[string]*funcDecl
	points      map[string]*funcDecl
	states      map[string]*stateDecl
	scopes      []map[string]*variable
	current     *funcDecl
	inTest      bool
	inStateInit bool // in a state's first value
	loopDepth   int
	nextSlot    int // free slot
	scopeEnd    Pos // of the scope that ends next
}

// check parses a text and checks it. The script can be compiled if no problem is more than a warning.
func check(file, text string) (*script, Problems) {
	s, bad := parse(file, text)
	c := &checker{
		file:     file,
		parsed:   s,
		problems: bad,
		funcs:    map[string]*funcDecl{},
		points:   map[string]*funcDecl{},
		states:   map[string]*stateDecl{},
	}
	if len(bad) == 0 || len(s.order) > 0 {
		c.script()
	}
	sort.SliceStable(c.problems, func(i, j int) bool {
		return c.problems[i].Pos.before(c.problems[j].Pos)
	})
	c.problems = slices.CompactFunc(c.problems, func(a, b *Problem) bool { return *a == *b })
	return s, c.problems
}

// HasErrors reports whether at least one of the problems is an error rather than a warning.
func (l Problems) HasErrors() bool {
	return slices.ContainsFunc(l, func(p *Problem) bool { return !p.Warning })
}

func (c *checker) problem(pos Pos, format string, args ...any) {
	if len(c.problems) < maxProblems {
		text := strings.ReplaceAll(fmt.Sprintf(format, args...), " a int", " an int")
		c.problems = append(c.problems, &Problem{File: c.file, Pos: pos, Text: text})
	}
}

func (c *checker) warn(pos Pos, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, &Problem{File: c.file, Pos: pos, Text: fmt.Sprintf(format, args...), Warning: true})
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
		if k != typeString && k != typeInt && k != typeInvalid {
			c.problem(n.key.pos, "keys of a map are string or int, not %v", k)
			k = typeInvalid
		}
		return mapOf(k, c.typ(n.elem))
	}
	if t := scalars[n.name]; t != nil {
		return t
	}
	if r := records[n.name]; r != nil {
		return r.valueType
	}
	c.problem(n.pos, "there is no type %q", n.name)
	return typeInvalid
}

// isFree reports whether a script may declare a name, and adds a problem if it may not.
func (c *checker) isFree(pos Pos, name string) bool {
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
	for _, d := range c.parsed.funcs {
		c.declareFunction(d)
	}
	for i, d := range c.parsed.states {
		c.declareState(i, d)
	}
	if !c.withinBounds() {
		return
	}
	for _, d := range c.parsed.funcs {
		c.function(d)
	}
	names := map[string]Pos{}
	for _, d := range c.parsed.tests {
		if old, ok := names[d.name]; ok {
			c.problem(d.pos, "a second test %q: the first is in line %d", d.name, old.Line)
		}
		names[d.name] = d.pos
		c.testBody(d)
	}
	for _, d := range c.parsed.funcs {
		if d.point != nil {
			c.checkReachable(d)
		}
	}
	for _, d := range c.parsed.tests {
		c.checkTestEffects(d)
	}
}

// declareFunction notes the types of a function or handler, so that bodies can refer to it wherever they are.
func (c *checker) declareFunction(d *funcDecl) {
	d.effectsAt = map[string]Pos{}
	d.resultType = typeVoid
	if d.point != nil {
		if old := c.points[d.name]; old != nil {
			c.problem(d.pos, "a second handler of %s: the first is in line %d", d.name, old.pos.Line)
		}
		c.points[d.name] = d
		d.paramTypes = []*Type{d.point.Record.valueType}
		return
	}
	if c.isFree(d.pos, d.name) {
		c.funcs[d.name] = d
	}
	if len(d.params) > maxParams {
		c.problem(d.pos, "%d parameters, over %d", len(d.params), maxParams)
	}
	for _, p := range d.params {
		d.paramTypes = append(d.paramTypes, c.typ(p.declaredType))
	}
	if d.declaredResult != nil {
		d.resultType = c.typ(d.declaredResult)
	}
}

// declareState checks a state variable and its first value, which consists of literals.
func (c *checker) declareState(index int, d *stateDecl) {
	d.index = index
	d.valueType = c.typ(d.declaredType)
	if holdsRecord(d.valueType) {
		c.problem(d.declaredType.pos, "state holds no records of the host: keep the fields that matter")
	}
	c.inStateInit = true
	if t := c.expr(d.init); !sameType(t, d.valueType) {
		c.problem(d.init.at(), "%s is a %v, not a %v", d.name, d.valueType, t)
	}
	c.inStateInit = false
	if c.isFree(d.pos, d.name) {
		c.states[d.name] = d
	}
}

// withinBounds checks how many declarations there are, which bounds what the rest of the check may take, and what
// the tests that run before a script is loaded.
func (c *checker) withinBounds() bool {
	if len(c.parsed.states) > maxStates {
		c.problem(c.parsed.states[maxStates].pos, "more than %d state variables", maxStates)
	}
	if len(c.parsed.funcs) > maxFuncs {
		c.problem(c.parsed.funcs[maxFuncs].pos, "more than %d functions", maxFuncs)
		return false
	}
	if len(c.parsed.tests) > maxTests {
		c.problem(c.parsed.tests[maxTests].pos, "more than %d tests", maxTests)
		return false
	}
	return true
}

func (c *checker) testBody(d *testDecl) {
	d.function = &funcDecl{
		pos:        d.pos,
		name:       "test " + d.name,
		body:       d.body,
		end:        d.body.end,
		resultType: typeVoid,
		effectsAt:  map[string]Pos{},
	}
	c.inTest = true
	c.function(d.function)
	c.inTest = false
}

func holdsRecord(t *Type) bool {
	return t.record != nil || t.elem != nil && holdsRecord(t.elem)
}

func (c *checker) function(d *funcDecl) {
	c.current = d
	c.nextSlot = 0
	c.loopDepth = 0
	c.scopes = []map[string]*variable{{}}
	for i, p := range d.params {
		if v := c.declare(p.pos, p.name, d.paramTypes[i]); v != nil {
			v.used = true
		}
	}
	for _, v := range c.scopes[0] {
		d.vars = append(d.vars, varInfo{v.name, v.valueType, v.ref.index, d.pos, d.end})
	}
	sort.Slice(d.vars, func(i, j int) bool { return d.vars[i].slot < d.vars[j].slot })
	returns := c.block(d.body)
	if d.resultType != typeVoid && !returns {
		c.problem(d.end, "%s ends without a return", d.name)
	}
	c.scopes = nil
}
