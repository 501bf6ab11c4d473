package hooklang

// opcode is what an instruction does. Operands are on the stack; a and b are those of the instruction itself.
type opcode uint8

const (
	opNone  opcode = iota
	opConst        // a: constant
	opInt          // a: the value itself
	opLoad         // a: slot
	opStore
	opLoadState
	opStoreState
	opPop
	opJump // a: where to
	opJumpFalse
	opJumpTrue
	opAndJump // if false, leave it on the stack and jump; else pop it
	opOrJump
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
	opDivDur // of two durations
	opAddStr
	opAddList
	opEqInt // the six comparisons of each kind in this order
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
	opEq // a: type
	opNe
	opInStr
	opInList // a: type of entries
	opInMap
	opList   // a: entries
	opMap    // a: entries
	opRecord // a: record of the template, b: fields given; their numbers are in template
	opIndexList
	opIndexMap
	opField
	opSetList // a: slot or state, b: 1 of the state
	opSetMap
	opPush
	opRemove
	opIterate // a: slot of the loop: what is run over is on the stack
	opNextList
	opNextMap // b: slot of the key, -1: the name is the key
	opRange
	opNextRange
	opCall    // a: function
	opBuiltin // a: number
	opSort    // a: function that compares
	opReturn
	opReturnNothing
	opRun // a: handler
	opAddIntConst
	opLtIntSlots // a, b: slots; followed by a conditional jump
	opCodes
)

// instruction is one step of the VM, which costs one unit of fuel and what the operation charges besides.
type instruction struct {
	op   opcode
	a, b int32
}
