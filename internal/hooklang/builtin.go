package hooklang

import "unicode/utf8"

// builtin is a function of the language itself, with one signature or several. docs/hooks.md describes each.
type builtin struct {
	name       string
	signatures []*signature
}

type signature struct {
	params        []*Type // T, K and V stand for any type
	result        *Type
	run           func(vm *VM, a []Value) Value
	op            opcode // instead of run, where the VM does it itself
	effect        bool
	testOnly      bool // in tests only
	takesFunction bool // the last argument is the name of a function that reports whether one entry comes before another
}

// varT, varK and varV are type variables: in a signature they stand for any type, the same one each time.
var (
	varT, varK, varV = &Type{name: "T"}, &Type{name: "K"}, &Type{name: "V"}
)

var builtins = map[string]*builtin{}

// define adds a signature to a builtin; of several the first that fits is taken. run may change no list or map that
// it is given, and charges for what costs more than a step.
func define(name string, result *Type, run func(vm *VM, a []Value) Value, params ...*Type) *signature {
	b := builtins[name]
	if b == nil {
		b = &builtin{name: name}
		builtins[name] = b
	}
	s := &signature{params: params, result: result, run: run}
	b.signatures = append(b.signatures, s)
	return s
}

// adviceBytes is what a piece of advice counts as memory, besides its text.
const adviceBytes = 160

// defineEffect adds a builtin that gives advice.
func defineEffect(name string, build func(a []Value) Advice, params ...*Type) {
	define(name, typeVoid, func(vm *VM, a []Value) Value {
		if len(vm.advice) >= vm.limits.Effects {
			vm.fault(FaultEffects, "more than %d pieces of advice", vm.limits.Effects)
		}
		d := build(a)
		d.Kind = name
		vm.advice = append(vm.advice, d)
		vm.chargeMemory(int64(adviceBytes + len(d.Text)))
		return Value{}
	}, params...).effect = true
}

// cut shortens a text to some n bytes, between characters.
func cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "…"
}
