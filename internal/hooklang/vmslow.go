package hooklang

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// execSlow executes an instruction that is not in the fast path of exec, with its operands on
// vm.stack, and returns the index of the next instruction.
func (vm *VM) execSlow(instr instruction, base, pc int, code []instruction) int {
	switch instr.op {
	case opIndexMap, opSetList, opSetMap, opPush, opRemove:
		vm.accessCollection(instr, base)
	case opList, opMap, opRecord:
		vm.buildComposite(instr)
	case opAddStr, opAddList, opLtStr, opLeStr, opGtStr, opGeStr, opEq, opNe, opInStr, opInList, opInMap:
		vm.combine(instr)
	case opNegInt, opNegFloat, opMulInt, opDivInt, opModInt, opDivDur:
		vm.integerArithmetic(instr)
	case opAddFloat, opSubFloat, opMulFloat, opDivFloat:
		vm.floatArithmetic(instr)
	case opIterate:
		v := vm.pop()
		// Sharing the collection twice makes a change of the variable copy it, so that the loop is
		// not affected.
		v.share()
		vm.stack[base+int(instr.a)+1] = v.share()
		vm.stack[base+int(instr.a)+2] = Value{}
	case opNextMap:
		return vm.nextMapEntry(instr, base, pc, code)
	case opRange:
		to, from := vm.pop(), vm.pop()
		vm.stack[base+int(instr.a)+1] = from
		vm.stack[base+int(instr.a)+2] = to
	case opBuiltin:
		n := int(instr.b & 0xff)
		v := vm.program.natives[instr.a](vm, vm.stack[len(vm.stack)-n:])
		vm.stack = vm.stack[:len(vm.stack)-n]
		if instr.b>>8 != 0 {
			vm.push(v)
		}
	case opSort:
		vm.sortList(vm.program.funcs[instr.a])
	case opRun:
		vm.push(vm.runInTest(instr, vm.pop()))
	default:
		panic(fmt.Sprintf("hooklang: unknown opcode %d", instr.op))
	}
	return pc
}

// nextMapEntry starts the next iteration of a loop over a map, or ends the loop. Operand a of the
// following instruction is the slot of the key, or -1 if the loop iterates over keys only.
func (vm *VM) nextMapEntry(instr instruction, base, pc int, code []instruction) int {
	o, cursor := vm.stack[base+int(instr.b)+1].object, &vm.stack[base+int(instr.b)+2]
	if cursor.bits >= int64(len(o.keys)) {
		return int(instr.a)
	}
	if k := code[pc].a; k >= 0 {
		vm.stack[base+int(k)] = o.keys[cursor.bits]
		vm.stack[base+int(instr.b)] = o.items[cursor.bits].share()
	} else {
		vm.stack[base+int(instr.b)] = o.keys[cursor.bits]
	}
	cursor.bits++
	return pc + 1
}

// sortList replaces the list on top of the stack by a sorted copy.
func (vm *VM) sortList(less *function) {
	o := vm.cloneCollection(vm.pop().object)
	vm.push(Value{object: o}) // unfinished until the sort ends; only a fault can see it
	vm.mergeSort(less, o.items, make([]Value, len(o.items)))
	vm.stack[len(vm.stack)-1] = Value{object: o}
}

// accessCollection reads an entry of a map, or modifies the list or map of a variable.
func (vm *VM) accessCollection(instr instruction, base int) {
	switch instr.op {
	case opIndexMap:
		k, m := vm.pop(), vm.pop()
		vm.chargeFuel(4)
		i, ok := m.object.find(k)
		if !ok {
			vm.fault(FaultKey, "the map has no key %s: test with in, or use get(map, key, otherwise)", keyText(k))
		}
		vm.push(m.object.items[i])
	case opSetList:
		v, i := vm.pop(), vm.pop().bits
		o := vm.ownedCollection(base, instr)
		if i < 0 || i >= int64(len(o.items)) {
			vm.fault(FaultIndex, "index %d out of range with length %d", i, len(o.items))
		}
		o.items[i] = v.share()
	case opSetMap:
		v, k := vm.pop(), vm.pop()
		vm.putMapEntry(vm.ownedCollection(base, instr), k, v)
	case opPush:
		v := vm.pop()
		o := vm.ownedCollection(base, instr)
		vm.checkSize(len(o.items) + 1)
		vm.chargeMemory(32)
		o.items = append(o.items, v.share())
	case opRemove:
		k := vm.pop()
		o := vm.ownedCollection(base, instr)
		if i, ok := o.find(k); ok {
			vm.chargeFuel(4 + int64(len(o.keys)-i)/8)
			o.keys, o.items = slices.Delete(o.keys, i, i+1), slices.Delete(o.items, i, i+1)
		}
	}
}

// buildComposite replaces values on the stack by the list, map or record that they make up.
func (vm *VM) buildComposite(instr instruction) {
	switch instr.op {
	case opList:
		n := int(instr.a)
		vm.chargeList(int64(n))
		o := &object{collection: true, items: slices.Clone(vm.stack[len(vm.stack)-n:])}
		for _, e := range o.items {
			e.share()
		}
		vm.stack = vm.stack[:len(vm.stack)-n]
		vm.push(Value{object: o})
	case opMap:
		n := int(instr.a)
		vm.chargeList(2 * int64(n))
		o := &object{collection: true}
		l := vm.stack[len(vm.stack)-2*n:]
		for i := 0; i < n; i++ {
			vm.putMapEntry(o, l[2*i], l[2*i+1])
		}
		vm.stack = vm.stack[:len(vm.stack)-2*n]
		vm.push(Value{object: o})
	case opRecord:
		t := &vm.program.templates[instr.a]
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

// combine concatenates, compares and searches strings, lists and maps, and compares values of all
// types.
func (vm *VM) combine(instr instruction) {
	switch instr.op {
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
		vm.push(boolValue(map[opcode]bool{opLtStr: c < 0, opLeStr: c <= 0, opGtStr: c > 0, opGeStr: c >= 0}[instr.op]))
	case opEq, opNe:
		y, x := vm.pop(), vm.pop()
		vm.push(boolValue(vm.equal(vm.program.types[instr.a], x, y) == (instr.op == opEq)))
	case opInStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.chargeFuel(int64(len(y)) / 8)
		vm.push(boolValue(strings.Contains(y, x)))
	case opInList:
		y, x := vm.pop(), vm.pop()
		vm.push(boolValue(vm.contains(vm.program.types[instr.a], y.object, x)))
	case opInMap:
		y, x := vm.pop(), vm.pop()
		vm.chargeFuel(4)
		_, ok := y.object.find(x)
		vm.push(boolValue(ok))
	}
}

// integerArithmetic executes the arithmetic on ints and durations that is not in the fast path of
// exec, and all negations.
func (vm *VM) integerArithmetic(instr instruction) {
	switch instr.op {
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
			vm.fault(FaultDivision, "%d divided by 0", x)
		}
		if y == -1 { // MinInt64 / -1 is the only quotient that overflows
			if instr.op == opModInt {
				vm.push(Value{})
				break
			}
			if x == math.MinInt64 {
				vm.fault(FaultOverflow, "%d / %d", x, y)
			}
		}
		if instr.op == opDivInt {
			vm.push(Value{bits: x / y})
		} else {
			vm.push(Value{bits: x % y})
		}
	case opDivDur:
		y, x := vm.pop().bits, vm.pop().bits
		if y == 0 {
			vm.fault(FaultDivision, "a duration divided by a duration of 0")
		}
		vm.push(floatValue(float64(x) / float64(y)))
	}
}

// floatArithmetic executes arithmetic on floats. A result that is not finite is a fault.
func (vm *VM) floatArithmetic(instr instruction) {
	y, x := vm.pop().float(), vm.pop().float()
	switch instr.op {
	case opAddFloat:
		x += y
	case opSubFloat:
		x -= y
	case opMulFloat:
		x *= y
	default:
		if y == 0 {
			vm.fault(FaultDivision, "%s divided by 0", floatText(x))
		}
		x /= y
	}
	vm.push(vm.finite(x))
}

// keyText formats the key of a map for a message.
func keyText(k Value) string {
	if k.object != nil {
		return quote(truncate(k.object.text, 80))
	}
	return fmt.Sprint(k.bits)
}

// putMapEntry sets an entry of a map and charges for it.
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

// mergeSort sorts entries stably. An inconsistent comparison function yields an unspecified order,
// but the sort still ends after at most n log n comparisons.
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
