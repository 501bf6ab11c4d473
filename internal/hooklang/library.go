package hooklang

import (
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

func init() {
	defineConversions()
	defineOrdering()
	defineCollections()
	defineStrings()
	defineStatements()
	defineEffects()
}

// defineConversions defines len and the conversions between types.
func defineConversions() {
	list, dict := listOf(varT), mapOf(varK, varV)
	length := func(_ *VM, a []Value) Value { return Value{bits: int64(len(a[0].object.items))} }
	defineBuiltin("len", typeInt, func(_ *VM, a []Value) Value { return Value{bits: int64(len(a[0].str()))} }, typeString)
	defineBuiltin("len", typeInt, length, list)
	defineBuiltin("len", typeInt, length, dict)

	for _, t := range []*Type{typeInt, typeFloat, typeDuration, typeBool} {
		defineBuiltin("str", typeString, func(vm *VM, a []Value) Value { return vm.newString(formatValue(t, a[0])) }, t)
	}
	defineBuiltin("str", typeString, func(_ *VM, a []Value) Value { return a[0] }, typeString)

	toInt := func(f func(float64) float64) func(vm *VM, a []Value) Value {
		return func(vm *VM, a []Value) Value {
			x := f(a[0].float())
			if !(x >= -1<<63 && x < 1<<63) {
				vm.fault(FaultRange, "%s does not fit an int", floatText(x))
			}
			return Value{bits: int64(x)}
		}
	}
	defineBuiltin("int", typeInt, toInt(math.Trunc), typeFloat)
	defineBuiltin("floor", typeInt, toInt(math.Floor), typeFloat)
	defineBuiltin("ceil", typeInt, toInt(math.Ceil), typeFloat)
	defineBuiltin("round", typeInt, toInt(math.Round), typeFloat)
	defineBuiltin("float", typeFloat, func(_ *VM, a []Value) Value { return floatValue(float64(a[0].bits)) }, typeInt)
	defineBuiltin("seconds", typeFloat, func(_ *VM, a []Value) Value {
		return floatValue(time.Duration(a[0].bits).Seconds())
	}, typeDuration)
	defineBuiltin("duration", typeDuration, func(vm *VM, a []Value) Value {
		x := a[0].float() * 1e9
		if !(math.Abs(x) < 1<<62) {
			vm.fault(FaultRange, "%s seconds do not fit a duration", floatText(a[0].float()))
		}
		return Value{bits: int64(math.Round(x))}
	}, typeFloat)
}

// defineOrdering defines min, max, sort and abs.
func defineOrdering() {
	for _, t := range []*Type{typeInt, typeFloat, typeDuration, typeString} {
		defineBuiltin("min", t, func(_ *VM, a []Value) Value {
			if compare(t, a[1], a[0]) < 0 {
				return a[1]
			}
			return a[0]
		}, t, t)
		defineBuiltin("max", t, func(_ *VM, a []Value) Value {
			if compare(t, a[1], a[0]) > 0 {
				return a[1]
			}
			return a[0]
		}, t, t)
		defineBuiltin("sort", listOf(t), func(vm *VM, a []Value) Value {
			n := int64(len(a[0].object.items))
			vm.chargeFuel(n * int64(1+math.Log2(float64(n+1))))
			if t == typeString {
				for _, e := range a[0].object.items {
					vm.chargeVisit(e.object)
				}
			}
			o := vm.cloneCollection(a[0].object)
			slices.SortStableFunc(o.items, func(x, y Value) int { return compare(t, x, y) })
			return Value{object: o}
		}, listOf(t))
	}
	for _, t := range []*Type{typeInt, typeDuration} {
		defineBuiltin("abs", t, func(vm *VM, a []Value) Value {
			if a[0].bits == math.MinInt64 {
				vm.fault(FaultRange, "the absolute value of the smallest %s does not fit", t.name)
			}
			return Value{bits: max(a[0].bits, -a[0].bits)}
		}, t)
	}
	defineBuiltin("abs", typeFloat, func(_ *VM, a []Value) Value { return floatValue(math.Abs(a[0].float())) }, typeFloat)
}

// defineCollections defines the builtins that read lists and maps, and slice on strings.
func defineCollections() {
	list, dict := listOf(varT), mapOf(varK, varV)
	defineBuiltin("sort_by", list, nil, list, typeString).takesFunction = true
	defineBuiltin("reverse", list, func(vm *VM, a []Value) Value {
		o := vm.cloneCollection(a[0].object)
		slices.Reverse(o.items)
		return Value{object: o}
	}, list)
	defineBuiltin("slice", list, func(vm *VM, a []Value) Value {
		from, to := vm.sliceBounds(a, len(a[0].object.items))
		o := &object{collection: true}
		vm.chargeList(int64(to - from))
		for _, e := range a[0].object.items[from:to] {
			o.items = append(o.items, e.share())
		}
		return Value{object: o}
	}, list, typeInt, typeInt)
	defineBuiltin("slice", typeString, func(vm *VM, a []Value) Value {
		s := a[0].str()
		from, to := vm.sliceBounds(a, len(s))
		if from < len(s) && !utf8.RuneStart(s[from]) || to < len(s) && !utf8.RuneStart(s[to]) {
			vm.fault(FaultIndex, "slice %d to %d splits a character", from, to)
		}
		return vm.newString(s[from:to])
	}, typeString, typeInt, typeInt)

	defineBuiltin("keys", listOf(varK), func(vm *VM, a []Value) Value {
		vm.chargeList(int64(len(a[0].object.keys)))
		return Value{object: &object{collection: true, items: slices.Clone(a[0].object.keys)}}
	}, dict)
	defineBuiltin("values", listOf(varV), func(vm *VM, a []Value) Value {
		vm.chargeList(int64(len(a[0].object.items)))
		o := &object{collection: true}
		for _, e := range a[0].object.items {
			o.items = append(o.items, e.share())
		}
		return Value{object: o}
	}, dict)
	defineBuiltin("get", varV, func(_ *VM, a []Value) Value {
		if i, ok := a[0].object.find(a[1]); ok {
			return a[0].object.items[i]
		}
		return a[2]
	}, dict, varK, varV)
}

// defineStrings defines the builtins that work on strings.
func defineStrings() {
	onTwoStrings := func(f func(s, t string) Value) func(vm *VM, a []Value) Value {
		return func(vm *VM, a []Value) Value {
			vm.chargeFuel(int64(len(a[0].str())) / 16)
			return f(a[0].str(), a[1].str())
		}
	}
	defineBuiltin("starts", typeBool, onTwoStrings(func(s, t string) Value {
		return boolValue(strings.HasPrefix(s, t))
	}), typeString, typeString)
	defineBuiltin("ends", typeBool, onTwoStrings(func(s, t string) Value {
		return boolValue(strings.HasSuffix(s, t))
	}), typeString, typeString)
	defineBuiltin("find", typeInt, onTwoStrings(func(s, t string) Value {
		return Value{bits: int64(strings.Index(s, t))}
	}), typeString, typeString)
	defineBuiltin("lower", typeString, func(vm *VM, a []Value) Value {
		return vm.newString(strings.ToLower(a[0].str()))
	}, typeString)
	defineBuiltin("trim", typeString, func(vm *VM, a []Value) Value {
		return vm.newString(strings.TrimSpace(a[0].str()))
	}, typeString)
	defineBuiltin("hash", typeInt, func(vm *VM, a []Value) Value {
		vm.chargeFuel(int64(len(a[0].str())) / 16)
		return Value{bits: int64(xxhash.Sum64String(a[0].str()) >> 1)}
	}, typeString)
	defineSplitAndJoin()
}

// defineSplitAndJoin defines the conversions between strings and lists of strings.
func defineSplitAndJoin() {
	defineBuiltin("split", listOf(typeString), func(vm *VM, a []Value) Value {
		if a[1].str() == "" {
			vm.fault(FaultRange, "split: the separator is empty")
		}
		vm.chargeFuel(int64(len(a[0].str())) / 4)
		n := strings.Count(a[0].str(), a[1].str()) + 1
		vm.chargeList(int64(n))
		vm.chargeMemory(int64(n)*objectBytes + int64(len(a[0].str())))
		o := &object{collection: true}
		for _, s := range strings.Split(a[0].str(), a[1].str()) {
			o.items = append(o.items, strValue(s))
		}
		return Value{object: o}
	}, typeString, typeString)
	defineBuiltin("join", typeString, func(vm *VM, a []Value) Value {
		n := 0
		for i, e := range a[0].object.items {
			if i > 0 {
				n += len(a[1].str())
			}
			n += len(e.str())
			vm.checkSize(n)
		}
		vm.chargeFuel(int64(len(a[0].object.items)))
		l := make([]string, 0, len(a[0].object.items))
		for _, e := range a[0].object.items {
			l = append(l, e.str())
		}
		return vm.newString(strings.Join(l, a[1].str()))
	}, listOf(typeString), typeString)
}

// defineStatements defines the clock, fail and expect, and the builtins that change lists and maps.
func defineStatements() {
	list, dict := listOf(varT), mapOf(varK, varV)
	defineBuiltin("now", typeDuration, func(vm *VM, _ []Value) Value { return Value{bits: int64(vm.env.Now)} })
	defineBuiltin("wall", typeInt, func(vm *VM, _ []Value) Value { return Value{bits: vm.env.Wall} })
	defineBuiltin("fail", typeVoid, func(vm *VM, a []Value) Value {
		vm.fault(FaultRaised, "%s", truncate(a[0].str(), 200))
		return Value{}
	}, typeString)
	defineBuiltin("expect", typeVoid, func(vm *VM, a []Value) Value {
		if a[0].bits == 0 {
			vm.fault(FaultExpect, "the condition is false")
		}
		return Value{}
	}, typeBool).testOnly = true
	defineBuiltin("push", typeVoid, nil, list, varT).op = opPush
	defineBuiltin("remove", typeVoid, nil, dict, varK).op = opRemove
}

// defineEffects defines the builtins that give advice.
func defineEffects() {
	lifetime := func(v Value) time.Duration { return time.Duration(v.bits) }
	defineEffect("keep_warm", func(a []Value) Advice {
		return Advice{Function: a[0].str(), Copies: a[1].bits, Lifetime: lifetime(a[2])}
	}, typeString, typeInt, typeDuration)
	defineEffect("tenant_weight", func(a []Value) Advice {
		return Advice{Tenant: a[0].str(), Factor: a[1].float(), Lifetime: lifetime(a[2])}
	}, typeString, typeFloat, typeDuration)
	defineEffect("tenant_cap", func(a []Value) Advice {
		return Advice{Tenant: a[0].str(), Factor: a[1].float(), Lifetime: lifetime(a[2])}
	}, typeString, typeFloat, typeDuration)
	defineEffect("prefer", func(a []Value) Advice {
		return Advice{Worker: a[0].str(), Lifetime: lifetime(a[1])}
	}, typeString, typeDuration)
	defineEffect("avoid", func(a []Value) Advice {
		return Advice{Worker: a[0].str(), Lifetime: lifetime(a[1])}
	}, typeString, typeDuration)
	defineEffect("refuse", func(a []Value) Advice {
		return Advice{Text: a[0].str()}
	}, typeString)
	defineEffect("annotate", func(a []Value) Advice {
		return Advice{Key: a[0].str(), Text: a[1].str()}
	}, typeString, typeString)
	defineEffect("notify", func(a []Value) Advice {
		return Advice{Key: a[0].str(), Text: a[1].str()}
	}, typeString, typeString)
	defineEffect("log", func(a []Value) Advice {
		return Advice{Text: a[0].str()}
	}, typeString)
}
