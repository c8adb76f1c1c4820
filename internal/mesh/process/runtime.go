package process

import (
	"runtime/debug"

	"milletmast/internal/mesh/nodeconfig"
)

// Memory has a price and a limit. The live heap is small, so frequent garbage collection costs little.
const (
	gcPercent           = 50  // percent of the live heap
	memoryLimitFraction = 0.8 // of the memory limit; above it the collector runs as often as needed
)

// tuneRuntime sets the limits of the Go runtime.
func tuneRuntime(s *nodeconfig.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
}
