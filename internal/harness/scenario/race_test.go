//go:build race

package day

// The race detector makes everything some ten times slower: fewer calls, fewer days at a time.
const slower, together = 4, 2
