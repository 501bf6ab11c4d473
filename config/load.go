// Package config reads the configuration of a controller and of a registry, which is written in
// protobuf text format by the schema of config.proto. Every error is found before the program
// starts anything, and names the file, line, field and remedy.
//
// Read and Parse check a text against the rules of the schema (protovalidate). Load and
// LoadRegistry also check the rules that a schema cannot express, and map the settings to the types
// that the parts of the program take. CheckConsistency checks the configurations of several
// controllers against each other. Nothing in this package is safe for concurrent use.
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

// A Problem is one error in a configuration file.
type Problem struct {
	File    string
	Line    int    // from 1; 0: unknown
	Field   string // path of the field, such as "classes[1].aim_ms"; "": the whole file
	Message string // what is wrong
	Remedy  string // how to fix it; "" where that is obvious
}

// Error returns one line with the file, line, field, message and remedy.
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

// Problems are the errors in one or several configuration files. Those of one file are sorted by
// line.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	l := make([]string, len(p))
	for i := range p {
		l[i] = p[i].Error()
	}
	return strings.Join(l, "\n")
}

// maxFileBytes is the maximum size of a configuration file.
const maxFileBytes = 4 << 20

// A File is a configuration file that was parsed into a message, with the positions of its fields.
type File struct {
	Name     string
	nodes    []*ast.Node
	problems Problems
}

// positionPattern matches the position in an error of prototext.
var positionPattern = regexp.MustCompile(`\(line (\d+):(\d+)\):\s*`)

// Read parses a file into a message and checks it against the schema. The error has the problems
// that were found. File is not nil where the text could be parsed, so that further checks can add
// their problems.
func Read(name string, m proto.Message) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text, m)
}

// Parse does the same as Read with the text of a file; name is the file's name in errors.
func Parse(name string, text []byte, m proto.Message) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, Problem{File: name, Message: fmt.Sprintf("over %d bytes", maxFileBytes)}
	}
	if err := prototext.Unmarshal(text, m); err != nil {
		return nil, Problems{syntaxProblem(name, err)}
	}
	f := &File{Name: name}
	f.nodes, _ = parser.Parse(text) // used only for positions: without them problems have no line
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

// syntaxProblem converts an error of prototext to a Problem, with the position from its text.
func syntaxProblem(name string, err error) Problem {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ") // prototext varies the spaces in its errors
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

// AddProblem adds a problem of a field, which is given by its path, such as "classes[1].aim_ms".
func (f *File) AddProblem(field, message, remedy string) {
	f.problems = append(f.problems, Problem{f.Name, f.line(field), field, message, remedy})
}

// Err returns all problems of the file as Problems, sorted by line, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	l := slices.Clone(f.problems)
	slices.SortStableFunc(l, func(a, b Problem) int { return a.Line - b.Line })
	return l
}

// line returns the line of a field, or of the innermost enclosing message that the text has; 0 if
// there is none.
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

// splitIndex splits "name[3]" into name and 3. Without an index it returns 0.
func splitIndex(part string) (name string, index int) {
	name, rest, ok := strings.Cut(part, "[")
	if ok {
		index, _ = strconv.Atoi(strings.TrimSuffix(rest, "]"))
	}
	return name, index
}

// findNode returns the node of the value at an index of a field, or nil. A repeated field can be
// written as several nodes, as one node with a list, or as a mix of both.
func findNode(nodes []*ast.Node, name string, index int) *ast.Node {
	before := 0 // number of values in the preceding nodes
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
