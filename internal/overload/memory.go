package overload

import (
	"math"
	"runtime/debug"
	"syscall"
)

// ProcessMemory returns how much memory the process may use: the memory limit of the Go runtime if one
// is set (GOMEMLIMIT), and otherwise the machine's memory.
func ProcessMemory() int64 {
	limit := debug.SetMemoryLimit(-1)
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		limit = min(limit, int64(min(info.Totalram*uint64(info.Unit), math.MaxInt64)))
	}
	return limit
}
