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

// An oracle runs a checked script by walking its tree, with none of the VM's means: values are Go's own, copied whole at
// each store, ints are computed in big ones.
type oracle struct {
	s     *script
	state map[string]any
	vars  map[string]any
	out   []string
}

type (
	raised string
	leaves string
	gives  struct{ v any }
	dict   map[any]any
)

func copied(v any) any {
	switch v := v.(type) {
	case []any:
		l := make([]any, len(v))
		for i := range v {
			l[i] = copied(v[i])
		}
		return l
	case dict:
		d := dict{}
		for k, e := range v {
			d[k] = copied(e)
		}
		return d
	}
	return v
}

func sorted(d dict) (l []any) {
	for k := range d {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].(string) < l[j].(string) })
	return l
}

func (o *oracle) call(d *funcDecl, args []any) (result any) {
	old := o.vars
	o.vars = map[string]any{}
	for i, p := range d.params {
		o.vars[p.name] = copied(args[i])
	}
	defer func() {
		o.vars = old
		if r := recover(); r != nil {
			g, ok := r.(gives)
			if !ok {
				panic(r)
			}
			result = g.v
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
		o.vars[name] = copied(v)
	} else {
		o.state[name] = copied(v)
	}
}

func (o *oracle) load(name string) any {
	if v, ok := o.vars[name]; ok {
		return v
	}
	return o.state[name]
}

// body runs a loop's body and tells whether the loop goes on.
func (o *oracle) body(b *block) (on bool) {
	defer func() {
		if r := recover(); r != nil {
			w, ok := r.(leaves)
			if !ok {
				panic(r)
			}
			on = w == "continue"
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
		o.vars[s.name] = copied(o.expr(s.value))
	case *setStmt:
		if s.index == nil {
			v := o.expr(s.value)
			if s.op != "" {
				v = arith(s.op, o.load(s.name), v)
			}
			o.store(s.name, v)
			return
		}
		i, v := o.expr(s.index), copied(o.expr(s.value))
		switch c := o.load(s.name).(type) {
		case []any:
			if n := i.(int64); n < 0 || n >= int64(len(c)) {
				panic(raised("index"))
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
		x := copied(o.expr(s.from))
		switch c := x.(type) {
		case int64:
			end := o.expr(s.to).(int64)
			for ; c < end; c++ {
				o.vars[s.name] = c
				if !o.body(s.body) {
					return
				}
			}
		case []any:
			for _, v := range c {
				o.vars[s.name] = copied(v)
				if !o.body(s.body) {
					return
				}
			}
		case dict:
			for _, k := range sorted(c) {
				if o.vars[s.name] = k; s.key != "" {
					o.vars[s.key], o.vars[s.name] = k, copied(c[k])
				}
				if !o.body(s.body) {
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
			panic(gives{o.expr(s.value)})
		}
		panic(gives{})
	case *branchStmt:
		panic(leaves(s.keyword))
	case *exprStmt:
		o.expr(s.value)
	}
}

func arith(op string, x, y any) any {
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
				panic(raised("division"))
			}
			if op == "/" {
				z.Quo(p, q)
			} else {
				z.Rem(p, q)
			}
		}
		if !z.IsInt64() {
			panic(raised("overflow"))
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
				panic(raised("division"))
			}
			z = a / b
		}
		if math.IsNaN(z) || math.IsInf(z, 0) {
			panic(raised("overflow"))
		}
		return z + 0
	case string:
		return a + y.(string)
	case []any:
		return append(copied(a).([]any), copied(y).([]any)...)
	}
	panic("no such type")
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
			return arith("-", int64(0), x)
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
		return arith(e.op, x, y)
	case *listExpr:
		l := []any{}
		for _, x := range e.items {
			l = append(l, copied(o.expr(x)))
		}
		return l
	case *mapExpr:
		d := dict{}
		for i := range e.keys {
			k := o.expr(e.keys[i])
			d[k] = copied(o.expr(e.values[i]))
		}
		return d
	case *indexExpr:
		x, i := o.expr(e.collection), o.expr(e.index)
		switch c := x.(type) {
		case []any:
			if n := i.(int64); n < 0 || n >= int64(len(c)) {
				panic(raised("index"))
			}
			return c[i.(int64)]
		case dict:
			v, ok := c[i]
			if !ok {
				panic(raised("key"))
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
			o.out = append(o.out, a[0].(string))
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
			return sorted(a[0].(dict))
		case "push":
			o.store(e.args[0].(*nameExpr).name, append(copied(a[0]).([]any), a[1]))
		case "remove":
			d := copied(a[0]).(dict)
			delete(d, a[1])
			o.store(e.args[0].(*nameExpr).name, d)
		case "fail":
			panic(raised("raised"))
		case "sort_by":
			l := copied(a[0]).([]any)
			for i := range l { // insertion: stable, as the language promises
				for k := i; k > 0 && o.call(e.function, []any{l[k], l[k-1]}).(bool); k-- {
					l[k], l[k-1] = l[k-1], l[k]
				}
			}
			return l
		}
	}
	return nil
}

// A writer draws programs that pass the checks.
type writer struct {
	t     *rapid.T
	b     strings.Builder
	vars  map[string][]string // by type
	n     int
	depth int
	loops int
	fns   bool
	calls bool
}

var kinds = []string{"int", "float", "string", "bool", "list[int]", "map[string]int", "list[list[int]]"}

func (w *writer) pick(l ...string) string { return rapid.SampledFrom(l).Draw(w.t, "pick") }

func (w *writer) expr(kind string) string {
	w.depth++
	defer func() { w.depth-- }()
	if l := w.vars[kind]; len(l) > 0 && rapid.IntRange(0, 2).Draw(w.t, "var") > 0 {
		return w.pick(l...)
	}
	leaf := w.depth > 4
	two := func(op, kind string) string { return "(" + w.expr(kind) + " " + op + " " + w.expr(kind) + ")" }
	switch kind {
	case "int":
		k := rapid.IntRange(0, 8).Draw(w.t, "int")
		if leaf {
			k = 0
		}
		switch k {
		case 0:
			return w.pick("0", "1", "2", "3", "7", "-1", "9223372036854775807")
		case 1:
			return "len(" + w.expr(w.pick("string", "list[int]", "map[string]int")) + ")"
		case 2:
			return "get(" + w.expr("map[string]int") + ", " + w.expr("string") + ", " + w.expr("int") + ")"
		case 3:
			return w.expr("list[int]") + "[" + w.expr("int") + "]"
		case 4:
			if w.calls {
				return "f(" + w.expr("int") + ", " + w.expr("list[int]") + ")"
			}
		case 5:
			return "-" + w.expr("int")
		}
		return two(w.pick("+", "-", "*", "/", "%"), "int")
	case "float":
		if leaf {
			return w.pick("0.0", "1.5", "1e300", "-2.25")
		}
		return two(w.pick("+", "-", "*", "/"), "float")
	case "string":
		if leaf || w.depth > 2 {
			return w.pick(`""`, `"a"`, `"b"`, `"ab"`, `"é"`)
		}
		switch rapid.IntRange(0, 2).Draw(w.t, "string") {
		case 0:
			return "str(" + w.expr(w.pick("int", "float", "bool", "string")) + ")"
		}
		return two("+", "string")
	case "bool":
		if leaf {
			return w.pick("true", "false")
		}
		switch rapid.IntRange(0, 5).Draw(w.t, "bool") {
		case 0:
			return "(not " + w.expr("bool") + ")"
		case 1:
			return two(w.pick("and", "or"), "bool")
		case 2:
			return "(" + w.expr("string") + " in " + w.expr(w.pick("map[string]int", "string")) + ")"
		case 3:
			return two(w.pick("==", "!="), w.pick(kinds...))
		}
		return two(w.pick("<", "<=", ">", ">="), w.pick("int", "float", "string"))
	case "list[int]":
		if leaf {
			return "list[int]{}"
		}
		switch rapid.IntRange(0, 3).Draw(w.t, "list") {
		case 0:
			return "[" + w.expr("int") + ", " + w.expr("int") + "]"
		case 1:
			if w.calls {
				return "sort_by(" + w.expr("list[int]") + ", less)"
			}
		case 2:
			return w.expr("list[list[int]]") + "[" + w.pick("0", "1") + "]"
		}
		return two("+", "list[int]")
	case "list[list[int]]":
		return "[" + w.expr("list[int]") + ", " + w.expr("list[int]") + "]"
	}
	if leaf {
		return "map[string]int{}"
	}
	return "map[string]int{" + w.expr("string") + ": " + w.expr("int") + ", " + w.expr("string") + ": " + w.expr("int") + "}"
}

func (w *writer) block(n int) {
	saved := map[string][]string{}
	for k, l := range w.vars {
		saved[k] = l[:len(l):len(l)]
	}
	for range n {
		w.stmt()
	}
	w.vars = saved
}

func (w *writer) any() (kind string, name string) {
	var l []string
	for _, k := range kinds {
		for _, v := range w.vars[k] {
			if v[0] != 'i' { // not those of loops
				l = append(l, k+" "+v)
			}
		}
	}
	p := w.pick(l...)
	i := strings.LastIndexByte(p, ' ')
	return p[:i], p[i+1:]
}

func (w *writer) stmt() {
	w.depth = 0
	inner := func() {
		w.b.WriteString(" {\n")
		w.loops++
		w.block(rapid.IntRange(1, 3).Draw(w.t, "n"))
		w.loops--
		w.b.WriteString("}")
	}
	k := rapid.IntRange(0, 11).Draw(w.t, "stmt")
	if w.loops > 2 && k >= 7 && k <= 10 {
		k = 0
	}
	switch k {
	case 0, 1:
		kind := w.pick(kinds...)
		w.n++
		e := w.expr(kind)
		name := fmt.Sprint("v", w.n)
		fmt.Fprintf(&w.b, "let %s %s = %s\n", name, kind, e)
		w.vars[kind] = append(w.vars[kind], name)
	case 2, 3:
		kind, name := w.any()
		fmt.Fprintf(&w.b, "%s = %s\n", name, w.expr(kind))
	case 4, 5:
		kind, name := w.any()
		switch kind {
		case "list[int]":
			if w.pick("push", "set") == "push" {
				fmt.Fprintf(&w.b, "push(%s, %s)\n", name, w.expr("int"))
			} else {
				fmt.Fprintf(&w.b, "%s[%s] = %s\n", name, w.pick("0", "1"), w.expr("int"))
			}
		case "map[string]int":
			if w.pick("remove", "set") == "remove" {
				fmt.Fprintf(&w.b, "remove(%s, %s)\n", name, w.expr("string"))
			} else {
				fmt.Fprintf(&w.b, "%s[%s] = %s\n", name, w.expr("string"), w.expr("int"))
			}
		case "list[list[int]]":
			fmt.Fprintf(&w.b, "%s[%s] = %s\n", name, w.pick("0", "1"), w.expr("list[int]"))
		case "int":
			fmt.Fprintf(&w.b, "%s %s %s\n", name, w.pick("+=", "-="), w.expr("int"))
		}
	case 6:
		if w.fns {
			fmt.Fprintf(&w.b, "log(str(%s))\n", w.expr(w.pick("int", "float", "string", "bool")))
		}
	case 7, 8:
		w.b.WriteString("if " + w.expr("bool"))
		inner()
		if w.pick("else", "") != "" {
			w.b.WriteString(" else")
			inner()
		}
		w.b.WriteString("\n")
	case 9:
		w.n++
		name := fmt.Sprint("i", w.n)
		what := w.pick("0..3", "2..4", w.expr("list[int]"))
		fmt.Fprintf(&w.b, "for %s in %s", name, what)
		old := w.vars["int"]
		w.vars["int"] = append(old[:len(old):len(old)], name)
		inner()
		w.vars["int"] = old
		w.b.WriteString("\n")
	case 10:
		w.n++
		k, v := fmt.Sprint("ik", w.n), fmt.Sprint("iv", w.n)
		fmt.Fprintf(&w.b, "for %s, %s in %s", k, v, w.expr("map[string]int"))
		oi, os := w.vars["int"], w.vars["string"]
		w.vars["int"], w.vars["string"] = append(oi[:len(oi):len(oi)], v), append(os[:len(os):len(os)], k)
		inner()
		w.vars["int"], w.vars["string"] = oi, os
		w.b.WriteString("\n")
	case 11:
		w.b.WriteString("match " + w.expr("int") + " {\ncase 0, 1")
		inner()
		w.b.WriteString("\ncase 2")
		inner()
		w.b.WriteString("\nelse")
		inner()
		w.b.WriteString("\n}\n")
	}
}

func program(t *rapid.T) string {
	w := &writer{t: t, vars: map[string][]string{"int": {"a"}, "list[int]": {"l"}}}
	w.b.WriteString("state s int = 3\nstate m map[string]int = map[string]int{\"a\": 1}\nstate q list[int] = [4, 2]\nstate z list[list[int]] = [[1], [2]]\n")
	w.b.WriteString("fn less(a int, b int) bool {\nreturn a % 5 < b % 5\n}\n")
	w.b.WriteString("fn f(a int, l list[int]) int {\n")
	w.block(rapid.IntRange(0, 4).Draw(t, "n"))
	w.b.WriteString("return " + w.expr("int") + "\n}\non ended(e) {\n")
	w.vars = map[string][]string{"int": {"s"}, "map[string]int": {"m"}, "list[int]": {"q"}, "list[list[int]]": {"z"}}
	w.fns, w.calls = true, true
	w.block(rapid.IntRange(1, 10).Draw(t, "n"))
	w.b.WriteString("}\n")
	return w.b.String()
}

func (o *oracle) run() (fault string) {
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(raised)
			if !ok {
				panic(r)
			}
			fault = string(f)
		}
	}()
	for _, d := range o.s.funcs {
		if d.point != nil {
			o.call(d, []any{nil})
		}
	}
	return ""
}

// Compiler and VM do what a plain walk of the tree does, on programs drawn at random: the same words, state and faults.
func TestAgainstOracle(t *testing.T) {
	faults, clean := map[string]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		src := program(t)
		p, err := Compile("p.hook", src)
		if err != nil {
			t.Fatalf("%v\n%s", err, src)
		}
		s, _ := check("p.hook", src)
		o := &oracle{s: s, state: map[string]any{"s": int64(3), "m": dict{"a": int64(1)}, "q": []any{int64(4), int64(2)}, "z": []any{[]any{int64(1)}, []any{int64(2)}}}}
		lim := BackgroundLimits
		lim.Fuel, lim.Effects = 50_000_000, 1<<20
		res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, lim)
		if f, ok := err.(*Fault); ok && f.Exhausted() {
			t.Skip("too much")
		}
		want := o.run()
		faults[want]++
		if want != "" {
			if f, ok := err.(*Fault); !ok || string(f.Kind) != want {
				t.Fatalf("fault %v, the oracle has %q\n%s", err, want, src)
			}
			if !res.State.Equal(p.InitialState()) || res.Advice != nil {
				t.Fatalf("a run with a fault left something\n%s", src)
			}
			return
		}
		if err != nil {
			t.Fatalf("%v, the oracle has no fault\n%s", err, src)
		}
		clean++
		var said []string
		for _, a := range res.Advice {
			said = append(said, a.Text)
		}
		if strings.Join(said, "|") != strings.Join(o.out, "|") {
			t.Fatalf("%q, the oracle says %q\n%s", said, o.out, src)
		}
		for i, v := range p.state {
			if a, b := shown(v.valueType, res.State.values[i]), fmt.Sprint(o.state[v.name]); a != b {
				t.Fatalf("%s is %s, the oracle has %s\n%s", v.name, a, b, src)
			}
		}
		again, _ := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, lim)
		if again.Fuel != res.Fuel || again.Memory != res.Memory || !again.State.Equal(res.State) || fmt.Sprint(again.Advice) != fmt.Sprint(res.Advice) {
			t.Fatalf("a second run differs\n%s", src)
		}
		text, _ := res.State.MarshalJSON()
		if back, err := p.RestoreState(text); err != nil || !back.Equal(res.State) {
			t.Fatalf("%v: restored another state from %s\n%s", err, text, src)
		}
		form, err := Format("p.hook", src)
		if err != nil {
			t.Fatalf("%v\n%s", err, src)
		}
		if twice, _ := Format("p.hook", form); twice != form {
			t.Fatalf("the form of a form differs:\n%s\n%s", form, twice)
		}
		q := must(Compile("p.hook", form))
		if formed, err := NewVM().Run(q, "ended", Ended{}, q.InitialState(), Env{}, lim); err != nil || formed.Fuel != res.Fuel || fmt.Sprint(formed.Advice) != fmt.Sprint(res.Advice) {
			t.Fatalf("%v: formatted, it does something else:\n%s", err, form)
		}
	})
	if clean < 10 || len(faults) < 3 {
		t.Errorf("%d without a fault, faults %v: little is shown", clean, faults)
	}
	t.Log(clean, "without a fault,", faults)
}

func must(p *Program, err error) *Program {
	if err != nil {
		panic(err)
	}
	return p
}

// shown writes a value as Go writes the oracle's.
func shown(t *Type, v Value) string {
	switch {
	case t.name == "list":
		var l []string
		for _, e := range v.object.items {
			l = append(l, shown(t.elem, e))
		}
		return "[" + strings.Join(l, " ") + "]"
	case t.name == "map":
		var l []string
		for i, e := range v.object.items {
			l = append(l, shown(t.key, v.object.keys[i])+":"+shown(t.elem, e))
		}
		return "map[" + strings.Join(l, " ") + "]"
	case t == typeString:
		return v.str()
	}
	return fmt.Sprint(v.bits)
}
