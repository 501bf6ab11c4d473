//go:build !race

package scenario

const rateDivisor, maxParallel = 1, 4
