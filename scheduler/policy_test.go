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

// All policy files of deploy/balancer.toml exist, and have lines that are read without scrolling.
func TestPolicyFiles(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy *= *\[([^\]]*)\]`).FindSubmatch(text)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	files := regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1)
	for _, f := range files {
		name := string(f[1])
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
	if len(files) == 0 {
		t.Error("deploy/balancer.toml names no file of policy")
	}
}
