package hooklang

import (
	"slices"
	"sort"
)

func sortedNames(m map[string]Pos) []string {
	var l []string
	for n := range m {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}

func reachableFunctions(d *funcDecl) []*funcDecl {
	l := []*funcDecl{d}
	for i := 0; i < len(l); i++ {
		for _, f := range l[i].calls {
			if !slices.Contains(l, f) {
				l = append(l, f)
			}
		}
	}
	return l
}

// checkTestEffects rejects advice in a test, itself or by functions that it calls.
func (c *checker) checkTestEffects(d *testDecl) {
	for _, f := range reachableFunctions(d.function) {
		for _, name := range sortedNames(f.effectsAt) {
			c.reportError(f.effectsAt[name], "%s is reached from the test %q: a test looks at what run returns", name, d.name)
		}
	}
}

// checkReachable checks what a handler does, itself or by functions that it calls.
func (c *checker) checkReachable(d *funcDecl) {
	for _, f := range reachableFunctions(d) {
		for _, name := range sortedNames(f.effectsAt) {
			if name != "log" && !slices.Contains(d.point.Effects, name) {
				c.reportError(f.effectsAt[name], "%s cannot be advised at %s (on %s, line %d): there %v can",
					name, d.name, d.name, d.pos.Line, d.point.Effects)
			}
		}
		if d.point.Inline && f.writesStateAt != (Pos{}) {
			c.reportError(f.writesStateAt,
				"state cannot be changed at %s (on %s, line %d), where many calls run at once: change it at ended",
				d.name, d.name, d.pos.Line)
		}
	}
}
