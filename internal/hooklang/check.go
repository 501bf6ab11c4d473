package hooklang

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// variable is a local variable of the function that is being checked.
type variable struct {
	name      string
	pos       Pos
	valueType *Type
	ref       ref
	used      bool
}

// checker resolves the names and checks the types of a script, and records both in its syntax tree.
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
	inStateInit bool // in the initial value of a state variable
	loopDepth   int
	nextSlot    int // the first slot that is not in use
	scopeEnd    Pos // end of the scope that is closed next, for the tracer
}

// check parses and checks a script. The script can be compiled if [Problems.HasErrors] is false.
func check(file, text string) (*script, Problems) {
	s, problems := parse(file, text)
	c := &checker{
		file:     file,
		parsed:   s,
		problems: problems,
		funcs:    map[string]*funcDecl{},
		points:   map[string]*funcDecl{},
		states:   map[string]*stateDecl{},
	}
	if len(problems) == 0 || len(s.order) > 0 {
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

// reportError adds an error. Type names are inserted into messages after "a", hence the correction
// for int.
func (c *checker) reportError(pos Pos, format string, args ...any) {
	if len(c.problems) < maxProblems {
		text := strings.ReplaceAll(fmt.Sprintf(format, args...), " a int", " an int")
		c.problems = append(c.problems, &Problem{File: c.file, Pos: pos, Text: text})
	}
}

func (c *checker) reportWarning(pos Pos, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, &Problem{File: c.file, Pos: pos, Text: fmt.Sprintf(format, args...), Warning: true})
	}
}

// resolveType returns the type that a type expression denotes.
func (c *checker) resolveType(n *typeNode) *Type {
	switch n.name {
	case "list":
		if n.elem != nil {
			return listOf(c.resolveType(n.elem))
		}
	case "map":
		k := c.resolveType(n.key)
		if k != typeString && k != typeInt && k != typeInvalid {
			c.reportError(n.key.pos, "the keys of a map are of type string or int, not %v", k)
			k = typeInvalid
		}
		return mapOf(k, c.resolveType(n.elem))
	}
	if t := scalars[n.name]; t != nil {
		return t
	}
	if r := records[n.name]; r != nil {
		return r.valueType
	}
	c.reportError(n.pos, "there is no type %q", n.name)
	return typeInvalid
}

// checkNameAvailable reports whether a script may declare a name, and adds an error if the name is
// taken.
func (c *checker) checkNameAvailable(pos Pos, name string) bool {
	conflict := ""
	switch {
	case builtins[name] != nil:
		conflict = "is the language's own"
	case records[name] != nil || scalars[name] != nil:
		conflict = "is a type"
	case c.funcs[name] != nil:
		conflict = fmt.Sprintf("is the function of line %d", c.funcs[name].pos.Line)
	case c.states[name] != nil:
		conflict = fmt.Sprintf("is the state variable of line %d", c.states[name].pos.Line)
	default:
		return true
	}
	c.reportError(pos, "%s %s", name, conflict)
	return false
}

// script checks all declarations: first their names and types, then the bodies, and last what
// handlers and tests reach through calls.
func (c *checker) script() {
	for _, d := range c.parsed.funcs {
		c.declareFunction(d)
	}
	for i, d := range c.parsed.states {
		c.declareState(i, d)
	}
	if !c.checkDeclarationCounts() {
		return
	}
	for _, d := range c.parsed.funcs {
		c.function(d)
	}
	names := map[string]Pos{}
	for _, d := range c.parsed.tests {
		if old, ok := names[d.name]; ok {
			c.reportError(d.pos, "a second test %q: the first is in line %d", d.name, old.Line)
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

// declareFunction records the signature of a function or handler before any body is checked, so
// that a body can call functions declared after it.
func (c *checker) declareFunction(d *funcDecl) {
	d.effectsAt = map[string]Pos{}
	d.resultType = typeVoid
	if d.point != nil {
		if old := c.points[d.name]; old != nil {
			c.reportError(d.pos, "a second handler of %s: the first is in line %d", d.name, old.pos.Line)
		}
		c.points[d.name] = d
		d.paramTypes = []*Type{d.point.Record.valueType}
		return
	}
	if c.checkNameAvailable(d.pos, d.name) {
		c.funcs[d.name] = d
	}
	if len(d.params) > maxParams {
		c.reportError(d.pos, "%d parameters, more than the maximum of %d", len(d.params), maxParams)
	}
	for _, p := range d.params {
		d.paramTypes = append(d.paramTypes, c.resolveType(p.declaredType))
	}
	if d.declaredResult != nil {
		d.resultType = c.resolveType(d.declaredResult)
	}
}

// declareState checks a state variable and its initial value, which consists of literals.
func (c *checker) declareState(index int, d *stateDecl) {
	d.index = index
	d.valueType = c.resolveType(d.declaredType)
	if holdsRecord(d.valueType) {
		c.reportError(d.declaredType.pos, "a state variable cannot hold a record of the host: store the fields that are needed")
	}
	c.inStateInit = true
	if t := c.expr(d.init); !sameType(t, d.valueType) {
		c.reportError(d.init.at(), "%s is a %v, not a %v", d.name, d.valueType, t)
	}
	c.inStateInit = false
	if c.checkNameAvailable(d.pos, d.name) {
		c.states[d.name] = d
	}
}

// checkDeclarationCounts limits the number of declarations. That bounds the time of the remaining
// checks, and of the tests that run before a script is loaded. It reports whether the checks may go
// on.
func (c *checker) checkDeclarationCounts() bool {
	if len(c.parsed.states) > maxStates {
		c.reportError(c.parsed.states[maxStates].pos, "more than %d state variables", maxStates)
	}
	if len(c.parsed.funcs) > maxFuncs {
		c.reportError(c.parsed.funcs[maxFuncs].pos, "more than %d functions", maxFuncs)
		return false
	}
	if len(c.parsed.tests) > maxTests {
		c.reportError(c.parsed.tests[maxTests].pos, "more than %d tests", maxTests)
		return false
	}
	return true
}

// testBody checks the body of a test as that of a function without parameters.
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

// holdsRecord reports whether a type is a record, or a list or map with records among its entries.
func holdsRecord(t *Type) bool {
	return t.record != nil || t.elem != nil && holdsRecord(t.elem)
}

// function checks the body of a function, handler or test.
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
		c.reportError(d.end, "%s ends without a return", d.name)
	}
	c.scopes = nil
}
