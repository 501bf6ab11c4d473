// Package layers has only a test: that no package of this module imports one of its own layer or of a layer above, and that
// those which decide do nothing else. The table below is the only place to edit when a package comes or moves.
package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A layer is a set of packages that import only those of the layers before it, and not each other.
type layer struct {
	name     string
	pure     bool // decides only: see impure
	packages []string
}

// layers has every package of the module, from the lowest layer up. The first part decides and is pure; the second carries
// out; the third is programs, and what tries the others out, which no part of the product may import.
var layers = []layer{
	{"decides: by itself", true, []string{
		"kitehub/scheduler/index", "kitehub/scheduler/ring", "kitehub/internal/harness/workersim", "kitehub/internal/hooklang", "kitehub/internal/harness/trace", "kitehub/internal/replayguard", "kitehub/internal/signing"}},
	{"decides: on one of those", true, []string{
		"kitehub/internal/hookadvice", "kitehub/scheduler", "kitehub/internal/harness/invariant"}},
	{"decides: on the module", true, []string{
		"kitehub/internal/simwire", "kitehub/internal/registry"}},
	{"messages of the registry", true, []string{
		"kitehub/internal/registry/wire"}},

	{"carries out: clock, sockets and files", false, []string{
		"kitehub/internal/daemon", "kitehub/internal/clock", "kitehub/internal/http1", "kitehub/internal/outbox", "kitehub/internal/store"}},
	{"carries out: one other party each", false, []string{
		"kitehub/internal/backend", "kitehub/internal/blobfetch", "kitehub/internal/hookengine", "kitehub/internal/registry/client", "kitehub/internal/registry/service"}},
	{"carries out: the loop, and the lease", false, []string{
		"kitehub/internal/backend/frame", "kitehub/internal/gateway", "kitehub/internal/registry/agent"}},
	{"carries out: what feeds the loop", false, []string{
		"kitehub/internal/discovery", "kitehub/internal/discovery/dns", "kitehub/internal/ingress", "kitehub/internal/ingress/msgpackrpc"}},
	{"carries out: fronts with versions", false, []string{
		"kitehub/internal/ingress/jsonrpc", "kitehub/internal/ingress/webhook"}},
	{"puts together: the configuration", false, []string{
		"kitehub/config"}},
	{"puts together: a controller", false, []string{
		"kitehub/internal/controller"}},
	{"puts together: a controller on a platform", false, []string{
		"kitehub/internal/relay"}},

	{"tries out: the other parties", false, []string{
		"kitehub/internal/harness/fakeworker", "kitehub/internal/harness/fakeplatform"}},
	{"tries out: days and measurements", false, []string{
		"kitehub/internal/harness/proxybench", "kitehub/internal/harness/scenario", "kitehub/internal/harness/scalebench"}},
	{"what tests share", false, []string{
		"kitehub/internal/goldenfile"}},
	{"programs, and tools of the source", false, []string{
		"kitehub/cmd/kitehub", "kitehub/cmd/simadapter", "kitehub/internal/gen", "kitehub/internal/layers"}},
}

// exceptions are imports against the order, and what a pure package has and should not, each with the reason why it stands.
// The key is what the test says without the file: "package imports package" or "package uses name". One that is no longer
// needed is an error.
var exceptions = map[string]string{}

// impure are imports that a package which decides may not have, with those below them: it would read or change something that
// is not given to it.
var impure = []string{"crypto/rand", "io/ioutil", "log", "log/slog", "net", "os", "runtime", "syscall", "unsafe",
	"github.com/rs/zerolog", "golang.org/x/net", "golang.org/x/sys"}

// impureNames are functions that it may not name, by import path: those that tell the time or wait for it, and the random
// numbers that have no seed.
var impureNames = map[string][]string{
	"time":         {"After", "AfterFunc", "NewTicker", "NewTimer", "Now", "Since", "Sleep", "Tick", "Until"},
	"math/rand/v2": {"ExpFloat64", "Float32", "Float64", "Int", "Int32", "Int32N", "Int64", "Int64N", "IntN", "N", "NormFloat64", "Perm", "Shuffle", "Uint", "Uint32", "Uint32N", "Uint64", "Uint64N", "UintN"},
	"math/rand":    {"ExpFloat64", "Float32", "Float64", "Int", "Int31", "Int31n", "Int63", "Int63n", "Intn", "NormFloat64", "Perm", "Read", "Seed", "Shuffle", "Uint32", "Uint64"},
}

// TestLayers holds the table above against the source. Files of tests are not held to it: they drive a package from above.
// Files are read whatever their build constraints are.
func TestLayers(t *testing.T) {
	root, module := moduleRoot(t)
	place := map[string]int{}
	for i, l := range layers {
		if l.pure && i > 0 && !layers[i-1].pure {
			t.Errorf("%s: pure, and above a layer that is not", l.name)
		}
		for _, name := range l.packages {
			if _, twice := place[name]; twice {
				t.Errorf("%s stands twice in the table", name)
			}
			place[name] = i
		}
	}
	needed := map[string]bool{}
	complain := func(where token.Position, what string) {
		needed[what] = true
		if exceptions[what] == "" {
			t.Errorf("%s:%d: %s", where.Filename, where.Line, what)
		}
	}
	packages := packagesBelow(t, root, module)
	for name, files := range packages {
		at, known := place[name]
		if !known {
			t.Errorf("%s is in no layer: add it to the table", name)
			continue
		}
		for _, file := range files {
			imports, pureFaults := read(t, root, file)
			for _, one := range imports {
				if !below(one.what, module) {
					continue
				}
				if to, known := place[one.what]; !known || to >= at {
					complain(one.where, name+" imports "+one.what)
				}
			}
			if layers[at].pure {
				for _, one := range pureFaults {
					complain(one.where, name+" "+one.what)
				}
			}
		}
	}
	for name := range place {
		if _, exists := packages[name]; !exists {
			t.Errorf("%s is in the table, and is no package", name)
		}
	}
	for what, reason := range exceptions {
		if !needed[what] || reason == "" {
			t.Errorf("exception %q (%s) is not needed, or has no reason", what, reason)
		}
	}
}

// A finding is an import path, or what makes a package impure, with its place.
type finding struct {
	where token.Position
	what  string
}

// read returns the imports of a file, and what a package that decides may not have.
func read(t *testing.T, root, file string) (imports, faults []finding) {
	t.Helper()
	source, err := os.ReadFile(filepath.Join(root, file))
	if err != nil {
		t.Fatal(err)
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	paths := map[string]string{} // by the name that the file has for the import
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		local := path.Base(imported)
		if imported == "math/rand/v2" {
			local = "rand"
		}
		if spec.Name != nil {
			local = spec.Name.Name
		}
		paths[local] = imported
		where := files.Position(spec.Pos())
		imports = append(imports, finding{where, imported})
		if slices.ContainsFunc(impure, func(one string) bool { return below(imported, one) }) {
			faults = append(faults, finding{where, "imports " + imported})
		}
		if impureNames[imported] != nil && local == "." {
			faults = append(faults, finding{where, "imports " + imported + " without its name"})
		}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			faults = append(faults, finding{files.Position(node.Pos()), "uses a goroutine"})
		case *ast.SelectorExpr:
			if of, ok := node.X.(*ast.Ident); ok && slices.Contains(impureNames[paths[of.Name]], node.Sel.Name) {
				faults = append(faults, finding{files.Position(node.Pos()), "uses " + paths[of.Name] + "." + node.Sel.Name})
			}
		}
		return true
	})
	return imports, faults
}

// below tells whether an import path is another one or lies in it.
func below(imported, other string) bool {
	return imported == other || strings.HasPrefix(imported, other+"/")
}

// packagesBelow returns the import paths of the module's packages, also of those that have only tests, each with its files that
// are no tests, from the root.
func packagesBelow(t *testing.T, root, module string) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	err := filepath.WalkDir(root, func(full string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			_, inner := os.Stat(filepath.Join(full, "go.mod"))
			if full != root && (strings.HasPrefix(entry.Name(), ".") || strings.HasPrefix(entry.Name(), "_") || entry.Name() == "testdata" || inner == nil) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(full, ".go") {
			return nil
		}
		file, err := filepath.Rel(root, full)
		if err != nil {
			return err
		}
		file = filepath.ToSlash(file)
		name := path.Join(module, path.Dir(file))
		if _, known := found[name]; !known {
			found[name] = nil
		}
		if !strings.HasSuffix(file, "_test.go") {
			found[name] = append(found[name], file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// moduleRoot returns the nearest directory above with a go.mod, and the module's path.
func moduleRoot(t *testing.T) (root, module string) {
	t.Helper()
	root, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		text, err := os.ReadFile(filepath.Join(root, "go.mod"))
		if err == nil {
			for line := range strings.Lines(string(text)) {
				if name, found := strings.CutPrefix(line, "module "); found {
					return root, strings.TrimSpace(name)
				}
			}
			t.Fatal("go.mod names no module")
		}
		if root == filepath.Dir(root) {
			t.Fatal("no go.mod above")
		}
		root = filepath.Dir(root)
	}
}
