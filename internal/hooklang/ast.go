package hooklang

import "time"

// script is the syntax tree of a script. The parser builds it; the checker adds the types, the
// slots of variables, and the declarations that names refer to.
type script struct {
	states   []*stateDecl
	funcs    []*funcDecl // functions and handlers, in source order
	tests    []*testDecl
	order    []any // all declarations in source order, for the formatter
	comments []comment
}

// typeNode is a type as written in the source.
type typeNode struct {
	pos  Pos
	name string // "list", "map", or the name of a scalar or record
	elem *typeNode
	key  *typeNode
}

// stateDecl declares a state variable, whose value the host keeps between runs.
type stateDecl struct {
	pos          Pos
	name         string
	declaredType *typeNode
	init         expr
	valueType    *Type
	index        int
}

// param is a parameter of a function, or the event of a handler.
type param struct {
	pos          Pos
	name         string
	declaredType *typeNode
}

// funcDecl declares a function, or the handler of a point.
type funcDecl struct {
	pos            Pos
	name           string // for a handler, the name of its point
	point          *Point // nil for a function
	interval       time.Duration
	params         []param
	declaredResult *typeNode
	body           *block
	end            Pos

	// The checker fills in the fields below.
	paramTypes    []*Type
	resultType    *Type
	slots         int            // number of slots that its variables need
	calls         []*funcDecl    // the functions that it calls directly
	writesStateAt Pos            // where it first changes state; zero if it does not
	effectsAt     map[string]Pos // the advice functions that it calls, and where each is called first
	vars          []varInfo
}

// testDecl declares a test. The checker wraps its body in a function without parameters.
type testDecl struct {
	pos      Pos
	name     string
	body     *block
	function *funcDecl
}

// block is a sequence of statements in braces.
type block struct {
	pos   Pos
	stmts []stmt
	end   Pos
}

// stmt is a statement.
type stmt interface{ at() Pos }

// expr is an expression. Its type is known once the expression is checked.
type expr interface {
	at() Pos
	typ() *Type
}

// node holds the source position that statements and expressions have in common.
type node struct{ pos Pos }

func (n node) at() Pos { return n.pos }

type (
	letStmt struct {
		node
		name         string
		declaredType *typeNode
		value        expr
		slot         int
	}
	assignStmt struct { // name = value, name += value, name[index] = value
		node
		name       string
		op         string // "+" for +=, "-" for -=, "" for =
		index      expr
		value      expr
		target     ref
		targetType *Type
	}
	ifStmt struct {
		node
		cond      expr
		then      *block
		otherwise stmt // *ifStmt, *block or nil
	}
	forStmt struct {
		node
		key, name string // key is "" unless the loop names the keys of a map
		from, to  expr   // to is nil unless the loop runs over a range
		body      *block
		slot      int // slot of name; the next two hold the collection or the range's end, and the position
		keySlot   int
	}
	matchStmt struct {
		node
		value     expr
		cases     []matchCase
		otherwise *block
		slot      int
	}
	returnStmt struct {
		node
		value expr
	}
	branchStmt struct {
		node
		keyword string // break or continue
	}
	exprStmt struct {
		node
		value expr
	}
)

// matchCase is a case of a match statement. It applies if the matched value equals any of its
// values.
type matchCase struct {
	values []expr
	body   *block
}

func (b *block) at() Pos { return b.pos }

// ref identifies a variable: a slot of the current function, or the index of a state variable.
type ref struct {
	inState bool
	index   int
}

// typed holds the position and the type that all expressions have in common.
type typed struct {
	node
	valueType *Type
}

func (e *typed) typ() *Type { return e.valueType }

type (
	literalExpr struct {
		typed
		value Value
		text  string
	}
	nameExpr struct {
		typed
		name string
		ref  ref
	}
	unaryExpr struct {
		typed
		op      string
		operand expr
	}
	binaryExpr struct {
		typed
		op          string
		left, right expr
	}
	listExpr struct {
		typed
		literalType *typeNode // of list[T]{…}; nil for [a, b]
		items       []expr
	}
	mapExpr struct {
		typed
		literalType *typeNode
		keys        []expr
		values      []expr
	}
	recordExpr struct {
		typed
		name      string
		fields    []string
		positions []Pos
		values    []expr
	}
	indexExpr struct {
		typed
		collection, index expr
	}
	fieldExpr struct {
		typed
		record expr
		name   string
		index  int
	}
	callExpr struct {
		typed
		name     string
		args     []expr
		function *funcDecl
		builtin  *builtin
	}
	runExpr struct { // in tests: run arrive(Call{…})
		typed
		point   string
		arg     expr
		handler *funcDecl
	}
)
