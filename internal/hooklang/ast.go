package hooklang

import "time"

// script is the syntax tree of a text. The parser makes it; the checker fills in types, slots and what names refer to.
type script struct {
	states   []*stateDecl
	funcs    []*funcDecl // functions and handlers, in order of the text
	tests    []*testDecl
	order    []any // all of them, in order of the text, for the formatter
	comments []comment
}

// typeNode is a type as it is written.
type typeNode struct {
	pos  Pos
	name string // "list", "map" or a name
	elem *typeNode
	key  *typeNode
}

// stateDecl is a state variable.
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

// funcDecl is a function or a handler.
type funcDecl struct {
	pos            Pos
	name           string // of a handler: its point
	point          *Point // nil: a function
	interval       time.Duration
	params         []param
	declaredResult *typeNode
	body           *block
	end            Pos

	paramTypes    []*Type // of the parameters
	resultType    *Type
	slots         int            // how many it needs
	calls         []*funcDecl    // for what a handler may reach
	writesStateAt Pos            // where it changes state; zero: it does not
	effectsAt     map[string]Pos // the advice it gives, and where first
	vars          []varInfo
}

// testDecl is a test.
type testDecl struct {
	pos      Pos
	name     string
	body     *block
	function *funcDecl
}

// block is the statements between braces.
type block struct {
	pos   Pos
	stmts []stmt
	end   Pos
}

// stmt is a statement, expr an expression, whose type is known once it is checked.
type stmt interface{ at() Pos }
type expr interface {
	at() Pos
	typ() *Type
}

// node is what has a place in the text.
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
		op         string // "", "+" or "-"
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
		key, name string // key: "" but in maps
		from, to  expr   // to: nil but in ranges
		body      *block
		slot      int // of name; the loop's own variables follow
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

// matchCase is a case of a match statement: any of the values fits.
type matchCase struct {
	values []expr
	body   *block
}

func (b *block) at() Pos { return b.pos }

// ref is a variable: a slot of the function, or of the state.
type ref struct {
	inState bool
	index   int
}

// typed is a node with a type.
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
		literalType *typeNode // of list[T]{…}; nil: [a, b]
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
