package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var (
	// quotedLog matches what the pages quote of a log.
	quotedLog = regexp.MustCompile(`\blogs? "([^"]+)"`)
	// variablePart matches what stands for a value in a quotation, or joins two texts.
	variablePart = regexp.MustCompile(`…|\bN\b|: `)
)

// What the operators' pages quote of a log is written by the program: each part of it that does not stand for a value is in a
// string of the source.
func TestQuotedLogLinesAreWritten(t *testing.T) {
	root, module := moduleRoot(t)
	var literals []string
	for _, files := range packagesBelow(t, root, module) {
		for _, file := range files {
			literals = append(literals, stringsOf(t, filepath.Join(root, file))...)
		}
	}
	source := strings.Join(literals, "\x00")
	quoted := 0
	for _, page := range []string{"oncall.md", "operate.md", "CAPACITY.md", "registry.md", "daemon.md", "relay.md", "hooks.md"} {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range quotedLog.FindAllStringSubmatch(string(text), -1) {
			quoted++
			for _, part := range variablePart.Split(match[1], -1) {
				if part = strings.Trim(part, " :"); !strings.Contains(source, part) {
					t.Errorf("%s quotes %q: nothing writes %q", page, match[1], part)
				}
			}
		}
	}
	if quoted < 10 {
		t.Errorf("%d quotations found: the test looks for the wrong form", quoted)
	}
}

// stringsOf returns the string literals of a file.
func stringsOf(t *testing.T, file string) (literals []string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				literals = append(literals, text)
			}
		}
		return true
	})
	return literals
}
