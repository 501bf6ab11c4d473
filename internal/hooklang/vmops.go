package hooklang

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// slow carries out what needs not be fastest, and returns where to go on.
func (vm *VM) slow(in instr, base, pc int, code []instr) int {
	switch in.op {
	case opNegInt:
		v := vm.pop()
		if v.n == math.MinInt64 {
			vm.fault(FaultOverflow, "-(%d)", v.n)
		}
		vm.push(Value{n: -v.n})
	case opNegFloat:
		vm.push(vm.finite(-vm.pop().float()))
	case opMulInt:
		y, x := vm.pop().n, vm.pop().n
		z := x * y
		if x != 0 && (z/x != y || x == -1 && y == math.MinInt64) {
			vm.fault(FaultOverflow, "%d * %d", x, y)
		}
		vm.push(Value{n: z})
	case opDivInt, opModInt:
		y, x := vm.pop().n, vm.pop().n
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
			vm.push(Value{n: x / y})
		} else {
			vm.push(Value{n: x % y})
		}
	case opAddFloat, opSubFloat, opMulFloat, opDivFloat:
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
	case opDivDur:
		y, x := vm.pop().n, vm.pop().n
		if y == 0 {
			vm.fault(FaultDivision, "a duration by none")
		}
		vm.push(floatValue(float64(x) / float64(y)))
	case opAddStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.size(len(x) + len(y))
		vm.push(vm.str(x + y))
	case opAddList:
		y, x := vm.pop().o, vm.pop().o
		vm.list(int64(len(x.l) + len(y.l)))
		o := &object{box: true, l: slices.Concat(x.l, y.l)}
		for _, e := range o.l {
			e.share()
		}
		vm.push(Value{o: o})
	case opLtStr, opLeStr, opGtStr, opGeStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.spend(int64(min(len(x), len(y))) / 16)
		c := strings.Compare(x, y)
		vm.push(boolValue(map[opcode]bool{opLtStr: c < 0, opLeStr: c <= 0, opGtStr: c > 0, opGeStr: c >= 0}[in.op]))
	case opEq, opNe:
		y, x := vm.pop(), vm.pop()
		vm.spend(min(steps(x), steps(y)))
		vm.push(boolValue(equal(vm.p.types[in.a], x, y) == (in.op == opEq)))
	case opInStr:
		y, x := vm.pop().str(), vm.pop().str()
		vm.spend(int64(len(y)) / 8)
		vm.push(boolValue(strings.Contains(y, x)))
	case opInList:
		y, x := vm.pop(), vm.pop()
		vm.spend(steps(y))
		t := vm.p.types[in.a]
		vm.push(boolValue(slices.ContainsFunc(y.o.l, func(v Value) bool { return equal(t, v, x) })))
	case opInMap:
		y, x := vm.pop(), vm.pop()
		vm.spend(4)
		_, ok := y.o.find(x)
		vm.push(boolValue(ok))
	case opList:
		n := int(in.a)
		vm.list(int64(n))
		o := &object{box: true, l: slices.Clone(vm.stack[len(vm.stack)-n:])}
		for _, e := range o.l {
			e.share()
		}
		vm.stack = vm.stack[:len(vm.stack)-n]
		vm.push(Value{o: o})
	case opMap:
		n := int(in.a)
		vm.list(2 * int64(n))
		o := &object{box: true}
		l := vm.stack[len(vm.stack)-2*n:]
		for i := 0; i < n; i++ {
			vm.put(o, l[2*i], l[2*i+1])
		}
		vm.stack = vm.stack[:len(vm.stack)-2*n]
		vm.push(Value{o: o})
	case opRecord:
		t := &vm.p.records[in.a]
		vm.alloc(objectBytes + 16*int64(len(t.values)))
		o := &object{l: slices.Clone(t.values)}
		l := vm.stack[len(vm.stack)-len(t.fields):]
		for i, f := range t.fields {
			o.l[f] = l[i]
		}
		vm.stack = vm.stack[:len(vm.stack)-len(t.fields)]
		vm.push(Value{o: o})
	case opIndexMap:
		k, m := vm.pop(), vm.pop()
		vm.spend(4)
		i, ok := m.o.find(k)
		if !ok {
			vm.fault(FaultKey, "no entry at %s: ask with in, or get(map, key, otherwise)", keyText(k))
		}
		vm.push(m.o.l[i])
	case opSetList:
		v, i := vm.pop(), vm.pop().n
		o := vm.own(base, in)
		if i < 0 || i >= int64(len(o.l)) {
			vm.fault(FaultIndex, "entry %d of %d", i, len(o.l))
		}
		o.l[i] = v.share()
	case opSetMap:
		v, k := vm.pop(), vm.pop()
		vm.put(vm.own(base, in), k, v)
	case opPush:
		v := vm.pop()
		o := vm.own(base, in)
		vm.size(len(o.l) + 1)
		vm.alloc(32)
		o.l = append(o.l, v.share())
	case opRemove:
		k := vm.pop()
		o := vm.own(base, in)
		if i, ok := o.find(k); ok {
			vm.spend(4 + int64(len(o.keys)-i)/8)
			o.keys, o.l = slices.Delete(o.keys, i, i+1), slices.Delete(o.l, i, i+1)
		}
	case opIterate:
		v := vm.pop()
		v.share()
		vm.stack[base+int(in.a)+1] = v.share() // twice: a change of the variable leaves what is run over
		vm.stack[base+int(in.a)+2] = Value{}
	case opNextMap:
		o, cur := vm.stack[base+int(in.b)+1].o, &vm.stack[base+int(in.b)+2]
		if cur.n >= int64(len(o.keys)) {
			return int(in.a)
		}
		if k := code[pc].a; k >= 0 {
			vm.stack[base+int(k)] = o.keys[cur.n]
			vm.stack[base+int(in.b)] = o.l[cur.n].share()
		} else {
			vm.stack[base+int(in.b)] = o.keys[cur.n]
		}
		cur.n++
		return pc + 1
	case opRange:
		to, from := vm.pop(), vm.pop()
		vm.stack[base+int(in.a)+1], vm.stack[base+int(in.a)+2] = from, to
	case opBuiltin:
		n := int(in.b & 0xff)
		v := vm.p.natives[in.a](vm, vm.stack[len(vm.stack)-n:])
		vm.stack = vm.stack[:len(vm.stack)-n]
		if in.b>>8 != 0 {
			vm.push(v)
		}
	case opSort:
		o := vm.clone(vm.pop().o)
		vm.push(Value{o: o}) // where a fault's stack looks, and nothing else does
		vm.merge(vm.p.funcs[in.a], o.l, make([]Value, len(o.l)))
		vm.stack[len(vm.stack)-1] = Value{o: o}
	case opRun:
		vm.push(vm.runs(in, vm.pop()))
	default:
		panic(fmt.Sprintf("hook: no such instruction: %d", in.op))
	}
	return pc
}

func keyText(k Value) string {
	if k.o != nil {
		return quote(cut(k.o.s, 80))
	}
	return fmt.Sprint(k.n)
}

func (vm *VM) put(o *object, k, v Value) {
	i, ok := o.find(k)
	vm.spend(4)
	if ok {
		o.l[i] = v.share()
		return
	}
	vm.size(len(o.l) + 1)
	vm.spend(int64(len(o.keys)-i) / 8)
	vm.alloc(64)
	o.keys, o.l = slices.Insert(o.keys, i, k), slices.Insert(o.l, i, v.share())
}

// merge sorts stably. Which entries are compared depends on the answers, how many never does by more than n log n: a
// comparison that contradicts itself gives some order, and ends.
func (vm *VM) merge(less *function, l, tmp []Value) {
	if len(l) < 2 {
		return
	}
	m := len(l) / 2
	vm.merge(less, l[:m], tmp[:m])
	vm.merge(less, l[m:], tmp[m:])
	copy(tmp, l)
	a, b := tmp[:m], tmp[m:len(l)]
	for i := range l {
		if len(a) == 0 || len(b) > 0 && vm.exec(less, []Value{b[0], a[0]}).n != 0 {
			l[i], b = b[0], b[1:]
		} else {
			l[i], a = a[0], a[1:]
		}
	}
}

// runs is run in a test: a handler gets fuel of its own, state goes on from run to run, and what it advises is returned.
func (vm *VM) runs(in instr, event Value) Value {
	var h *handler
	for _, pt := range Points {
		if k := vm.p.handlers[pt.Name]; k != nil && k.fn == int(in.a) {
			h = k
		}
	}
	lim := Aside
	if h.point.Inline {
		lim = Inline
	}
	in2 := NewVM()
	in2.Trace = vm.Trace
	res, err := in2.again(vm.p, h, event, &State{vm.p, vm.state}, vm.env, lim)
	if err != nil {
		panic(faulted{err.(*Fault)})
	}
	vm.spend(res.Fuel)
	vm.state = res.State.values
	o := &object{box: true}
	for _, a := range res.Advice {
		o.l = append(o.l, a.value())
	}
	vm.list(int64(len(o.l)))
	return Value{o: o}
}

func (vm *VM) again(p *Program, h *handler, event Value, st *State, env Env, lim Limits) (Result, error) {
	vm.start(p, st, env, lim)
	err := vm.guard(p, func() {
		vm.exec(p.funcs[h.fn], []Value{event})
		vm.settle()
	})
	return Result{Advice: vm.advice, State: vm.left(st), Fuel: lim.Fuel - vm.fuel}, err
}
