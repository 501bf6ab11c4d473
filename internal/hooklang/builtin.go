package hooklang

import "unicode/utf8"

// builtin is a predeclared function, with one signature or several. docs/hooks.md describes each.
type builtin struct {
	name       string
	signatures []*signature
}

// signature is one list of parameter types that a builtin accepts, with its implementation.
type signature struct {
	params        []*Type // may contain the type variables T, K and V
	result        *Type
	run           func(vm *VM, a []Value) Value
	op            opcode // set instead of run where the VM has an instruction for the builtin
	effect        bool   // gives advice
	testOnly      bool   // may be called in tests only
	takesFunction bool   // the last argument names a function that reports whether one entry comes before another
}

// varT, varK and varV are type variables: each stands for any type, and for the same type
// throughout one call.
var (
	varT, varK, varV = &Type{name: "T"}, &Type{name: "K"}, &Type{name: "V"}
)

// builtins holds all builtins by name.
var builtins = map[string]*builtin{}

// defineBuiltin adds a signature to a builtin. A call uses the first signature that matches. run
// must not change a list or map that it gets as an argument, and charges fuel for work beyond the
// cost of one instruction.
func defineBuiltin(name string, result *Type, run func(vm *VM, a []Value) Value, params ...*Type) *signature {
	b := builtins[name]
	if b == nil {
		b = &builtin{name: name}
		builtins[name] = b
	}
	s := &signature{params: params, result: result, run: run}
	b.signatures = append(b.signatures, s)
	return s
}

// adviceOverheadBytes is the memory charged for one item of advice, in addition to its text.
const adviceOverheadBytes = 160

// defineEffect defines a builtin that gives advice. build makes the advice from the arguments.
func defineEffect(name string, build func(a []Value) Advice, params ...*Type) {
	defineBuiltin(name, typeVoid, func(vm *VM, a []Value) Value {
		if len(vm.advice) >= vm.limits.Effects {
			vm.fault(FaultEffects, "more than %d items of advice", vm.limits.Effects)
		}
		advice := build(a)
		advice.Kind = name
		vm.advice = append(vm.advice, advice)
		vm.chargeMemory(int64(adviceOverheadBytes + len(advice.Text)))
		return Value{}
	}, params...).effect = true
}

// truncate shortens s to at most n bytes and an ellipsis, without splitting a character.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "…"
}
