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

// reachableFunctions returns d and all functions that it calls, directly or through other
// functions.
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

// checkTestEffects reports each advice function that a test calls, directly or through other
// functions. Only handlers give advice; a test inspects the advice that run returns.
func (c *checker) checkTestEffects(d *testDecl) {
	for _, f := range reachableFunctions(d.function) {
		for _, name := range sortedNames(f.effectsAt) {
			c.reportError(f.effectsAt[name], "%s is called in the test %q: a test gives no advice, it inspects what run returns", name, d.name)
		}
	}
}

// checkReachable checks that a handler, including the functions that it calls, gives only advice
// that its point allows, and that an inline handler changes no state.
func (c *checker) checkReachable(d *funcDecl) {
	for _, f := range reachableFunctions(d) {
		for _, name := range sortedNames(f.effectsAt) {
			if name != "log" && !slices.Contains(d.point.Effects, name) {
				c.reportError(f.effectsAt[name], "%s cannot be advised at %s (on %s, line %d), which allows %v",
					name, d.name, d.name, d.pos.Line, d.point.Effects)
			}
		}
		if d.point.Inline && f.writesStateAt != (Pos{}) {
			c.reportError(f.writesStateAt,
				"state cannot be changed at %s (on %s, line %d), where calls run concurrently: change it at ended",
				d.name, d.name, d.pos.Line)
		}
	}
}
