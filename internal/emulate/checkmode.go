package emulate

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// checkEmulated reports settings that only a drill supports, which runs processes.
func (s *Scenario) checkEmulated(report func(field, text string)) {
	const text = "only processes can play this: milletemu drill run"
	if s.Inner.IsPresent() {
		report("inner.calls", text)
	}
	for i, f := range s.Faults {
		if slices.Contains(processFaults, f.Kind) {
			report(fmt.Sprintf("fault[%d].kind", i), fmt.Sprintf("%q: %s", f.Kind, text))
		}
		if f.Inner {
			report(fmt.Sprintf("fault[%d].inner", i), text)
		}
		if f.Program != "" {
			report(fmt.Sprintf("fault[%d].program", i), text)
		}
	}
}

// Limits of a drill.
const (
	maxProcesses = 250
	maxDrillRate = 5000 // requests a second: above it the machine limits the results
	maxDrillTime = time.Hour
)

// checkDrill reports settings that a drill does not support, and values over its limits.
func (s *Scenario) checkDrill(report func(field, text string)) {
	const text = "only the emulator can play this: milletemu run"
	var none SidecarSpec
	none.SetDefaults()
	if s.Copies.Keep != 0 {
		report("copies.keep", text)
	}
	if s.Copies.Open != none.Open {
		report("copies.open", text)
	}
	if s.Copies.Cold {
		report("copies.cold", text)
	}
	if s.Network.Across != (func() Network { var n Network; n.SetDefaults(); return n }()).Across {
		report("network.across", text)
	}
	for i, f := range s.Faults {
		if info, err := os.Stat(f.Program); f.Program != "" && (err != nil || !info.Mode().IsRegular()) {
			report(fmt.Sprintf("fault[%d].program", i), fmt.Sprintf("%q is no program: there is no regular file at this path", f.Program))
		}
		if f.Kind == faultHold {
			report(fmt.Sprintf("fault[%d].kind", i), fmt.Sprintf("%q: %s", f.Kind, text))
		}
	}
	processes := s.Copies.Count + s.Servers.Count
	if s.Inner.IsPresent() {
		processes += s.Servers.Count + s.Inner.Servers.Count
	}
	if processes > maxProcesses {
		report("copies.count", fmt.Sprintf("%d processes are needed: at most %d are allowed", processes, maxProcesses))
	}
	top := 1.0
	for _, p := range s.Demand.Curve {
		top = max(top, p.Times)
	}
	if s.Demand.Rate*top > maxDrillRate {
		report("demand.rate",
			fmt.Sprintf("%.0f requests a second at the peak: at most %d are allowed over processes", s.Demand.Rate*top, maxDrillRate))
	}
	if time.Duration(s.For) > maxDrillTime {
		report("for", fmt.Sprintf("%v is too long: at most %v is allowed over processes", s.For, maxDrillTime))
	}
}
