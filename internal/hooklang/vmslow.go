package hooklang

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// execSlow carries out the instructions that need not be fastest, with the operands on vm.stack, and returns the
// index of the next one.
func (vm *VM) execSlow(in instruction, base, pc int, code []instruction) int {
	switch in.op {
	case opIndexMap, opSetList, opSetMap, opPush, opRemove:
		vm.accessCollection(in, base)
	case opList, opMap, opRecord:
		vm.buildComposite(in)
	case opAddStr, opAddList, opLtStr, opLeStr, opGtStr, opGeStr, opEq, opNe, opInStr, opInList, opInMap:
		vm.combine(in)
	case opNegInt, opNegFloat, opMulInt, opDivInt, opModInt, opDivDur:
		vm.integerArithmetic(in)
	case opAddFloat, opSubFloat, opMulFloat, opDivFloat:
		vm.floatArithmetic(in)
	case opIterate:
		v := vm.pop()
		v.share()
		vm.stack[base+int(in.a)+1] = v.share() // twice: a change of the variable leaves what is run over
		vm.stack[base+int(in.a)+2] = Value{}
	case opNextMap:
		return vm.nextMapEntry(in, base, pc, code)
	case opRange:
		to, from := vm.pop(), vm.pop()
		vm.stack[base+int(in.a)+1] = from
		vm.stack[base+int(in.a)+2] = to
	case opBuiltin:
		n := int(in.b & 0xff)
		v := vm.program.natives[in.a](vm, vm.stack[len(vm.stack)-n:])
		vm.stack = vm.stack[:len(vm.stack)-n]
		if in.b>>8 != 0 {
			vm.push(v)
		}
	case opSort:
		vm.sortList(vm.program.funcs[in.a])
	case opRun:
		vm.push(vm.runInTest(in, vm.pop()))
	default:
		panic(fmt.Sprintf("hook: no such instruction: %d", in.op))
	}
	return pc
}

// nextMapEntry begins the next turn of a loop over a map, or ends it. The instruction behind it has the slot of the key.
func (vm *VM) nextMapEntry(in instruction, base, pc int, code []instruction) int {
	o, cur := vm.stack[base+int(in.b)+1].object, &vm.stack[base+int(in.b)+2]
	if cur.bits >= int64(len(o.keys)) {
		return int(in.a)
	}
	if k := code[pc].a; k >= 0 {
		vm.stack[base+int(k)] = o.keys[cur.bits]
		vm.stack[base+int(in.b)] = o.items[cur.bits].share()
	} else {
		vm.stack[base+int(in.b)] = o.keys[cur.bits]
	}
	cur.bits++
	return pc + 1
}

// sortList replaces the list on the stack by a sorted copy.
func (vm *VM) sortList(less *function) {
	o := vm.cloneCollection(vm.pop().object)
	vm.push(Value{object: o}) // where a fault's stack looks, and nothing else does
	vm.mergeSort(less, o.items, make([]Value, len(o.items)))
	vm.stack[len(vm.stack)-1] = Value{object: o}
}

// accessCollection reads an entry of a map, or changes a list or map of a variable.
func (vm *VM) accessCollection(in instruction, base int) {
	switch in.op {
	case opIndexMap:
		k, m := vm.pop(), vm.pop()
		vm.chargeFuel(4)
		i, ok := m.object.find(k)
		if !ok {
			vm.fault(FaultKey, "no entry at %s: ask with in, or get(map, key, otherwise)", keyText(k))
		}
		vm.push(m.object.items[i])
	case opSetList:
		v, i := vm.pop(), vm.pop().bits
		o := vm.ownedCollection(base, in)
		if i < 0 || i >= int64(len(o.items)) {
			vm.fault(FaultIndex, "entry %d of %d", i, len(o.items))
		}
		o.items[i] = v.share()
	case opSetMap:
		v, k := vm.pop(), vm.pop()
		vm.putMapEntry(vm.ownedCollection(base, in), k, v)
	case opPush:
		v := vm.pop()
		o := vm.ownedCollection(base, in)
		vm.checkSize(len(o.items) + 1)
		vm.chargeMemory(32)
		o.items = append(o.items, v.share())
	case opRemove:
		k := vm.pop()
		o := vm.ownedCollection(base, in)
		if i, ok := o.find(k); ok {
			vm.chargeFuel(4 + int64(len(o.keys)-i)/8)
			o.keys, o.items = slices.Delete(o.keys, i, i+1), slices.Delete(o.items, i, i+1)
		}
	}
}

// buildComposite makes a list, map or record of values on the stack.
func (vm *VM) buildComposite(in instruction) {
	switch in.op {
	case opList:
		n := int(in.a)
		vm.chargeList(int64(n))
		o := &object{collection: true, items: slices.Clone(vm.stack[len(vm.stack)-n:])}
		for _, e := range o.items {
			e.share()
		}
		vm.stack = vm.stack[:len(vm.stack)-n]
		vm.push(Value{object: o})
	case opMap:
		n := int(in.a)
		vm.chargeList(2 * int64(n))
		o := &object{collection: true}
		l := vm.stack[len(vm.stack)-2*n:]
		for i := 0; i < n; i++ {
			vm.putMapEntry(o, l[2*i], l[2*i+1])
		}
		vm.stack = vm.stack[:len(vm.stack)-2*n]
		vm.push(Value{object: o})
	case opRecord:
		t := &vm.program.templates[in.a]
		vm.chargeMemory(objectBytes + 16*int64(len(t.values)))
		o := &object{items: slices.Clone(t.values)}
		l := vm.stack[len(vm.stack)-len(t.fields):]
		for i, f := range t.fields {
			o.items[f] = l[i]
		}
		vm.stack = vm.stack[:len(vm.stack)-len(t.fields)]
		vm.push(Value{object: o})
	}
}

// combine joins, compares and searches strings, lists and maps.
func (vm *VM) combine(in instruction) {
	switch in.op {
	case opAddStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.checkSize(len(x) + len(y))
		vm.push(vm.newString(x + y))
	case opAddList:
		y, x := vm.pop().object, vm.pop().object
		vm.chargeList(int64(len(x.items) + len(y.items)))
		o := &object{collection: true, items: slices.Concat(x.items, y.items)}
		for _, e := range o.items {
			e.share()
		}
		vm.push(Value{object: o})
	case opLtStr, opLeStr, opGtStr, opGeStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.chargeFuel(int64(min(len(x), len(y))) / 16)
		c := strings.Compare(x, y)
		vm.push(boolValue(map[opcode]bool{opLtStr: c < 0, opLeStr: c <= 0, opGtStr: c > 0, opGeStr: c >= 0}[in.op]))
	case opEq, opNe:
		y, x := vm.pop(), vm.pop()
		vm.chargeFuel(min(traversalCost(x), traversalCost(y)))
		vm.push(boolValue(equal(vm.program.types[in.a], x, y) == (in.op == opEq)))
	case opInStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.chargeFuel(int64(len(y)) / 8)
		vm.push(boolValue(strings.Contains(y, x)))
	case opInList:
		y, x := vm.pop(), vm.pop()
		vm.chargeFuel(traversalCost(y))
		t := vm.program.types[in.a]
		vm.push(boolValue(slices.ContainsFunc(y.object.items, func(v Value) bool { return equal(t, v, x) })))
	case opInMap:
		y, x := vm.pop(), vm.pop()
		vm.chargeFuel(4)
		_, ok := y.object.find(x)
		vm.push(boolValue(ok))
	}
}

// integerArithmetic does arithmetic of ints and durations that may fail, and negates.
func (vm *VM) integerArithmetic(in instruction) {
	switch in.op {
	case opNegInt:
		v := vm.pop()
		if v.bits == math.MinInt64 {
			vm.fault(FaultOverflow, "-(%d)", v.bits)
		}
		vm.push(Value{bits: -v.bits})
	case opNegFloat:
		vm.push(vm.finite(-vm.pop().float()))
	case opMulInt:
		y, x := vm.pop().bits, vm.pop().bits
		z := x * y
		if x != 0 && (z/x != y || x == -1 && y == math.MinInt64) {
			vm.fault(FaultOverflow, "%d * %d", x, y)
		}
		vm.push(Value{bits: z})
	case opDivInt, opModInt:
		y, x := vm.pop().bits, vm.pop().bits
		if y == 0 {
			vm.fault(FaultDivision, "%d by 0", x)
		}
		if y == -1 { // the one quotient that does not fit
			if in.op == opModInt {
				vm.push(Value{})
				break
			}
			if x == math.MinInt64 {
				vm.fault(FaultOverflow, "%d / %d", x, y)
			}
		}
		if in.op == opDivInt {
			vm.push(Value{bits: x / y})
		} else {
			vm.push(Value{bits: x % y})
		}
	case opDivDur:
		y, x := vm.pop().bits, vm.pop().bits
		if y == 0 {
			vm.fault(FaultDivision, "a duration by none")
		}
		vm.push(floatValue(float64(x) / float64(y)))
	}
}

// floatArithmetic does arithmetic of floats. A result that is not finite is a fault.
func (vm *VM) floatArithmetic(in instruction) {
	y, x := vm.pop().float(), vm.pop().float()
	switch in.op {
	case opAddFloat:
		x += y
	case opSubFloat:
		x -= y
	case opMulFloat:
		x *= y
	default:
		if y == 0 {
			vm.fault(FaultDivision, "%s by 0", floatText(x))
		}
		x /= y
	}
	vm.push(vm.finite(x))
}

func keyText(k Value) string {
	if k.object != nil {
		return quote(cut(k.object.text, 80))
	}
	return fmt.Sprint(k.bits)
}

func (vm *VM) putMapEntry(o *object, k, v Value) {
	i, ok := o.find(k)
	vm.chargeFuel(4)
	if ok {
		o.items[i] = v.share()
		return
	}
	vm.checkSize(len(o.items) + 1)
	vm.chargeFuel(int64(len(o.keys)-i) / 8)
	vm.chargeMemory(64)
	o.keys, o.items = slices.Insert(o.keys, i, k), slices.Insert(o.items, i, v.share())
}

// mergeSort sorts stably. Which entries are compared depends on the answers, how many never does by more than n log
// n: a comparison that contradicts itself gives some order, and ends.
func (vm *VM) mergeSort(less *function, l, tmp []Value) {
	if len(l) < 2 {
		return
	}
	m := len(l) / 2
	vm.mergeSort(less, l[:m], tmp[:m])
	vm.mergeSort(less, l[m:], tmp[m:])
	copy(tmp, l)
	a, b := tmp[:m], tmp[m:len(l)]
	for i := range l {
		if len(a) == 0 || len(b) > 0 && vm.exec(less, []Value{b[0], a[0]}).bits != 0 {
			l[i], b = b[0], b[1:]
		} else {
			l[i], a = a[0], a[1:]
		}
	}
}
