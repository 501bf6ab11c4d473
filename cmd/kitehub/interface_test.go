package main

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"kitehub/internal/controller"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/goldenfile"
	"kitehub/internal/harness/trace"
	"kitehub/internal/hookengine"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
)

// The tests of this file compare the program's external interface with golden files. Renaming a Go
// identifier or moving a package must not change these files. To change the interface on purpose,
// run the tests of this package with -update and review the diff.

// golden compares text with a file of testdata/interface, or writes the file if the tests run with
// -update.
func golden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", "interface", name)
	if goldenfile.Updating() {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == text {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(text, "\n")
	t.Errorf("%s differs", name)
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			t.Errorf("%s: removed: %s", name, line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			t.Errorf("%s: added: %s", name, line)
		}
	}
}

// TestCommandLine checks the commands, with their arguments, flags and defaults.
func TestCommandLine(t *testing.T) {
	parser, err := kong.New(&cli, kong.Name("kitehub"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	var walk func(node *kong.Node, path string)
	walk = func(node *kong.Node, path string) {
		fmt.Fprintf(&out, "%s%s%s\n", path, joined(" aliases", node.Aliases), textIf(node.Hidden, " hidden"))
		if node.DefaultCmd != nil {
			fmt.Fprintf(&out, "    default command %s\n", node.DefaultCmd.Name)
		}
		for _, argument := range node.Positional {
			fmt.Fprintf(&out, "    <%s> %s\n", argument.Name, describe(argument))
		}
		for _, option := range node.Flags {
			short := ""
			if option.Short != 0 {
				short = " -" + string(option.Short)
			}
			fmt.Fprintf(&out, "    --%s%s %s%s%s%s%s%s%s\n", option.Name, short, describe(option.Value), textIf(option.Tag.Negatable != "", " negatable"),
				joined(" env", option.Envs), joined(" aliases", option.Aliases), joined(" xor", option.Xor), joined(" and", option.And), textIf(option.Hidden, " hidden"))
		}
		for _, child := range node.Children {
			name := child.Name
			if child.Argument != nil {
				name = "<" + child.Argument.Name + "> " + describe(child.Argument)
			}
			walk(child, path+" "+name)
		}
	}
	walk(parser.Model.Node, "kitehub")
	golden(t, "commands.txt", out.String())
}

// describe returns the type and the options of a command-line value, without the names of Go types.
func describe(value *kong.Value) string {
	return typeName(value.Target.Type()) + textIf(value.Required, " required") + textIf(value.HasDefault, " default="+strconv.Quote(value.Default)) +
		textIf(value.Enum != "", " enum="+value.Enum) + textIf(value.Tag.Type != "", " type="+value.Tag.Type)
}

// textIf returns the text if the condition holds, else "".
func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}

// joined returns name=values with the values separated by commas; "" without values.
func joined(name string, values []string) string {
	return textIf(len(values) > 0, name+"="+strings.Join(values, ","))
}

// typeName describes a type without the names of types that the program declares.
func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t == reflect.TypeFor[time.Time]():
		return "time"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Slice, reflect.Array:
		return "[]" + typeName(t.Elem())
	case reflect.Map:
		return "map[" + typeName(t.Key()) + "]" + typeName(t.Elem())
	}
	return t.Kind().String()
}

// TestProtocolBuffers checks the fields and enums of the configuration and of the script of a day.
func TestProtocolBuffers(t *testing.T) {
	for name, protoPackage := range map[string]protoreflect.FullName{"config.txt": "kitehub.config.v1", "day.txt": "kitehub.day.v1"} {
		var out strings.Builder
		protoregistry.GlobalFiles.RangeFilesByPackage(protoPackage, func(file protoreflect.FileDescriptor) bool {
			local := func(d protoreflect.Descriptor) string {
				return strings.TrimPrefix(string(d.FullName()), string(protoPackage)+".")
			}
			var messages func(l protoreflect.MessageDescriptors)
			enums := func(l protoreflect.EnumDescriptors) {
				for i := range l.Len() {
					fmt.Fprintf(&out, "enum %s\n", local(l.Get(i)))
					for j := range l.Get(i).Values().Len() {
						value := l.Get(i).Values().Get(j)
						fmt.Fprintf(&out, "    %d %s\n", value.Number(), value.Name())
					}
				}
			}
			messages = func(l protoreflect.MessageDescriptors) {
				for i := range l.Len() {
					message := l.Get(i)
					if message.IsMapEntry() {
						continue
					}
					fmt.Fprintf(&out, "message %s\n", local(message))
					for j := range message.Fields().Len() {
						fmt.Fprintf(&out, "    %s\n", field(message.Fields().Get(j), local))
					}
					enums(message.Enums())
					messages(message.Messages())
				}
			}
			messages(file.Messages())
			enums(file.Enums())
			return true
		})
		if out.Len() == 0 {
			t.Errorf("the program has no file of %s", protoPackage)
		}
		golden(t, name, out.String())
	}
}

// field describes a field of a message. local returns the name of a type within its package.
func field(f protoreflect.FieldDescriptor, local func(protoreflect.Descriptor) string) string {
	kind := func(f protoreflect.FieldDescriptor) string {
		switch {
		case f.Message() != nil:
			return local(f.Message())
		case f.Enum() != nil:
			return local(f.Enum())
		}
		return f.Kind().String()
	}
	text := kind(f)
	switch {
	case f.IsMap():
		text = "map<" + kind(f.MapKey()) + ", " + kind(f.MapValue()) + ">"
	case f.IsList():
		text = "repeated " + text
	}
	text = fmt.Sprintf("%d %s %s%s", f.Number(), f.Name(), text, textIf(f.HasOptionalKeyword(), " optional"))
	if one := f.ContainingOneof(); one != nil && !one.IsSynthetic() {
		text += " oneof=" + string(one.Name())
	}
	return text
}

// TestMessages checks the keys of the JSON that is read and written through exported types: results
// of JSON-RPC methods, the requests and responses of the registry (including its exported state),
// the list of workers and the lines of a trace. A field without a tag has its Go name as key, so
// renaming it changes the interface.
func TestMessages(t *testing.T) {
	var out strings.Builder
	for _, root := range []struct {
		name string
		typ  reflect.Type
	}{
		{"jsonrpc error", reflect.TypeFor[jsonrpc.Error]()},
		{"jsonrpc result of status", reflect.TypeFor[controller.Status]()},
		{"jsonrpc result of workers, each", reflect.TypeFor[gateway.WorkerView]()},
		{"jsonrpc result of functions, each", reflect.TypeFor[gateway.FunctionView]()},
		{"jsonrpc result of explain", reflect.TypeFor[gateway.Explanation]()},
		{"jsonrpc result of hooks", reflect.TypeFor[hookengine.Overview]()},
		{"registry command", reflect.TypeFor[wire.Command]()},
		{"registry query", reflect.TypeFor[wire.Query]()},
		{"registry answer", reflect.TypeFor[wire.Response]()},
		{"registry answer, models, each", reflect.TypeFor[registry.Model]()},
		{"registry answer, state", reflect.TypeFor[registry.State]()},
		{"registry discovery request", reflect.TypeFor[wire.DiscoveryRequest]()},
		{"registry discovery response", reflect.TypeFor[wire.DiscoveryResponse]()},
		{"registry discovery resource", reflect.TypeFor[wire.Alias]()},
		{"workers in a list", reflect.TypeFor[discovery.Assignment]()},
		{"line of a trace", reflect.TypeFor[trace.Record]()},
	} {
		fmt.Fprintln(&out, root.name)
		writeKeys(&out, root.typ, "    ", nil)
	}
	golden(t, "messages.txt", out.String())
}

// writeKeys writes the keys that encoding/json gives to a type, each with the type of its value.
// enclosing are the types around it. A type among them is not expanded again, so that a type that
// contains itself does not recurse forever.
func writeKeys(out *strings.Builder, t reflect.Type, indent string, enclosing []reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Array || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == reflect.TypeFor[time.Time]() {
		return
	}
	if pointer := reflect.PointerTo(t); pointer.Implements(reflect.TypeFor[json.Marshaler]()) || pointer.Implements(reflect.TypeFor[encoding.TextMarshaler]()) {
		fmt.Fprintf(out, "%s(written by itself)\n", indent)
		return
	}
	if slices.Contains(enclosing, t) {
		fmt.Fprintf(out, "%s(as above)\n", indent)
		return
	}
	enclosing = append(slices.Clone(enclosing), t)
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("json")
		name, options, _ := strings.Cut(tag, ",")
		if f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct {
			writeKeys(out, f.Type, indent, enclosing[:len(enclosing)-1])
			continue
		}
		if !f.IsExported() || tag == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fmt.Fprintf(out, "%s%s %s%s\n", indent, name, typeName(f.Type), textIf(options != "", " "+options))
		writeKeys(out, f.Type, indent+"    ", enclosing)
	}
}

// wireNames are patterns of string literals that are names on the wire, wherever in the program
// they occur.
var wireNames = []struct {
	file    string
	pattern *regexp.Regexp
}{
	{"headers.txt", regexp.MustCompile(`^([a-z]+|[A-Z][A-Za-z]*)(-([a-z]+|[A-Z][A-Za-z]*))+$|^(Prefer|traceparent|Allow|Range|Expect|Host|Connection)$`)},
	{"names.txt", regexp.MustCompile(`^urn:|^type\.googleapis\.com/`)},
	{"paths.txt", regexp.MustCompile(`^/[A-Za-z0-9_./:{}-]*$`)},
	{"environment.txt", regexp.MustCompile(`^(RELAY|KITEHUB|NOTIFY|LISTEN|XDG)_[A-Z_]+$`)},
}

// wordPattern matches a literal that can be a word of the interface rather than a sentence.
var wordPattern = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,40}$`)

// TestWords checks the words of the interface that occur only as literals in the source:
//
//   - names on the wire, by their patterns;
//   - literals in comparisons: methods, commands, kinds of query;
//   - keys of map literals;
//   - literals that are constants, list elements or results: statuses, outcomes, record kinds;
//   - HTTP statuses with the kind of problem;
//   - the keys of each struct with JSON tags, including anonymous structs.
//
// The golden files are sets over the whole module, without the names of Go identifiers and
// packages. A word that occurs twice stays in its set when one occurrence changes. Therefore the
// words of each switch and the keys of each map literal are also recorded together, one line each.
// Splitting a switch changes these lines but not the sets; it does not change the interface.
func TestWords(t *testing.T) {
	found := map[string]map[string]bool{}
	add := func(file, text string) {
		if found[file] == nil {
			found[file] = map[string]bool{}
		}
		found[file][text] = true
	}
	addAll := func(file string, words []string) {
		if len(words) > 0 {
			slices.Sort(words)
			add(file, strings.Join(slices.Compact(words), " "))
		}
	}
	files := token.NewFileSet()
	root := moduleRoot(t)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata" || entry.Name() == "bin" || exists(filepath.Join(path, "go.mod"))):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil || ast.IsGenerated(file) {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.ImportSpec:
				return false
			case *ast.BasicLit:
				if text, ok := literal(node); ok {
					for _, w := range wireNames {
						if w.pattern.MatchString(text) {
							add(w.file, text)
						}
					}
				}
			case *ast.SwitchStmt:
				var words []string
				for _, clause := range node.Body.List {
					for _, e := range clause.(*ast.CaseClause).List {
						if text, ok := literal(e); ok && text != "" {
							words = append(words, text)
							add("cases.txt", text)
						}
					}
				}
				addAll("switches.txt", words)
			case *ast.BinaryExpr:
				for _, e := range []ast.Expr{node.X, node.Y} {
					if text, ok := literal(e); ok && wordPattern.MatchString(text) && (node.Op == token.EQL || node.Op == token.NEQ) {
						add("cases.txt", text)
					}
				}
			case *ast.ValueSpec:
				for _, e := range node.Values {
					if text, ok := literal(e); ok && wordPattern.MatchString(text) {
						add("words.txt", text)
					}
				}
			case *ast.CompositeLit:
				var keys []string
				for _, e := range node.Elts {
					if pair, ok := e.(*ast.KeyValueExpr); ok {
						if text, ok := literal(pair.Key); ok {
							keys = append(keys, text)
							add("keys.txt", text)
						}
						e = pair.Value
					}
					if text, ok := literal(e); ok && wordPattern.MatchString(text) {
						add("words.txt", text)
					}
				}
				addAll("maps.txt", keys)
			case *ast.ReturnStmt:
				for _, e := range node.Results {
					if text, ok := literal(e); ok && wordPattern.MatchString(text) {
						add("words.txt", text)
					}
				}
			case *ast.AssignStmt:
				for _, left := range node.Lhs {
					if index, ok := left.(*ast.IndexExpr); ok {
						if text, ok := literal(index.Index); ok {
							add("keys.txt", text)
						}
					}
				}
			case *ast.CallExpr:
				if len(node.Args) > 1 {
					status, ok := node.Args[0].(*ast.BasicLit)
					text, isText := literal(node.Args[1])
					if ok && isText && status.Kind == token.INT && len(status.Value) == 3 && status.Value >= "400" && status.Value < "600" {
						add("problems.txt", status.Value+" "+text)
					}
				}
			case *ast.StructType:
				if keys := taggedKeys(node); keys != "" {
					add("objects.txt", keys)
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"headers.txt", "names.txt", "paths.txt", "environment.txt", "cases.txt", "switches.txt", "keys.txt", "maps.txt", "words.txt", "problems.txt", "objects.txt"} {
		var lines bytes.Buffer
		words := make([]string, 0, len(found[name]))
		for word := range found[name] {
			words = append(words, word)
		}
		slices.Sort(words)
		for _, word := range words {
			fmt.Fprintln(&lines, word)
		}
		if len(words) == 0 {
			t.Errorf("%s: no word found: the test searches the wrong files", name)
		}
		golden(t, name, lines.String())
	}
}

// literal returns the value of an expression that is a string literal.
func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// taggedKeys lists the keys of a struct with JSON tags, each with its type as builtinType describes
// it.
func taggedKeys(s *ast.StructType) string {
	var keys []string
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			continue
		}
		tag, _ := literal(f.Tag)
		if key, ok := reflect.StructTag(tag).Lookup("json"); ok {
			keys = append(keys, key+" "+builtinType(f.Type))
		}
	}
	return strings.Join(keys, "; ")
}

// builtinType describes a type expression without the names of types that the program declares.
func builtinType(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		if slices.Contains([]string{"string", "bool", "int", "int32", "int64", "uint32", "uint64", "float64", "any"}, e.Name) {
			return e.Name
		}
	case *ast.StarExpr:
		return builtinType(e.X)
	case *ast.ArrayType:
		return "[]" + builtinType(e.Elt)
	case *ast.MapType:
		return "map[" + builtinType(e.Key) + "]" + builtinType(e.Value)
	}
	return "other"
}

// moduleRoot returns the nearest enclosing directory that has a go.mod.
func moduleRoot(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	for err == nil && !exists(filepath.Join(dir, "go.mod")) {
		if dir == filepath.Dir(dir) {
			t.Fatal("no enclosing directory has a go.mod")
		}
		dir = filepath.Dir(dir)
	}
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
