package hooklang

import (
	"fmt"
	"math"
	"math/big"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// oracle interprets the syntax tree of a checked script. It uses neither the VM's values nor its
// instructions, so that both are unlikely to have the same error: values are plain Go values that
// are deep-copied at each store, and ints are computed with math/big.
type oracle struct {
	parsed *script
	state  map[string]any
	vars   map[string]any
	logged []string // the texts that the script logged
}

// oracleFault, branchSignal and returnSignal are the values of the panics by which the oracle
// leaves a run, a loop body and a function. dict is a map of the language.
type (
	oracleFault  string
	branchSignal string
	returnSignal struct{ value any }
	dict         map[any]any
)

func deepCopy(v any) any {
	switch v := v.(type) {
	case []any:
		l := make([]any, len(v))
		for i := range v {
			l[i] = deepCopy(v[i])
		}
		return l
	case dict:
		d := dict{}
		for k, e := range v {
			d[k] = deepCopy(e)
		}
		return d
	}
	return v
}

func sortedKeys(d dict) (l []any) {
	for k := range d {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].(string) < l[j].(string) })
	return l
}

// call runs a function in variables of its own and returns its result, nil if it has none.
func (o *oracle) call(d *funcDecl, args []any) (result any) {
	old := o.vars
	o.vars = map[string]any{}
	for i, p := range d.params {
		o.vars[p.name] = deepCopy(args[i])
	}
	defer func() {
		o.vars = old
		if r := recover(); r != nil {
			signal, ok := r.(returnSignal)
			if !ok {
				panic(r)
			}
			result = signal.value
		}
	}()
	o.block(d.body)
	return nil
}

func (o *oracle) block(b *block) {
	for _, s := range b.stmts {
		o.stmt(s)
	}
}

func (o *oracle) store(name string, v any) {
	if _, ok := o.vars[name]; ok {
		o.vars[name] = deepCopy(v)
	} else {
		o.state[name] = deepCopy(v)
	}
}

func (o *oracle) load(name string) any {
	if v, ok := o.vars[name]; ok {
		return v
	}
	return o.state[name]
}

// loopBody runs the body of a loop and reports whether the loop continues.
func (o *oracle) loopBody(b *block) (continues bool) {
	defer func() {
		if r := recover(); r != nil {
			signal, ok := r.(branchSignal)
			if !ok {
				panic(r)
			}
			continues = signal == "continue"
		}
	}()
	o.block(b)
	return true
}

func (o *oracle) stmt(s stmt) {
	switch s := s.(type) {
	case *block:
		o.block(s)
	case *letStmt:
		o.vars[s.name] = deepCopy(o.expr(s.value))
	case *assignStmt:
		if s.index == nil {
			v := o.expr(s.value)
			if s.op != "" {
				v = arithmetic(s.op, o.load(s.name), v)
			}
			o.store(s.name, v)
			return
		}
		i, v := o.expr(s.index), deepCopy(o.expr(s.value))
		switch c := o.load(s.name).(type) {
		case []any:
			if n := i.(int64); n < 0 || n >= int64(len(c)) {
				panic(oracleFault("index"))
			}
			c[i.(int64)] = v
		case dict:
			c[i] = v
		}
	case *ifStmt:
		if o.expr(s.cond).(bool) {
			o.block(s.then)
		} else if s.otherwise != nil {
			o.stmt(s.otherwise)
		}
	case *forStmt:
		x := deepCopy(o.expr(s.from))
		switch c := x.(type) {
		case int64:
			end := o.expr(s.to).(int64)
			for ; c < end; c++ {
				o.vars[s.name] = c
				if !o.loopBody(s.body) {
					return
				}
			}
		case []any:
			for _, v := range c {
				o.vars[s.name] = deepCopy(v)
				if !o.loopBody(s.body) {
					return
				}
			}
		case dict:
			for _, k := range sortedKeys(c) {
				if o.vars[s.name] = k; s.key != "" {
					o.vars[s.key], o.vars[s.name] = k, deepCopy(c[k])
				}
				if !o.loopBody(s.body) {
					return
				}
			}
		}
	case *matchStmt:
		x := o.expr(s.value)
		for _, c := range s.cases {
			for _, v := range c.values {
				if o.expr(v) == x {
					o.block(c.body)
					return
				}
			}
		}
		if s.otherwise != nil {
			o.block(s.otherwise)
		}
	case *returnStmt:
		if s.value != nil {
			panic(returnSignal{o.expr(s.value)})
		}
		panic(returnSignal{})
	case *branchStmt:
		panic(branchSignal(s.keyword))
	case *exprStmt:
		o.expr(s.value)
	}
}

// arithmetic applies an arithmetic operator, and panics with oracleFault where the VM must fault.
func arithmetic(op string, x, y any) any {
	switch a := x.(type) {
	case int64:
		p, q, z := big.NewInt(a), big.NewInt(y.(int64)), new(big.Int)
		switch op {
		case "+":
			z.Add(p, q)
		case "-":
			z.Sub(p, q)
		case "*":
			z.Mul(p, q)
		default:
			if q.Sign() == 0 {
				panic(oracleFault("division"))
			}
			if op == "/" {
				z.Quo(p, q)
			} else {
				z.Rem(p, q)
			}
		}
		if !z.IsInt64() {
			panic(oracleFault("overflow"))
		}
		return z.Int64()
	case float64:
		b := y.(float64)
		z := 0.0
		switch op {
		case "+":
			z = a + b
		case "-":
			z = a - b
		case "*":
			z = a * b
		default:
			if b == 0 {
				panic(oracleFault("division"))
			}
			z = a / b
		}
		if math.IsNaN(z) || math.IsInf(z, 0) {
			panic(oracleFault("overflow"))
		}
		return z + 0
	case string:
		return a + y.(string)
	case []any:
		return append(deepCopy(a).([]any), deepCopy(y).([]any)...)
	}
	panic("arithmetic on an unsupported type")
}

func (o *oracle) expr(e expr) any {
	switch e := e.(type) {
	case *literalExpr:
		switch e.valueType {
		case typeBool:
			return e.value.bits != 0
		case typeFloat:
			return e.value.float()
		case typeString:
			return e.value.str()
		}
		return e.value.bits
	case *nameExpr:
		return o.load(e.name)
	case *unaryExpr:
		switch x := o.expr(e.operand).(type) {
		case bool:
			return !x
		case float64:
			return -x + 0
		case int64:
			return arithmetic("-", int64(0), x)
		}
	case *binaryExpr:
		x := o.expr(e.left)
		if e.op == "and" || e.op == "or" {
			if x.(bool) == (e.op == "or") {
				return x
			}
			return o.expr(e.right)
		}
		y := o.expr(e.right)
		switch e.op {
		case "==":
			return fmt.Sprint(x) == fmt.Sprint(y)
		case "!=":
			return fmt.Sprint(x) != fmt.Sprint(y)
		case "<", "<=", ">", ">=":
			c := 0
			switch a := x.(type) {
			case int64:
				c = big.NewInt(a).Cmp(big.NewInt(y.(int64)))
			case float64:
				c = big.NewFloat(a).Cmp(big.NewFloat(y.(float64)))
			case string:
				c = strings.Compare(a, y.(string))
			}
			return map[string]bool{"<": c < 0, "<=": c <= 0, ">": c > 0, ">=": c >= 0}[e.op]
		case "in":
			switch c := y.(type) {
			case string:
				return strings.Contains(c, x.(string))
			case dict:
				_, ok := c[x]
				return ok
			case []any:
				for _, v := range c {
					if v == x {
						return true
					}
				}
			}
			return false
		}
		return arithmetic(e.op, x, y)
	case *listExpr:
		l := []any{}
		for _, x := range e.items {
			l = append(l, deepCopy(o.expr(x)))
		}
		return l
	case *mapExpr:
		d := dict{}
		for i := range e.keys {
			k := o.expr(e.keys[i])
			d[k] = deepCopy(o.expr(e.values[i]))
		}
		return d
	case *indexExpr:
		x, i := o.expr(e.collection), o.expr(e.index)
		switch c := x.(type) {
		case []any:
			if n := i.(int64); n < 0 || n >= int64(len(c)) {
				panic(oracleFault("index"))
			}
			return c[i.(int64)]
		case dict:
			v, ok := c[i]
			if !ok {
				panic(oracleFault("key"))
			}
			return v
		}
	case *callExpr:
		var a []any
		for i, x := range e.args {
			if e.function != nil && e.builtin != nil && i == 1 {
				break
			}
			a = append(a, o.expr(x))
		}
		if e.function != nil && e.builtin == nil {
			return o.call(e.function, a)
		}
		switch e.name {
		case "log":
			o.logged = append(o.logged, a[0].(string))
		case "str":
			if f, ok := a[0].(float64); ok {
				return floatText(f)
			}
			return fmt.Sprint(a[0])
		case "len":
			switch c := a[0].(type) {
			case string:
				return int64(len(c))
			case []any:
				return int64(len(c))
			case dict:
				return int64(len(c))
			}
		case "get":
			if v, ok := a[0].(dict)[a[1]]; ok {
				return v
			}
			return a[2]
		case "keys":
			return sortedKeys(a[0].(dict))
		case "push":
			o.store(e.args[0].(*nameExpr).name, append(deepCopy(a[0]).([]any), a[1]))
		case "remove":
			d := deepCopy(a[0]).(dict)
			delete(d, a[1])
			o.store(e.args[0].(*nameExpr).name, d)
		case "fail":
			panic(oracleFault("raised"))
		case "sort_by":
			l := deepCopy(a[0]).([]any)
			for i := range l { // insertion sort: stable, as the language specifies
				for k := i; k > 0 && o.call(e.function, []any{l[k], l[k-1]}).(bool); k-- {
					l[k], l[k-1] = l[k-1], l[k]
				}
			}
			return l
		}
	}
	return nil
}

// generator draws random programs that pass the checker.
type generator struct {
	rapidT    *rapid.T
	text      strings.Builder
	vars      map[string][]string // names of the variables in scope, by type
	lastID    int                 // number in the name of the last variable
	exprDepth int
	loopDepth int
	inHandler bool // log may be called
	mayCall   bool // f and less may be called
}

var generatedTypes = []string{"int", "float", "string", "bool", "list[int]", "map[string]int", "list[list[int]]"}

func (g *generator) pick(l ...string) string { return rapid.SampledFrom(l).Draw(g.rapidT, "pick") }

// expr draws an expression of a type.
func (g *generator) expr(typeName string) string {
	g.exprDepth++
	defer func() { g.exprDepth-- }()
	if l := g.vars[typeName]; len(l) > 0 && rapid.IntRange(0, 2).Draw(g.rapidT, "var") > 0 {
		return g.pick(l...)
	}
	leaf := g.exprDepth > 4
	binary := func(op, typeName string) string {
		return "(" + g.expr(typeName) + " " + op + " " + g.expr(typeName) + ")"
	}
	switch typeName {
	case "int":
		k := rapid.IntRange(0, 8).Draw(g.rapidT, "int")
		if leaf {
			k = 0
		}
		switch k {
		case 0:
			return g.pick("0", "1", "2", "3", "7", "-1", "9223372036854775807")
		case 1:
			return "len(" + g.expr(g.pick("string", "list[int]", "map[string]int")) + ")"
		case 2:
			return "get(" + g.expr("map[string]int") + ", " + g.expr("string") + ", " + g.expr("int") + ")"
		case 3:
			return g.expr("list[int]") + "[" + g.expr("int") + "]"
		case 4:
			if g.mayCall {
				return "f(" + g.expr("int") + ", " + g.expr("list[int]") + ")"
			}
		case 5:
			return "-" + g.expr("int")
		}
		return binary(g.pick("+", "-", "*", "/", "%"), "int")
	case "float":
		if leaf {
			return g.pick("0.0", "1.5", "1e300", "-2.25")
		}
		return binary(g.pick("+", "-", "*", "/"), "float")
	case "string":
		if leaf || g.exprDepth > 2 {
			return g.pick(`""`, `"a"`, `"b"`, `"ab"`, `"é"`)
		}
		switch rapid.IntRange(0, 2).Draw(g.rapidT, "string") {
		case 0:
			return "str(" + g.expr(g.pick("int", "float", "bool", "string")) + ")"
		}
		return binary("+", "string")
	case "bool":
		if leaf {
			return g.pick("true", "false")
		}
		switch rapid.IntRange(0, 5).Draw(g.rapidT, "bool") {
		case 0:
			return "(not " + g.expr("bool") + ")"
		case 1:
			return binary(g.pick("and", "or"), "bool")
		case 2:
			return "(" + g.expr("string") + " in " + g.expr(g.pick("map[string]int", "string")) + ")"
		case 3:
			return binary(g.pick("==", "!="), g.pick(generatedTypes...))
		}
		return binary(g.pick("<", "<=", ">", ">="), g.pick("int", "float", "string"))
	case "list[int]":
		if leaf {
			return "list[int]{}"
		}
		switch rapid.IntRange(0, 3).Draw(g.rapidT, "list") {
		case 0:
			return "[" + g.expr("int") + ", " + g.expr("int") + "]"
		case 1:
			if g.mayCall {
				return "sort_by(" + g.expr("list[int]") + ", less)"
			}
		case 2:
			return g.expr("list[list[int]]") + "[" + g.pick("0", "1") + "]"
		}
		return binary("+", "list[int]")
	case "list[list[int]]":
		return "[" + g.expr("list[int]") + ", " + g.expr("list[int]") + "]"
	}
	if leaf {
		return "map[string]int{}"
	}
	return "map[string]int{" + g.expr("string") + ": " + g.expr("int") + ", " + g.expr("string") + ": " + g.expr("int") + "}"
}

// block draws n statements, whose variables go out of scope after it.
func (g *generator) block(n int) {
	saved := map[string][]string{}
	for k, l := range g.vars {
		saved[k] = l[:len(l):len(l)]
	}
	for range n {
		g.stmt()
	}
	g.vars = saved
}

// pickVariable draws a variable that may be changed.
func (g *generator) pickVariable() (typeName string, name string) {
	var l []string
	for _, k := range generatedTypes {
		for _, v := range g.vars[k] {
			if v[0] != 'i' { // loop variables are named i… and are not assigned to
				l = append(l, k+" "+v)
			}
		}
	}
	p := g.pick(l...)
	i := strings.LastIndexByte(p, ' ')
	return p[:i], p[i+1:]
}

func (g *generator) stmt() {
	g.exprDepth = 0
	body := func() {
		g.text.WriteString(" {\n")
		g.loopDepth++
		g.block(rapid.IntRange(1, 3).Draw(g.rapidT, "n"))
		g.loopDepth--
		g.text.WriteString("}")
	}
	k := rapid.IntRange(0, 11).Draw(g.rapidT, "stmt")
	if g.loopDepth > 2 && k >= 7 && k <= 10 {
		k = 0
	}
	switch k {
	case 0, 1:
		typeName := g.pick(generatedTypes...)
		g.lastID++
		e := g.expr(typeName)
		name := fmt.Sprint("v", g.lastID)
		fmt.Fprintf(&g.text, "let %s %s = %s\n", name, typeName, e)
		g.vars[typeName] = append(g.vars[typeName], name)
	case 2, 3:
		typeName, name := g.pickVariable()
		fmt.Fprintf(&g.text, "%s = %s\n", name, g.expr(typeName))
	case 4, 5:
		typeName, name := g.pickVariable()
		switch typeName {
		case "list[int]":
			if g.pick("push", "set") == "push" {
				fmt.Fprintf(&g.text, "push(%s, %s)\n", name, g.expr("int"))
			} else {
				fmt.Fprintf(&g.text, "%s[%s] = %s\n", name, g.pick("0", "1"), g.expr("int"))
			}
		case "map[string]int":
			if g.pick("remove", "set") == "remove" {
				fmt.Fprintf(&g.text, "remove(%s, %s)\n", name, g.expr("string"))
			} else {
				fmt.Fprintf(&g.text, "%s[%s] = %s\n", name, g.expr("string"), g.expr("int"))
			}
		case "list[list[int]]":
			fmt.Fprintf(&g.text, "%s[%s] = %s\n", name, g.pick("0", "1"), g.expr("list[int]"))
		case "int":
			fmt.Fprintf(&g.text, "%s %s %s\n", name, g.pick("+=", "-="), g.expr("int"))
		}
	case 6:
		if g.inHandler {
			fmt.Fprintf(&g.text, "log(str(%s))\n", g.expr(g.pick("int", "float", "string", "bool")))
		}
	case 7, 8:
		g.text.WriteString("if " + g.expr("bool"))
		body()
		if g.pick("else", "") != "" {
			g.text.WriteString(" else")
			body()
		}
		g.text.WriteString("\n")
	case 9:
		g.lastID++
		name := fmt.Sprint("i", g.lastID)
		collection := g.pick("0..3", "2..4", g.expr("list[int]"))
		fmt.Fprintf(&g.text, "for %s in %s", name, collection)
		old := g.vars["int"]
		g.vars["int"] = append(old[:len(old):len(old)], name)
		body()
		g.vars["int"] = old
		g.text.WriteString("\n")
	case 10:
		g.lastID++
		k, v := fmt.Sprint("ik", g.lastID), fmt.Sprint("iv", g.lastID)
		fmt.Fprintf(&g.text, "for %s, %s in %s", k, v, g.expr("map[string]int"))
		oldInts, oldStrings := g.vars["int"], g.vars["string"]
		g.vars["int"], g.vars["string"] = append(oldInts[:len(oldInts):len(oldInts)], v), append(oldStrings[:len(oldStrings):len(oldStrings)], k)
		body()
		g.vars["int"], g.vars["string"] = oldInts, oldStrings
		g.text.WriteString("\n")
	case 11:
		g.text.WriteString("match " + g.expr("int") + " {\ncase 0, 1")
		body()
		g.text.WriteString("\ncase 2")
		body()
		g.text.WriteString("\nelse")
		body()
		g.text.WriteString("\n}\n")
	}
}

// generateProgram draws a program with state variables, the functions less and f, and a handler of
// ended.
func generateProgram(t *rapid.T) string {
	g := &generator{rapidT: t, vars: map[string][]string{"int": {"a"}, "list[int]": {"l"}}}
	g.text.WriteString("state s int = 3\nstate m map[string]int = map[string]int{\"a\": 1}\nstate q list[int] = [4, 2]\nstate z list[list[int]] = [[1], [2]]\n")
	g.text.WriteString("fn less(a int, b int) bool {\nreturn a % 5 < b % 5\n}\n")
	g.text.WriteString("fn f(a int, l list[int]) int {\n")
	g.block(rapid.IntRange(0, 4).Draw(t, "n"))
	g.text.WriteString("return " + g.expr("int") + "\n}\non ended(e) {\n")
	g.vars = map[string][]string{"int": {"s"}, "map[string]int": {"m"}, "list[int]": {"q"}, "list[list[int]]": {"z"}}
	g.inHandler, g.mayCall = true, true
	g.block(rapid.IntRange(1, 10).Draw(t, "n"))
	g.text.WriteString("}\n")
	return g.text.String()
}

// run runs the handler of the script and returns the kind of the fault that ended it, or "".
func (o *oracle) run() (fault string) {
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(oracleFault)
			if !ok {
				panic(r)
			}
			fault = string(f)
		}
	}()
	for _, d := range o.parsed.funcs {
		if d.point != nil {
			o.call(d, []any{nil})
		}
	}
	return ""
}

// On random programs, the compiled program must behave like the oracle: the same log texts, state
// and faults. The test also guards determinism, the round trip of stored state, and formatting,
// which must be idempotent and must not change behaviour.
func TestAgainstOracle(t *testing.T) {
	faults, clean := map[string]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		src := generateProgram(t)
		p, err := Compile("p.hook", src)
		if err != nil {
			t.Fatalf("%v\n%s", err, src)
		}
		s, _ := check("p.hook", src)
		o := &oracle{parsed: s, state: map[string]any{"s": int64(3), "m": dict{"a": int64(1)}, "q": []any{int64(4), int64(2)}, "z": []any{[]any{int64(1)}, []any{int64(2)}}}}
		limits := BackgroundLimits
		limits.Fuel, limits.Effects = 50_000_000, 1<<20
		result, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, limits)
		if f, ok := err.(*Fault); ok && f.Exhausted() {
			t.Skip("a limit is exceeded")
		}
		want := o.run()
		faults[want]++
		if want != "" {
			if f, ok := err.(*Fault); !ok || string(f.Kind) != want {
				t.Fatalf("fault %v, the oracle has %q\n%s", err, want, src)
			}
			if !result.State.Equal(p.InitialState()) || result.Advice != nil {
				t.Fatalf("a run with a fault has changed the state or returned advice\n%s", src)
			}
			return
		}
		if err != nil {
			t.Fatalf("%v, the oracle has no fault\n%s", err, src)
		}
		clean++
		var logged []string
		for _, a := range result.Advice {
			logged = append(logged, a.Text)
		}
		if strings.Join(logged, "|") != strings.Join(o.logged, "|") {
			t.Fatalf("logged %q, the oracle logged %q\n%s", logged, o.logged, src)
		}
		for i, v := range p.state {
			if a, b := goText(v.valueType, result.State.values[i]), fmt.Sprint(o.state[v.name]); a != b {
				t.Fatalf("%s is %s, the oracle has %s\n%s", v.name, a, b, src)
			}
		}
		again, _ := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, limits)
		if again.Fuel != result.Fuel || again.Memory != result.Memory || !again.State.Equal(result.State) || fmt.Sprint(again.Advice) != fmt.Sprint(result.Advice) {
			t.Fatalf("a second run differs\n%s", src)
		}
		text, _ := result.State.MarshalJSON()
		if restored, err := p.RestoreState(text); err != nil || !restored.Equal(result.State) {
			t.Fatalf("%v: the state restored from %s differs\n%s", err, text, src)
		}
		formatted, err := Format("p.hook", src)
		if err != nil {
			t.Fatalf("%v\n%s", err, src)
		}
		if formattedTwice, _ := Format("p.hook", formatted); formattedTwice != formatted {
			t.Fatalf("formatting twice changes the result:\n%s\n%s", formatted, formattedTwice)
		}
		formattedProgram := must(Compile("p.hook", formatted))
		if rerun, err := NewVM().Run(formattedProgram, "ended", Ended{}, formattedProgram.InitialState(), Env{}, limits); err != nil || rerun.Fuel != result.Fuel || fmt.Sprint(rerun.Advice) != fmt.Sprint(result.Advice) {
			t.Fatalf("%v: the formatted script behaves differently:\n%s", err, formatted)
		}
	})
	if clean < 10 || len(faults) < 3 {
		t.Errorf("%d runs without a fault, faults %v: too few to be significant", clean, faults)
	}
	t.Log(clean, "runs without a fault, faults:", faults)
}

func must(p *Program, err error) *Program {
	if err != nil {
		panic(err)
	}
	return p
}

// goText formats a value of the VM as fmt.Sprint formats the corresponding value of the oracle.
func goText(t *Type, v Value) string {
	switch {
	case t.name == "list":
		var l []string
		for _, e := range v.object.items {
			l = append(l, goText(t.elem, e))
		}
		return "[" + strings.Join(l, " ") + "]"
	case t.name == "map":
		var l []string
		for i, e := range v.object.items {
			l = append(l, goText(t.key, v.object.keys[i])+":"+goText(t.elem, e))
		}
		return "map[" + strings.Join(l, " ") + "]"
	case t == typeString:
		return v.str()
	}
	return fmt.Sprint(v.bits)
}
