package scheduler

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// maxColumns is the width of a line in files that decide, a tab counting as four.
const maxColumns = 110

// notPolicy are the files of this package that decide nothing, with the reason.
var notPolicy = map[string]string{
	"doc.go":            "the package comment",
	"settings.go":       "types of the interface",
	"settings_check.go": "rejects settings at the start; no step depends on it",
	"events.go":         "types of the interface",
	"actions.go":        "types of the interface",
	"request.go":        "the state of a request",
	"queueindex.go":     "finds queues, in the order in which examining all would find them",
	"walk.go":           "finds workers, in the order in which examining all would find them",
	"snapshot.go":       "views for people",
}

// policyFiles returns the paths on the policy line of deploy/balancer.toml.
func policyFiles(t *testing.T) (paths []string) {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy *= *\[([^\]]*)\]`).FindSubmatch(text)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	for _, quoted := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		paths = append(paths, string(quoted[1]))
	}
	if len(paths) == 0 {
		t.Error("deploy/balancer.toml names no file of policy")
	}
	return paths
}

// All policy files of deploy/balancer.toml exist, and have lines that are read without scrolling.
func TestPolicyFiles(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > maxColumns {
				t.Errorf("%s:%d: %d columns, at most %d", name, i+1, n, maxColumns)
			}
		}
	}
}

// Every file of this package that decides is on the policy line, once; those that decide nothing are not.
func TestEveryFileThatDecidesIsPolicy(t *testing.T) {
	onLine := map[string]int{}
	for _, path := range policyFiles(t) {
		if filepath.Dir(path) == "scheduler" {
			onLine[filepath.Base(path)]++
		}
	}
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	present := map[string]bool{}
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		present[name] = true
		switch reason := notPolicy[name]; {
		case reason != "" && onLine[name] > 0:
			t.Errorf("%s is on the policy line and is excepted: %s", name, reason)
		case reason == "" && onLine[name] != 1:
			t.Errorf("%s is %d times on the policy line of deploy/balancer.toml, want once", name, onLine[name])
		}
	}
	for name := range notPolicy {
		if !present[name] {
			t.Errorf("%s is excepted from the policy line and does not exist", name)
		}
	}
}
