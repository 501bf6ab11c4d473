package hooklang

import (
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// A builtin is a function of the language's own, with one signature or several.
type builtin struct {
	name string
	sigs []*signature
}

type signature struct {
	params []*Type // T, K and V stand for any type
	result *Type
	run    func(vm *VM, a []Value) Value
	op     opcode // instead of run, where the VM does it itself
	effect bool
	test   bool // in tests only
	by     bool // the last argument is the name of a function that tells whether one comes before another
}

var (
	varT, varK, varV = &Type{name: "T"}, &Type{name: "K"}, &Type{name: "V"}
)

var builtins = map[string]*builtin{}

func def(name string, result *Type, run func(vm *VM, a []Value) Value, params ...*Type) *signature {
	b := builtins[name]
	if b == nil {
		b = &builtin{name: name}
		builtins[name] = b
	}
	s := &signature{params: params, result: result, run: run}
	b.sigs = append(b.sigs, s)
	return s
}

func effect(name string, build func(a []Value) Advice, params ...*Type) {
	def(name, tyVoid, func(vm *VM, a []Value) Value {
		if len(vm.advice) >= vm.lim.Effects {
			vm.fault(FaultEffects, "more than %d pieces of advice", vm.lim.Effects)
		}
		d := build(a)
		d.Kind = name
		vm.advice = append(vm.advice, d)
		vm.alloc(int64(160 + len(d.Text)))
		return Value{}
	}, params...).effect = true
}

func init() {
	list, dict := listOf(varT), mapOf(varK, varV)
	length := func(_ *VM, a []Value) Value { return Value{n: int64(len(a[0].o.l))} }
	def("len", tyInt, func(_ *VM, a []Value) Value { return Value{n: int64(len(a[0].str()))} }, tyStr)
	def("len", tyInt, length, list)
	def("len", tyInt, length, dict)

	for _, t := range []*Type{tyInt, tyFloat, tyDur, tyBool} {
		def("str", tyStr, func(vm *VM, a []Value) Value { return vm.str(text(t, a[0])) }, t)
	}
	def("str", tyStr, func(_ *VM, a []Value) Value { return a[0] }, tyStr)

	whole := func(f func(float64) float64) func(vm *VM, a []Value) Value {
		return func(vm *VM, a []Value) Value {
			x := f(a[0].float())
			if !(x >= -1<<63 && x < 1<<63) {
				vm.fault(FaultRange, "%s does not fit an int", floatText(x))
			}
			return Value{n: int64(x)}
		}
	}
	def("int", tyInt, whole(math.Trunc), tyFloat)
	def("floor", tyInt, whole(math.Floor), tyFloat)
	def("ceil", tyInt, whole(math.Ceil), tyFloat)
	def("round", tyInt, whole(math.Round), tyFloat)
	def("float", tyFloat, func(_ *VM, a []Value) Value { return floatValue(float64(a[0].n)) }, tyInt)
	def("seconds", tyFloat, func(_ *VM, a []Value) Value { return floatValue(time.Duration(a[0].n).Seconds()) }, tyDur)
	def("duration", tyDur, func(vm *VM, a []Value) Value {
		x := a[0].float() * 1e9
		if !(math.Abs(x) < 1<<62) {
			vm.fault(FaultRange, "%s seconds are too long", floatText(a[0].float()))
		}
		return Value{n: int64(math.Round(x))}
	}, tyFloat)

	for _, t := range []*Type{tyInt, tyFloat, tyDur, tyStr} {
		def("min", t, func(_ *VM, a []Value) Value {
			if compare(t, a[1], a[0]) < 0 {
				return a[1]
			}
			return a[0]
		}, t, t)
		def("max", t, func(_ *VM, a []Value) Value {
			if compare(t, a[1], a[0]) > 0 {
				return a[1]
			}
			return a[0]
		}, t, t)
		def("sort", listOf(t), func(vm *VM, a []Value) Value {
			n := int64(len(a[0].o.l))
			vm.spend(n * int64(1+math.Log2(float64(n+1))))
			if t == tyStr {
				vm.spend(steps(a[0]))
			}
			o := vm.clone(a[0].o)
			slices.SortStableFunc(o.l, func(x, y Value) int { return compare(t, x, y) })
			return Value{o: o}
		}, listOf(t))
	}
	for _, t := range []*Type{tyInt, tyDur} {
		def("abs", t, func(vm *VM, a []Value) Value {
			if a[0].n == math.MinInt64 {
				vm.fault(FaultRange, "the least %s has no positive", t.name)
			}
			return Value{n: max(a[0].n, -a[0].n)}
		}, t)
	}
	def("abs", tyFloat, func(_ *VM, a []Value) Value { return floatValue(math.Abs(a[0].float())) }, tyFloat)

	def("sort_by", list, nil, list, tyStr).by = true
	def("reverse", list, func(vm *VM, a []Value) Value {
		o := vm.clone(a[0].o)
		slices.Reverse(o.l)
		return Value{o: o}
	}, list)
	def("slice", list, func(vm *VM, a []Value) Value {
		from, to := vm.span(a, len(a[0].o.l))
		o := &object{box: true}
		vm.list(int64(to - from))
		for _, e := range a[0].o.l[from:to] {
			o.l = append(o.l, e.share())
		}
		return Value{o: o}
	}, list, tyInt, tyInt)
	def("slice", tyStr, func(vm *VM, a []Value) Value {
		s := a[0].str()
		from, to := vm.span(a, len(s))
		if from < len(s) && !utf8.RuneStart(s[from]) || to < len(s) && !utf8.RuneStart(s[to]) {
			vm.fault(FaultIndex, "slice %d to %d cuts a character in two", from, to)
		}
		return vm.str(s[from:to])
	}, tyStr, tyInt, tyInt)

	def("keys", listOf(varK), func(vm *VM, a []Value) Value {
		vm.list(int64(len(a[0].o.keys)))
		return Value{o: &object{box: true, l: slices.Clone(a[0].o.keys)}}
	}, dict)
	def("values", listOf(varV), func(vm *VM, a []Value) Value {
		vm.list(int64(len(a[0].o.l)))
		o := &object{box: true}
		for _, e := range a[0].o.l {
			o.l = append(o.l, e.share())
		}
		return Value{o: o}
	}, dict)
	def("get", varV, func(_ *VM, a []Value) Value {
		if i, ok := a[0].o.find(a[1]); ok {
			return a[0].o.l[i]
		}
		return a[2]
	}, dict, varK, varV)

	text := func(f func(s, t string) Value) func(vm *VM, a []Value) Value {
		return func(vm *VM, a []Value) Value {
			vm.spend(int64(len(a[0].str())) / 16)
			return f(a[0].str(), a[1].str())
		}
	}
	def("starts", tyBool, text(func(s, t string) Value { return boolValue(strings.HasPrefix(s, t)) }), tyStr, tyStr)
	def("ends", tyBool, text(func(s, t string) Value { return boolValue(strings.HasSuffix(s, t)) }), tyStr, tyStr)
	def("find", tyInt, text(func(s, t string) Value { return Value{n: int64(strings.Index(s, t))} }), tyStr, tyStr)
	def("lower", tyStr, func(vm *VM, a []Value) Value { return vm.str(strings.ToLower(a[0].str())) }, tyStr)
	def("trim", tyStr, func(vm *VM, a []Value) Value { return vm.str(strings.TrimSpace(a[0].str())) }, tyStr)
	def("hash", tyInt, func(vm *VM, a []Value) Value {
		vm.spend(int64(len(a[0].str())) / 16)
		return Value{n: int64(xxhash.Sum64String(a[0].str()) >> 1)}
	}, tyStr)
	def("split", listOf(tyStr), func(vm *VM, a []Value) Value {
		if a[1].str() == "" {
			vm.fault(FaultRange, "split at nothing")
		}
		vm.spend(int64(len(a[0].str())) / 4)
		n := strings.Count(a[0].str(), a[1].str()) + 1
		vm.list(int64(n))
		vm.alloc(int64(n)*objectBytes + int64(len(a[0].str())))
		o := &object{box: true}
		for _, s := range strings.Split(a[0].str(), a[1].str()) {
			o.l = append(o.l, strValue(s))
		}
		return Value{o: o}
	}, tyStr, tyStr)
	def("join", tyStr, func(vm *VM, a []Value) Value {
		n := 0
		for i, e := range a[0].o.l {
			if i > 0 {
				n += len(a[1].str())
			}
			n += len(e.str())
			vm.size(n)
		}
		vm.spend(int64(len(a[0].o.l)))
		l := make([]string, 0, len(a[0].o.l))
		for _, e := range a[0].o.l {
			l = append(l, e.str())
		}
		return vm.str(strings.Join(l, a[1].str()))
	}, listOf(tyStr), tyStr)

	def("now", tyDur, func(vm *VM, _ []Value) Value { return Value{n: int64(vm.env.Now)} })
	def("wall", tyInt, func(vm *VM, _ []Value) Value { return Value{n: vm.env.Wall} })
	def("fail", tyVoid, func(vm *VM, a []Value) Value {
		vm.fault(FaultRaised, "%s", cut(a[0].str(), 200))
		return Value{}
	}, tyStr)
	def("expect", tyVoid, func(vm *VM, a []Value) Value {
		if a[0].n == 0 {
			vm.fault(FaultExpect, "not so")
		}
		return Value{}
	}, tyBool).test = true
	def("push", tyVoid, nil, list, varT).op = opPush
	def("remove", tyVoid, nil, dict, varK).op = opRemove

	life := func(v Value) time.Duration { return time.Duration(v.n) }
	effect("keep_warm", func(a []Value) Advice { return Advice{Function: a[0].str(), Copies: a[1].n, For: life(a[2])} }, tyStr, tyInt, tyDur)
	effect("tenant_weight", func(a []Value) Advice { return Advice{Tenant: a[0].str(), Factor: a[1].float(), For: life(a[2])} }, tyStr, tyFloat, tyDur)
	effect("tenant_cap", func(a []Value) Advice { return Advice{Tenant: a[0].str(), Factor: a[1].float(), For: life(a[2])} }, tyStr, tyFloat, tyDur)
	effect("prefer", func(a []Value) Advice { return Advice{Worker: a[0].str(), For: life(a[1])} }, tyStr, tyDur)
	effect("avoid", func(a []Value) Advice { return Advice{Worker: a[0].str(), For: life(a[1])} }, tyStr, tyDur)
	effect("refuse", func(a []Value) Advice { return Advice{Text: a[0].str()} }, tyStr)
	effect("annotate", func(a []Value) Advice { return Advice{Key: a[0].str(), Text: a[1].str()} }, tyStr, tyStr)
	effect("notify", func(a []Value) Advice { return Advice{Key: a[0].str(), Text: a[1].str()} }, tyStr, tyStr)
	effect("log", func(a []Value) Advice { return Advice{Text: a[0].str()} }, tyStr)
}

func cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "…"
}

// unify binds the variables of a parameter's type so that it is the argument's.
func unify(p, a *Type, vars map[*Type]*Type) bool {
	switch p {
	case varT, varK, varV:
		if old := vars[p]; old != nil {
			return same(old, a)
		}
		vars[p] = a
		return a != tyVoid
	}
	if a == tyBad {
		return true
	}
	if p.name != a.name || p.rec != a.rec {
		return false
	}
	return (p.elem == nil || unify(p.elem, a.elem, vars)) && (p.key == nil || unify(p.key, a.key, vars))
}

func substitute(t *Type, vars map[*Type]*Type) *Type {
	switch {
	case vars[t] != nil:
		return vars[t]
	case t == varT || t == varK || t == varV:
		return tyBad
	case t.name == "list":
		return listOf(substitute(t.elem, vars))
	case t.name == "map":
		return mapOf(substitute(t.key, vars), substitute(t.elem, vars))
	}
	return t
}
