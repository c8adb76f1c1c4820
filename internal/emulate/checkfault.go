package emulate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// CheckFaults reports the errors in the faults of the scenario.
func (s *Scenario) CheckFaults(report func(field, text string)) {
	if len(s.Faults) > maxFaults {
		report("fault", fmt.Sprintf("%d faults are given: at most %d are allowed", len(s.Faults), maxFaults))
		return
	}
	k := rangeChecker{report}
	for i := range s.Faults {
		s.checkFault(fmt.Sprintf("fault[%d]", i), &s.Faults[i], k)
	}
}

// checkFault checks one fault.
func (s *Scenario) checkFault(field string, f *Fault, k rangeChecker) {
	report, checkRange, checkDuration := k.report, k.checkRange, k.checkDuration
	if known := append(slices.Clone(emulatedFaults), processFaults...); !slices.Contains(known, f.Kind) {
		report(field+".kind", fmt.Sprintf("%q is unknown: allowed are %s", f.Kind, strings.Join(known, ", ")))
		return
	}
	if f.Program != "" && f.Kind != faultRestart {
		report(field+".program", fmt.Sprintf("a fault %q starts no copy", f.Kind))
	}
	if f.Inner && !s.Inner.IsPresent() {
		report(field+".inner", "there is no tier behind the servers: the table [inner] is absent")
	}
	checkRange(field+".copies", float64(f.Copies), 0, float64(max(s.Copies.Count, s.Servers.Count)))
	checkDuration(field+".delay", f.Delay, 0, time.Minute)
	checkDuration(field+".jitter", f.Jitter, 0, time.Minute)
	checkRange(field+".rate", float64(f.Rate), 0, 1e9)
	if !slices.Contains([]string{WayBoth, WayForward, WayBackward}, f.Way) {
		report(field+".way", fmt.Sprintf("%q is unknown: allowed are \"both\", \"there\" and \"back\"", f.Way))
	}
	checkDuration(field+".at", f.At, 0, time.Duration(s.For))
	checkDuration(field+".for", f.For, 0, 24*time.Hour)
	checkRange(field+".share", f.Share, 0, 1)
	checkRange(field+".count", float64(f.Count), 0, maxServers)
	checkRange(field+".speed", f.Speed, 0.001, 1000)
	checkRange(field+".part", f.Part, 0, 1)
	checkRange(field+".steps", float64(f.Steps), 1, 10_000)
	checkDuration(field+".drain", f.Drain, 0, time.Hour)
	checkDuration(field+".down", f.Down, 0, time.Hour)
	if f.Share > 0 && f.Count > 0 {
		report(field+".count", "a fault has a share or a count, not both")
	}
	if f.Zone != "" && !slices.Contains(s.Pool.Zones, f.Zone) {
		report(field+".zone", fmt.Sprintf("%q is none of the pool's zones", f.Zone))
	}
	wholeZone := f.Kind == faultZone || f.Kind == faultCut
	if wholeZone && f.Zone == "" {
		report(field+".zone", fmt.Sprintf("is missing: a fault %q needs the name of the zone that it affects", f.Kind))
	}
	if wholeZone && (f.Share > 0 || f.Count > 0) {
		report(field+".share", fmt.Sprintf("a fault %q affects the whole zone: share and count must be absent", f.Kind))
	}
	if !wholeZone && f.Zone == "" && f.Share == 0 && f.Count == 0 {
		report(field+".share", "is missing: share, count or zone must state what the fault affects")
	}
}
