package hooklang

import "time"

type script struct {
	states   []*stateDecl
	funcs    []*funcDecl // functions and handlers, in order of the text
	tests    []*testDecl
	order    []any // all of them as they stand
	comments []comment
}

type typeNode struct {
	pos  Pos
	name string // "list", "map" or a name
	elem *typeNode
	key  *typeNode
}

type stateDecl struct {
	pos  Pos
	name string
	typ  *typeNode
	init expr
	t    *Type
	n    int
}

type param struct {
	pos  Pos
	name string
	typ  *typeNode
}

type funcDecl struct {
	pos    Pos
	name   string // of a handler: its point
	on     *Point // nil: a function
	every  time.Duration
	params []param
	result *typeNode
	body   *block
	end    Pos

	types  []*Type // of the parameters
	ret    *Type
	slots  int
	calls  []*funcDecl // for what a handler may reach
	writes Pos         // where it changes state; zero: it does not
	uses   map[string]Pos
	vars   []varInfo
}

type testDecl struct {
	pos  Pos
	name string
	body *block
	fn   *funcDecl
}

type block struct {
	pos   Pos
	stmts []stmt
	end   Pos
}

type stmt interface{ at() Pos }
type expr interface {
	at() Pos
	typ() *Type
}

type node struct{ pos Pos }

func (n node) at() Pos { return n.pos }

type (
	letStmt struct {
		node
		name  string
		typ   *typeNode
		value expr
		slot  int
	}
	setStmt struct { // name = value, name += value, name[index] = value
		node
		name  string
		op    string // "", "+" or "-"
		index expr
		value expr
		ref   ref
		t     *Type
	}
	ifStmt struct {
		node
		cond expr
		then *block
		els  stmt // *ifStmt, *block or nil
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
		value expr
		cases []matchCase
		els   *block
		slot  int
	}
	returnStmt struct {
		node
		value expr
	}
	leaveStmt struct {
		node
		word string // break or continue
	}
	exprStmt struct {
		node
		value expr
	}
)

type matchCase struct {
	values []expr
	body   *block
}

func (b *block) at() Pos { return b.pos }

// ref is a variable: a slot of the function, or of the state.
type ref struct {
	state bool
	n     int
}

type typed struct {
	node
	t *Type
}

func (e *typed) typ() *Type { return e.t }

type (
	litExpr struct {
		typed
		v    Value
		text string
	}
	nameExpr struct {
		typed
		name string
		ref  ref
	}
	unaryExpr struct {
		typed
		op string
		x  expr
	}
	binExpr struct {
		typed
		op   string
		x, y expr
	}
	listExpr struct {
		typed
		node  *typeNode // of list[T]{…}; nil: [a, b]
		items []expr
	}
	mapExpr struct {
		typed
		node   *typeNode
		keys   []expr
		values []expr
	}
	recExpr struct {
		typed
		name   string
		fields []string
		places []Pos
		values []expr
	}
	indexExpr struct {
		typed
		x, i expr
	}
	fieldExpr struct {
		typed
		x    expr
		name string
		n    int
	}
	callExpr struct {
		typed
		name string
		args []expr
		fn   *funcDecl
		b    *builtin
	}
	runExpr struct { // in tests: run arrive(Call{…})
		typed
		point string
		arg   expr
		fn    *funcDecl
	}
)
