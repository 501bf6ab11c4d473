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
	defineOrder()
	defineCollections()
	defineStrings()
	defineStatements()
	defineEffects()
}

// defineConversions defines lengths and conversions.
func defineConversions() {
	list, dict := listOf(varT), mapOf(varK, varV)
	length := func(_ *VM, a []Value) Value { return Value{bits: int64(len(a[0].object.items))} }
	define("len", typeInt, func(_ *VM, a []Value) Value { return Value{bits: int64(len(a[0].str()))} }, typeString)
	define("len", typeInt, length, list)
	define("len", typeInt, length, dict)

	for _, t := range []*Type{typeInt, typeFloat, typeDuration, typeBool} {
		define("str", typeString, func(vm *VM, a []Value) Value { return vm.newString(text(t, a[0])) }, t)
	}
	define("str", typeString, func(_ *VM, a []Value) Value { return a[0] }, typeString)

	whole := func(f func(float64) float64) func(vm *VM, a []Value) Value {
		return func(vm *VM, a []Value) Value {
			x := f(a[0].float())
			if !(x >= -1<<63 && x < 1<<63) {
				vm.fault(FaultRange, "%s does not fit an int", floatText(x))
			}
			return Value{bits: int64(x)}
		}
	}
	define("int", typeInt, whole(math.Trunc), typeFloat)
	define("floor", typeInt, whole(math.Floor), typeFloat)
	define("ceil", typeInt, whole(math.Ceil), typeFloat)
	define("round", typeInt, whole(math.Round), typeFloat)
	define("float", typeFloat, func(_ *VM, a []Value) Value { return floatValue(float64(a[0].bits)) }, typeInt)
	define("seconds", typeFloat, func(_ *VM, a []Value) Value {
		return floatValue(time.Duration(a[0].bits).Seconds())
	}, typeDuration)
	define("duration", typeDuration, func(vm *VM, a []Value) Value {
		x := a[0].float() * 1e9
		if !(math.Abs(x) < 1<<62) {
			vm.fault(FaultRange, "%s seconds are too long", floatText(a[0].float()))
		}
		return Value{bits: int64(math.Round(x))}
	}, typeFloat)
}

// defineOrder defines minima, maxima, sorting and magnitudes.
func defineOrder() {
	for _, t := range []*Type{typeInt, typeFloat, typeDuration, typeString} {
		define("min", t, func(_ *VM, a []Value) Value {
			if compare(t, a[1], a[0]) < 0 {
				return a[1]
			}
			return a[0]
		}, t, t)
		define("max", t, func(_ *VM, a []Value) Value {
			if compare(t, a[1], a[0]) > 0 {
				return a[1]
			}
			return a[0]
		}, t, t)
		define("sort", listOf(t), func(vm *VM, a []Value) Value {
			n := int64(len(a[0].object.items))
			vm.chargeFuel(n * int64(1+math.Log2(float64(n+1))))
			if t == typeString {
				vm.chargeFuel(traversalCost(a[0]))
			}
			o := vm.cloneCollection(a[0].object)
			slices.SortStableFunc(o.items, func(x, y Value) int { return compare(t, x, y) })
			return Value{object: o}
		}, listOf(t))
	}
	for _, t := range []*Type{typeInt, typeDuration} {
		define("abs", t, func(vm *VM, a []Value) Value {
			if a[0].bits == math.MinInt64 {
				vm.fault(FaultRange, "the least %s has no positive", t.name)
			}
			return Value{bits: max(a[0].bits, -a[0].bits)}
		}, t)
	}
	define("abs", typeFloat, func(_ *VM, a []Value) Value { return floatValue(math.Abs(a[0].float())) }, typeFloat)
}

// defineCollections defines what reads lists and maps, and slices of strings.
func defineCollections() {
	list, dict := listOf(varT), mapOf(varK, varV)
	define("sort_by", list, nil, list, typeString).takesFunction = true
	define("reverse", list, func(vm *VM, a []Value) Value {
		o := vm.cloneCollection(a[0].object)
		slices.Reverse(o.items)
		return Value{object: o}
	}, list)
	define("slice", list, func(vm *VM, a []Value) Value {
		from, to := vm.sliceBounds(a, len(a[0].object.items))
		o := &object{collection: true}
		vm.chargeList(int64(to - from))
		for _, e := range a[0].object.items[from:to] {
			o.items = append(o.items, e.share())
		}
		return Value{object: o}
	}, list, typeInt, typeInt)
	define("slice", typeString, func(vm *VM, a []Value) Value {
		s := a[0].str()
		from, to := vm.sliceBounds(a, len(s))
		if from < len(s) && !utf8.RuneStart(s[from]) || to < len(s) && !utf8.RuneStart(s[to]) {
			vm.fault(FaultIndex, "slice %d to %d cuts a character in two", from, to)
		}
		return vm.newString(s[from:to])
	}, typeString, typeInt, typeInt)

	define("keys", listOf(varK), func(vm *VM, a []Value) Value {
		vm.chargeList(int64(len(a[0].object.keys)))
		return Value{object: &object{collection: true, items: slices.Clone(a[0].object.keys)}}
	}, dict)
	define("values", listOf(varV), func(vm *VM, a []Value) Value {
		vm.chargeList(int64(len(a[0].object.items)))
		o := &object{collection: true}
		for _, e := range a[0].object.items {
			o.items = append(o.items, e.share())
		}
		return Value{object: o}
	}, dict)
	define("get", varV, func(_ *VM, a []Value) Value {
		if i, ok := a[0].object.find(a[1]); ok {
			return a[0].object.items[i]
		}
		return a[2]
	}, dict, varK, varV)
}

// defineStrings defines what reads strings.
func defineStrings() {
	text := func(f func(s, t string) Value) func(vm *VM, a []Value) Value {
		return func(vm *VM, a []Value) Value {
			vm.chargeFuel(int64(len(a[0].str())) / 16)
			return f(a[0].str(), a[1].str())
		}
	}
	define("starts", typeBool, text(func(s, t string) Value {
		return boolValue(strings.HasPrefix(s, t))
	}), typeString, typeString)
	define("ends", typeBool, text(func(s, t string) Value {
		return boolValue(strings.HasSuffix(s, t))
	}), typeString, typeString)
	define("find", typeInt, text(func(s, t string) Value {
		return Value{bits: int64(strings.Index(s, t))}
	}), typeString, typeString)
	define("lower", typeString, func(vm *VM, a []Value) Value {
		return vm.newString(strings.ToLower(a[0].str()))
	}, typeString)
	define("trim", typeString, func(vm *VM, a []Value) Value {
		return vm.newString(strings.TrimSpace(a[0].str()))
	}, typeString)
	define("hash", typeInt, func(vm *VM, a []Value) Value {
		vm.chargeFuel(int64(len(a[0].str())) / 16)
		return Value{bits: int64(xxhash.Sum64String(a[0].str()) >> 1)}
	}, typeString)
	defineSplitAndJoin()
}

func defineSplitAndJoin() {
	define("split", listOf(typeString), func(vm *VM, a []Value) Value {
		if a[1].str() == "" {
			vm.fault(FaultRange, "split at nothing")
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
	define("join", typeString, func(vm *VM, a []Value) Value {
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

// defineStatements defines the clock, faults, and changes of lists and maps.
func defineStatements() {
	list, dict := listOf(varT), mapOf(varK, varV)
	define("now", typeDuration, func(vm *VM, _ []Value) Value { return Value{bits: int64(vm.env.Now)} })
	define("wall", typeInt, func(vm *VM, _ []Value) Value { return Value{bits: vm.env.Wall} })
	define("fail", typeVoid, func(vm *VM, a []Value) Value {
		vm.fault(FaultRaised, "%s", cut(a[0].str(), 200))
		return Value{}
	}, typeString)
	define("expect", typeVoid, func(vm *VM, a []Value) Value {
		if a[0].bits == 0 {
			vm.fault(FaultExpect, "not so")
		}
		return Value{}
	}, typeBool).testOnly = true
	define("push", typeVoid, nil, list, varT).op = opPush
	define("remove", typeVoid, nil, dict, varK).op = opRemove
}

// defineEffects defines advice.
func defineEffects() {
	life := func(v Value) time.Duration { return time.Duration(v.bits) }
	defineEffect("keep_warm", func(a []Value) Advice {
		return Advice{Function: a[0].str(), Copies: a[1].bits, Lifetime: life(a[2])}
	}, typeString, typeInt, typeDuration)
	defineEffect("tenant_weight", func(a []Value) Advice {
		return Advice{Tenant: a[0].str(), Factor: a[1].float(), Lifetime: life(a[2])}
	}, typeString, typeFloat, typeDuration)
	defineEffect("tenant_cap", func(a []Value) Advice {
		return Advice{Tenant: a[0].str(), Factor: a[1].float(), Lifetime: life(a[2])}
	}, typeString, typeFloat, typeDuration)
	defineEffect("prefer", func(a []Value) Advice {
		return Advice{Worker: a[0].str(), Lifetime: life(a[1])}
	}, typeString, typeDuration)
	defineEffect("avoid", func(a []Value) Advice {
		return Advice{Worker: a[0].str(), Lifetime: life(a[1])}
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
