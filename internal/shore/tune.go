package shore

import (
	"runtime/debug"

	"whinknot/internal/berth"
)

// Memory is priced and bounded: little is held, so that the collector runs often costs next to nothing.
const (
	collectAt  = 50  // percent of what is held
	memoryPart = 0.8 // of the bound, from which the collector works for all it is worth
)

// tune sets the runtime by the limits of the process.
func tune(s *berth.Settings) {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
}
