package hooklang

import "math"

// exec runs a function to its end and returns its result.
//
// It is the inner loop of the VM, and long on purpose: the frequent instructions are cases of one switch on local
// variables (stack, code, pc), which the compiler keeps in registers. All others are in execSlow, which works on
// vm.stack. A change here is to be measured by BenchmarkHook.
func (vm *VM) exec(fn *function, args []Value) Value {
	vm.stack = append(vm.stack, args...)
	floor := len(vm.frames)
	base := vm.pushFrame(fn, len(args))
	code, pc := fn.code, 0
	st := vm.stack
	for {
		in := code[pc]
		pc++
		if vm.fuel--; vm.fuel < vm.nextCheck {
			vm.frames[len(vm.frames)-1].pc = pc
			vm.checkLimits()
		}
		if vm.Trace != nil {
			if pos := vm.frames[len(vm.frames)-1].function.positions[pc-1]; pos.Line != vm.lastTraced.Line {
				vm.lastTraced = pos
				f := vm.frames[len(vm.frames)-1].function
				vm.Trace(f.name, pos, st[base:base+f.slots])
			}
		}
		n := len(st) - 1
		switch in.op {
		case opConst:
			st = append(st, vm.program.consts[in.a])
		case opInt:
			st = append(st, Value{bits: int64(in.a)})
		case opLoad:
			st = append(st, st[base+int(in.a)])
		case opStore:
			st[base+int(in.a)] = st[n].share()
			st = st[:n]
		case opLoadState:
			st = append(st, vm.state[in.a])
		case opStoreState:
			vm.setState(in.a, st[n].share())
			st = st[:n]
		case opPop:
			st = st[:n]
		case opJump:
			pc = int(in.a)
		case opJumpFalse:
			if st[n].bits == 0 {
				pc = int(in.a)
			}
			st = st[:n]
		case opJumpTrue:
			if st[n].bits != 0 {
				pc = int(in.a)
			}
			st = st[:n]
		case opAndJump:
			if st[n].bits == 0 {
				pc = int(in.a)
			} else {
				st = st[:n]
			}
		case opOrJump:
			if st[n].bits != 0 {
				pc = int(in.a)
			} else {
				st = st[:n]
			}
		case opNot:
			st[n].bits ^= 1
		case opAddIntConst:
			x := st[n].bits
			if x > math.MaxInt64-int64(in.a) {
				vm.savePC(pc)
				vm.fault(FaultOverflow, "%d + %d", x, in.a)
			}
			st[n].bits = x + int64(in.a)
		case opAddInt:
			x, y := st[n-1].bits, st[n].bits
			z := x + y
			if (x^z)&(y^z) < 0 {
				vm.savePC(pc)
				vm.fault(FaultOverflow, "%d + %d", x, y)
			}
			st = st[:n]
			st[n-1].bits = z
		case opSubInt:
			x, y := st[n-1].bits, st[n].bits
			z := x - y
			if (x^y)&(x^z) < 0 {
				vm.savePC(pc)
				vm.fault(FaultOverflow, "%d - %d", x, y)
			}
			st = st[:n]
			st[n-1].bits = z
		case opEqInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits == st[:n+1][n].bits)
		case opNeInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits != st[:n+1][n].bits)
		case opLtInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits < st[:n+1][n].bits)
		case opLeInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits <= st[:n+1][n].bits)
		case opGtInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits > st[:n+1][n].bits)
		case opGeInt:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].bits >= st[:n+1][n].bits)
		case opLtFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() < st[:n+1][n].float())
		case opLeFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() <= st[:n+1][n].float())
		case opGtFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() > st[:n+1][n].float())
		case opGeFloat:
			st = st[:n]
			st[n-1] = boolValue(st[n-1].float() >= st[:n+1][n].float())
		case opField:
			st[n] = st[n].object.items[in.a]
		case opIndexList:
			l, i := st[n-1].object.items, st[n].bits
			if i < 0 || i >= int64(len(l)) {
				vm.savePC(pc)
				vm.fault(FaultIndex, "entry %d of %d", i, len(l))
			}
			st = st[:n]
			st[n-1] = l[i]
		case opNextRange:
			cur := &st[base+int(in.b)+1]
			if cur.bits >= st[base+int(in.b)+2].bits {
				pc = int(in.a)
				break
			}
			st[base+int(in.b)] = Value{bits: cur.bits}
			cur.bits++
		case opNextList:
			o, cur := st[base+int(in.b)+1].object, &st[base+int(in.b)+2]
			if cur.bits >= int64(len(o.items)) {
				pc = int(in.a)
				break
			}
			st[base+int(in.b)] = o.items[cur.bits].share()
			cur.bits++
		case opCall:
			fn := vm.program.funcs[in.a]
			vm.savePC(pc)
			vm.stack = st
			base = vm.pushFrame(fn, int(in.b))
			st = vm.stack
			code, pc = fn.code, 0
		case opReturn, opReturnNothing:
			var v Value
			if in.op == opReturn {
				v = st[n]
			} else if vm.capture != nil {
				*vm.capture = append(*vm.capture, st[base:]...)
			}
			st = st[:base]
			vm.frames = vm.frames[:len(vm.frames)-1]
			if len(vm.frames) == floor {
				vm.stack = st
				return v
			}
			if in.op == opReturn {
				st = append(st, v)
			}
			f := &vm.frames[len(vm.frames)-1]
			base, code, pc = f.base, f.function.code, f.pc
		default:
			vm.savePC(pc)
			vm.stack = st
			pc = vm.execSlow(in, base, pc, code)
			st = vm.stack
		}
	}
}

// savePC notes the position of the innermost frame, for a fault.
func (vm *VM) savePC(pc int) { vm.frames[len(vm.frames)-1].pc = pc }
