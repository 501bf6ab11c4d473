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

// The functions that the architecture page names are in the folders that it names.
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
				t.Errorf("%s: no folder %s", match[0], folder)
			}
			continue // a type by its package's name, as gateway.Gateway
		}
		found++
		if !declares(t, filepath.Join(root, folder), receiver, name) {
			t.Errorf("%s: no such function", match[0])
		}
	}
	if found < 30 {
		t.Errorf("%d references found: the test looks for the wrong form", found)
	}
}

// declares tells whether a folder's files declare a function, a method of a type, or (without a receiver) a type.
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

// receiverOf returns the name of a method's type, "" for a function.
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
