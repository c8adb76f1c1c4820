package emulate

import "math"

// Fault is a fault of the fleet.
type Fault struct {
	Kind  string   `toml:"kind"` // see faults
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Zone  string   `toml:"zone"`  // of the servers or sidecars that it affects; with it
	Share float64  `toml:"share"` // this share of them, or
	Count int      `toml:"count"` // so many
	Speed float64  `toml:"speed"` // of a slow server, against its own
	Part  float64  `toml:"part"`  // of its requests that a failing server answers with an error
	Steps int      `toml:"steps"` // of a replacement or of restarts, evenly over the time
	Drain Duration `toml:"drain"` // from the change to draining until the server ends
	Kill  bool     `toml:"kill"`  // sidecars end without finishing their open requests
	Down  Duration `toml:"down"`  // a sidecar that restarts is down for so long
	// Over processes only:
	Inner   bool     `toml:"inner"`   // it affects servers or sidecars of the second tier
	Program string   `toml:"program"` // sidecars that restart run this program from then on: old beside new
	Copies  int      `toml:"copies"`  // of a fault of links: those of so many sidecars; 0 for all
	Way     string   `toml:"way"`     // of a cut link: both, there (from sidecar to server) or back
	Delay   Duration `toml:"delay"`   // of slow links, each way
	Jitter  Duration `toml:"jitter"`  // up to so much more
	Rate    int      `toml:"rate"`    // bytes a second, each way; 0 for no limit
}

// The kinds of faults that the emulator plays.
const (
	faultSlow    = "slow"       // servers have another speed for the time
	faultFailing = "failing"    // servers answer a part of what comes with an error, at once and without working
	faultSilent  = "silent"     // servers take what comes and say nothing
	faultCrash   = "crash"      // servers are down for the time and start again cold
	faultReplace = "replace"    // servers drain, end, and others start cold in their place, in steps over the time
	faultZone    = "zone"       // servers and sidecars of a zone are down for the time; the servers start again cold
	faultCut     = "cut"        // nothing passes between a zone and the others
	faultRestart = "restart"    // sidecars end and start again, in steps over the time
	faultStall   = "stall"      // sidecars do nothing at all for the time
	faultDeaf    = "list-late"  // sidecars get no changes from discovery, and all of them at the end
	faultShort   = "list-short" // sidecars get a full list from which a share of the servers is missing; the true one at the end
	faultHold    = "hold"       // operators hold servers out, and release them at the end
)

// The kinds of faults that only processes can play.
const (
	FaultStarve    = "starve"     // sidecars get the share "speed" of a core for the time
	FaultLinkCut   = "link-cut"   // nothing passes between sidecars and servers, one way or both; with both no connection is made
	FaultLinkReset = "link-reset" // the open connections between sidecars and servers are reset, once
	FaultLinkSlow  = "link-slow"  // links between sidecars and servers have a delay and a limit of bytes a second
)

// The kinds of faults that both play.
const (
	FaultSlow    = faultSlow
	FaultFailing = faultFailing
	FaultSilent  = faultSilent
	FaultCrash   = faultCrash
	FaultReplace = faultReplace
	FaultZone    = faultZone
	FaultCut     = faultCut
	FaultRestart = faultRestart
	FaultStall   = faultStall
	FaultDeaf    = faultDeaf
	FaultShort   = faultShort
)

// The directions in which a link is cut.
const (
	WayBoth     = "both"
	WayForward  = "there"
	WayBackward = "back"
)

var processFaults = []string{FaultStarve, FaultLinkCut, FaultLinkReset, FaultLinkSlow}

var emulatedFaults = []string{
	faultSlow, faultFailing, faultSilent, faultCrash, faultReplace, faultZone, faultCut, faultRestart, faultStall, faultDeaf, faultShort,
	faultHold,
}

// Number returns how many of n the fault affects.
func (f *Fault) Number(n int) int {
	switch {
	case f.Count > 0:
		return min(f.Count, n)
	case f.Share > 0:
		return int(math.Round(f.Share * float64(n)))
	}
	return n // of the zone all
}
