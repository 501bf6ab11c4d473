// Package config reads the settings of a controller and of a registry: protobuf text format by the schema of
// config.proto. It exists so that every error is found before anything starts, and names file, line, field and remedy.
//
// Read and Parse check a text by the schema's own rules (protovalidate); Load and LoadRegistry also check what no
// schema can say, and map the settings to the forms that the parts of the program take; CheckConsistency checks several files
// together. Nothing here is shared between goroutines.
package config

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"buf.build/go/protovalidate"
	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
)

// A Problem is one thing wrong with a file.
type Problem struct {
	File    string
	Line    int    // from 1; 0: not known
	Field   string // as in "classes[1].aim_ms"; "": the file as a whole
	Message string // what is wrong
	Remedy  string // what to do; "": that is obvious
}

// Error returns one line: file, line, field, what is wrong and the remedy.
func (p Problem) Error() string {
	s := p.File
	if p.Line > 0 {
		s += ":" + strconv.Itoa(p.Line)
	}
	if p.Field != "" {
		s += ": " + p.Field
	}
	s += ": " + p.Message
	if p.Remedy != "" {
		s += "; " + p.Remedy
	}
	return s
}

// Problems are all that is wrong with a file, by line.
type Problems []Problem

// Error returns a line for each problem.
func (p Problems) Error() string {
	l := make([]string, len(p))
	for i := range p {
		l[i] = p[i].Error()
	}
	return strings.Join(l, "\n")
}

// maxBytes bounds the length of a file.
const maxBytes = 4 << 20

// A File is a text that was read into a message, with the positions of its fields.
type File struct {
	Name     string
	nodes    []*ast.Node
	problems Problems
}

// positionPattern finds the position in an error of prototext.
var positionPattern = regexp.MustCompile(`\(line (\d+):(\d+)\):\s*`)

// Read reads a file into a message and checks it by its schema. The problems found so far are in the error; File is
// not nil where the text could be read, so that further checks can add theirs.
func Read(name string, m proto.Message) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text, m)
}

// Parse is Read of a text; name is for the errors.
func Parse(name string, text []byte, m proto.Message) (*File, error) {
	if len(text) > maxBytes {
		return nil, Problem{File: name, Message: fmt.Sprintf("over %d bytes", maxBytes)}
	}
	if err := prototext.Unmarshal(text, m); err != nil {
		return nil, Problems{syntaxProblem(name, err)}
	}
	f := &File{Name: name}
	f.nodes, _ = parser.Parse(text) // for positions only: without them problems have no line
	err := protovalidate.Validate(m)
	var invalid *protovalidate.ValidationError
	switch {
	case errors.As(err, &invalid):
		for _, violation := range invalid.Violations {
			field := protovalidate.FieldPathString(violation.Proto.GetField())
			f.AddProblem(field, violation.Proto.GetMessage(), "")
		}
	case err != nil:
		return nil, err
	}
	return f, f.Err()
}

// syntaxProblem takes the position out of an error of prototext.
func syntaxProblem(name string, err error) Problem {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ") // prototext varies its errors by such spaces
	p := Problem{File: name, Message: strings.TrimPrefix(text, "proto: ")}
	if match := positionPattern.FindStringSubmatchIndex(p.Message); match != nil {
		p.Line, _ = strconv.Atoi(p.Message[match[2]:match[3]])
		p.Message = p.Message[:match[0]] + p.Message[match[1]:]
	}
	if strings.Contains(p.Message, "unknown field") {
		p.Remedy = "see docs/operate.md for the fields"
	}
	return p
}

// AddProblem adds a problem of a field, which is named as in "classes[1].aim_ms".
func (f *File) AddProblem(field, what, remedy string) {
	f.problems = append(f.problems, Problem{f.Name, f.line(field), field, what, remedy})
}

// Err returns all problems found, by line, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	l := slices.Clone(f.problems)
	slices.SortStableFunc(l, func(a, b Problem) int { return a.Line - b.Line })
	return l
}

// line returns the line of a field, or of the nearest message around it that the text has; 0 if there is none.
func (f *File) line(field string) int {
	nodes := f.nodes
	line := 0
	for part := range strings.SplitSeq(field, ".") {
		name, index := splitIndex(part)
		node := findNode(nodes, name, index)
		if node == nil {
			return line
		}
		line = int(node.Start.Line) + len(node.PreComments)
		nodes = node.Children
	}
	return line
}

// splitIndex splits "name[3]" to name and 3; without an index it is 0.
func splitIndex(part string) (name string, index int) {
	name, rest, ok := strings.Cut(part, "[")
	if ok {
		index, _ = strconv.Atoi(strings.TrimSuffix(rest, "]"))
	}
	return name, index
}

// findNode returns the node of the index-th value of a field, or nil. A repeated field is written as several nodes, as
// one node with a list, or as both.
func findNode(nodes []*ast.Node, name string, index int) *ast.Node {
	before := 0 // values of the nodes before
	for _, node := range nodes {
		if node.Name != name || node.IsCommentOnly() {
			continue
		}
		count := 1
		if node.ChildrenAsList {
			count = len(node.Children)
		} else if node.ValuesAsList {
			count = len(node.Values)
		}
		if index < before+count {
			if node.ChildrenAsList && index-before < len(node.Children) {
				return node.Children[index-before]
			}
			return node
		}
		before += count
	}
	return nil
}
