package emulate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// CheckFaults checks the faults.
func (s *Scenario) CheckFaults(report func(field, text string)) {
	if len(s.Faults) > maxFaults {
		report("fault", fmt.Sprintf("%d of them, over the %d allowed", len(s.Faults), maxFaults))
		return
	}
	k := rangeChecker{report}
	for i := range s.Faults {
		s.checkFault(fmt.Sprintf("fault[%d]", i), &s.Faults[i], k)
	}
}

// checkFault checks one fault.
func (s *Scenario) checkFault(field string, f *Fault, k rangeChecker) {
	report, within, timed := k.report, k.checkRange, k.checkDuration
	if known := append(slices.Clone(emulatedFaults), processFaults...); !slices.Contains(known, f.Kind) {
		report(field+".kind", fmt.Sprintf("%q is unknown: there are %s", f.Kind, strings.Join(known, ", ")))
		return
	}
	if f.Program != "" && f.Kind != faultRestart {
		report(field+".program", fmt.Sprintf("a fault %q starts no copy", f.Kind))
	}
	if f.Inner && !s.Inner.IsPresent() {
		report(field+".inner", "there is no tier behind")
	}
	within(field+".copies", float64(f.Copies), 0, float64(max(s.Copies.Count, s.Servers.Count)))
	timed(field+".delay", f.Delay, 0, time.Minute)
	timed(field+".jitter", f.Jitter, 0, time.Minute)
	within(field+".rate", float64(f.Rate), 0, 1e9)
	if !slices.Contains([]string{WayBoth, WayForward, WayBackward}, f.Way) {
		report(field+".way", fmt.Sprintf("%q is unknown: there are both, there and back", f.Way))
	}
	timed(field+".at", f.At, 0, time.Duration(s.For))
	timed(field+".for", f.For, 0, 24*time.Hour)
	within(field+".share", f.Share, 0, 1)
	within(field+".count", float64(f.Count), 0, maxServers)
	within(field+".speed", f.Speed, 0.001, 1000)
	within(field+".part", f.Part, 0, 1)
	within(field+".steps", float64(f.Steps), 1, 10_000)
	timed(field+".drain", f.Drain, 0, time.Hour)
	timed(field+".down", f.Down, 0, time.Hour)
	if f.Share > 0 && f.Count > 0 {
		report(field+".count", "a fault has a share or a count, not both")
	}
	if f.Zone != "" && !slices.Contains(s.Pool.Zones, f.Zone) {
		report(field+".zone", fmt.Sprintf("%q is none of the pool's zones", f.Zone))
	}
	whole := f.Kind == faultZone || f.Kind == faultCut
	if whole && f.Zone == "" {
		report(field+".zone", fmt.Sprintf("is missing: a fault %q befalls a zone", f.Kind))
	}
	if whole && (f.Share > 0 || f.Count > 0) {
		report(field+".share", fmt.Sprintf("a fault %q befalls the whole zone", f.Kind))
	}
	if !whole && f.Zone == "" && f.Share == 0 && f.Count == 0 {
		report(field+".share", "is missing, as are count and zone: whom does it befall?")
	}
}
