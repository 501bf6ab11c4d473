//go:build race

package scenario

// The race detector slows the program down by a factor of about 10, so the tests make fewer calls
// and play fewer scenarios at the same time.
const rateDivisor, maxParallel = 4, 2
