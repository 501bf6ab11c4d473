//go:build !race

package scenario

const slower, together = 1, 4
