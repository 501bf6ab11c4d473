//go:build race

package scenario

// The race detector makes everything some ten times slower: fewer calls, fewer days at a time.
const slower, together = 4, 2
