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
	// quotedLog matches quotations of log messages in the documentation.
	quotedLog = regexp.MustCompile(`\blogs? "([^"]+)"`)
	// variablePart matches placeholders of values in a quotation, and separators of two texts.
	variablePart = regexp.MustCompile(`…|\bN\b|: `)
)

// Every log message that the operators' documentation quotes must be written by the program: each
// part of it that is not a placeholder must occur in a string literal of the source.
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
					t.Errorf("%s quotes %q: no string in the source has %q", page, match[1], part)
				}
			}
		}
	}
	if quoted < 10 {
		t.Errorf("found only %d quotations: the pattern may no longer match the form in which pages write them", quoted)
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
