package hooklang

// opcode selects the operation of an instruction. Operations take their operands from the stack; a
// and b are the immediate operands of the instruction.
type opcode uint8

const (
	opNone  opcode = iota
	opConst        // a: index of the constant
	opInt          // a: the value
	opLoad         // a: slot
	opStore
	opLoadState
	opStoreState
	opPop
	opJump // a: index of the target instruction
	opJumpFalse
	opJumpTrue
	opAndJump // if the operand is false, keep it on the stack and jump; else pop it
	opOrJump  // the same, if the operand is true
	opNot
	opNegInt
	opNegFloat
	opAddInt
	opSubInt
	opMulInt
	opDivInt
	opModInt
	opAddFloat
	opSubFloat
	opMulFloat
	opDivFloat
	opDivDur // quotient of two durations, a float
	opAddStr
	opAddList
	opEqInt // comparisonOffset relies on the order of the comparisons
	opNeInt
	opLtInt
	opLeInt
	opGtInt
	opGeInt
	opLtFloat
	opLeFloat
	opGtFloat
	opGeFloat
	opLtStr
	opLeStr
	opGtStr
	opGeStr
	opEq // a: index of the type
	opNe
	opInStr
	opInList // a: index of the entries' type
	opInMap
	opList   // a: number of entries
	opMap    // a: number of entries
	opRecord // a: index of the template, which lists the fields that are on the stack
	opIndexList
	opIndexMap
	opField   // a: index of the field
	opSetList // a: index of the slot or state variable, b: 1 for a state variable
	opSetMap
	opPush
	opRemove
	opIterate   // a: first slot of the loop; takes the list or map from the stack
	opNextList  // a: target at the end of the loop, b: first slot of the loop
	opNextMap   // as opNextList; a of the next instruction: slot of the key, -1 to iterate over keys
	opRange     // a: first slot of the loop; takes the bounds from the stack
	opNextRange // as opNextList
	opCall      // a: index of the function, b: number of arguments
	opBuiltin   // a: index of the builtin, b: number of arguments, bit 8: it has a result
	opSort      // a: index of the comparison function
	opReturn
	opReturnNothing
	opRun         // a: index of the handler's function
	opAddIntConst // a: the constant
	opLtIntSlots  // a, b: slots; followed by a conditional jump
	opcodeCount
)

// instruction is one instruction of the VM. It costs one unit of fuel, and what the operation
// charges in addition.
type instruction struct {
	op   opcode
	a, b int32
}
