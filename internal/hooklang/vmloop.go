package hooklang

import "math"

// exec runs a function until it returns, and returns its result.
//
// It is the main loop of the VM and one long function for speed: the frequent instructions are
// cases of one switch and work on local variables (stack, code, pc), which the Go compiler keeps in
// registers. execSlow has all other instructions and works on vm.stack. Measure changes to exec
// with BenchmarkHook.
func (vm *VM) exec(fn *function, args []Value) Value {
	vm.stack = append(vm.stack, args...)
	callerDepth := len(vm.frames)
	base := vm.pushFrame(fn, len(args))
	code, pc := fn.code, 0
	stack := vm.stack
	for {
		instr := code[pc]
		pc++
		if vm.fuel--; vm.fuel < vm.nextCheck {
			vm.frames[len(vm.frames)-1].pc = pc
			vm.checkLimits()
		}
		if vm.Trace != nil {
			if pos := vm.frames[len(vm.frames)-1].function.positions[pc-1]; pos.Line != vm.lastTraced.Line {
				vm.lastTraced = pos
				f := vm.frames[len(vm.frames)-1].function
				vm.Trace(f.name, pos, stack[base:base+f.slots])
			}
		}
		n := len(stack) - 1
		switch instr.op {
		case opConst:
			stack = append(stack, vm.program.consts[instr.a])
		case opInt:
			stack = append(stack, Value{bits: int64(instr.a)})
		case opLoad:
			stack = append(stack, stack[base+int(instr.a)])
		case opStore:
			stack[base+int(instr.a)] = stack[n].share()
			stack = stack[:n]
		case opLoadState:
			stack = append(stack, vm.state[instr.a])
		case opStoreState:
			vm.setState(instr.a, stack[n].share())
			stack = stack[:n]
		case opPop:
			stack = stack[:n]
		case opJump:
			pc = int(instr.a)
		case opJumpFalse:
			if stack[n].bits == 0 {
				pc = int(instr.a)
			}
			stack = stack[:n]
		case opJumpTrue:
			if stack[n].bits != 0 {
				pc = int(instr.a)
			}
			stack = stack[:n]
		case opAndJump:
			if stack[n].bits == 0 {
				pc = int(instr.a)
			} else {
				stack = stack[:n]
			}
		case opOrJump:
			if stack[n].bits != 0 {
				pc = int(instr.a)
			} else {
				stack = stack[:n]
			}
		case opNot:
			stack[n].bits ^= 1
		case opAddIntConst:
			x := stack[n].bits
			if x > math.MaxInt64-int64(instr.a) {
				vm.savePC(pc)
				vm.fault(FaultOverflow, "%d + %d", x, instr.a)
			}
			stack[n].bits = x + int64(instr.a)
		case opAddInt:
			x, y := stack[n-1].bits, stack[n].bits
			z := x + y
			if (x^z)&(y^z) < 0 {
				vm.savePC(pc)
				vm.fault(FaultOverflow, "%d + %d", x, y)
			}
			stack = stack[:n]
			stack[n-1].bits = z
		case opSubInt:
			x, y := stack[n-1].bits, stack[n].bits
			z := x - y
			if (x^y)&(x^z) < 0 {
				vm.savePC(pc)
				vm.fault(FaultOverflow, "%d - %d", x, y)
			}
			stack = stack[:n]
			stack[n-1].bits = z
		case opEqInt:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].bits == stack[:n+1][n].bits)
		case opNeInt:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].bits != stack[:n+1][n].bits)
		case opLtInt:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].bits < stack[:n+1][n].bits)
		case opLeInt:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].bits <= stack[:n+1][n].bits)
		case opGtInt:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].bits > stack[:n+1][n].bits)
		case opGeInt:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].bits >= stack[:n+1][n].bits)
		case opLtFloat:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].float() < stack[:n+1][n].float())
		case opLeFloat:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].float() <= stack[:n+1][n].float())
		case opGtFloat:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].float() > stack[:n+1][n].float())
		case opGeFloat:
			stack = stack[:n]
			stack[n-1] = boolValue(stack[n-1].float() >= stack[:n+1][n].float())
		case opField:
			stack[n] = stack[n].object.items[instr.a]
		case opIndexList:
			items, i := stack[n-1].object.items, stack[n].bits
			if i < 0 || i >= int64(len(items)) {
				vm.savePC(pc)
				vm.fault(FaultIndex, "index %d out of range with length %d", i, len(items))
			}
			stack = stack[:n]
			stack[n-1] = items[i]
		case opNextRange:
			cursor := &stack[base+int(instr.b)+1]
			if cursor.bits >= stack[base+int(instr.b)+2].bits {
				pc = int(instr.a)
				break
			}
			stack[base+int(instr.b)] = Value{bits: cursor.bits}
			cursor.bits++
		case opNextList:
			o, cursor := stack[base+int(instr.b)+1].object, &stack[base+int(instr.b)+2]
			if cursor.bits >= int64(len(o.items)) {
				pc = int(instr.a)
				break
			}
			stack[base+int(instr.b)] = o.items[cursor.bits].share()
			cursor.bits++
		case opCall:
			fn := vm.program.funcs[instr.a]
			vm.savePC(pc)
			vm.stack = stack
			base = vm.pushFrame(fn, int(instr.b))
			stack = vm.stack
			code, pc = fn.code, 0
		case opReturn, opReturnNothing:
			var v Value
			if instr.op == opReturn {
				v = stack[n]
			} else if vm.capture != nil {
				*vm.capture = append(*vm.capture, stack[base:]...)
			}
			stack = stack[:base]
			vm.frames = vm.frames[:len(vm.frames)-1]
			if len(vm.frames) == callerDepth {
				vm.stack = stack
				return v
			}
			if instr.op == opReturn {
				stack = append(stack, v)
			}
			f := &vm.frames[len(vm.frames)-1]
			base, code, pc = f.base, f.function.code, f.pc
		default:
			vm.savePC(pc)
			vm.stack = stack
			pc = vm.execSlow(instr, base, pc, code)
			stack = vm.stack
		}
	}
}

// savePC stores the program counter in the innermost frame, where faults and returns read it.
func (vm *VM) savePC(pc int) { vm.frames[len(vm.frames)-1].pc = pc }
