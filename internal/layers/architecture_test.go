package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// reference matches `folder.Function` and `folder.(*Type).Method` in the architecture page.
var reference = regexp.MustCompile("`((?:internal/|cmd/)?[a-z0-9/]+)\\.(?:\\(\\*([A-Za-z]+)\\)\\.)?([A-Za-z]+)`")

// Every function that the architecture page names must exist in the folder that the page gives.
func TestArchitecturePageNamesFunctionsThatExist(t *testing.T) {
	root, _ := moduleRoot(t)
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, match := range reference.FindAllStringSubmatch(string(page), -1) {
		folder, receiver, name := match[1], match[2], match[3]
		if _, err := os.Stat(filepath.Join(root, folder+"."+name)); err == nil {
			continue // a file
		}
		if info, err := os.Stat(filepath.Join(root, folder)); err != nil || !info.IsDir() {
			if receiver != "" || strings.Contains(folder, "/") {
				t.Errorf("%s: folder %s does not exist", match[0], folder)
			}
			continue // a type with the name of its package, such as gateway.Gateway
		}
		found++
		if !declares(t, filepath.Join(root, folder), receiver, name) {
			t.Errorf("%s: no such function or type", match[0])
		}
	}
	if found < 30 {
		t.Errorf("found only %d references: the pattern may no longer match the form in which the page writes them", found)
	}
}

// declares reports whether the files of a folder declare a function, a method of a type, or
// (without a receiver) a type.
func declares(t *testing.T, folder, receiver, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declared := range parsed.Decls {
			switch declared := declared.(type) {
			case *ast.FuncDecl:
				if declared.Name.Name == name && receiverOf(declared) == receiver {
					return true
				}
			case *ast.GenDecl:
				for _, spec := range declared.Specs {
					if spec, ok := spec.(*ast.TypeSpec); ok && receiver == "" && spec.Name.Name == name {
						return true
					}
				}
			}
		}
	}
	return false
}

// receiverOf returns the name of the receiver's type, or "" for a function.
func receiverOf(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	typ := f.Recv.List[0].Type
	if pointer, ok := typ.(*ast.StarExpr); ok {
		typ = pointer.X
	}
	if name, ok := typ.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}
