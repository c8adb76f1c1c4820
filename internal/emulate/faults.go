package emulate

import "math"

// Fault is a fault that is injected into the fleet.
type Fault struct {
	Kind  string   `toml:"kind"` // one of the kinds below
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Zone  string   `toml:"zone"`  // only servers or sidecars of this zone are affected; "" for all zones
	Share float64  `toml:"share"` // share of them that is affected; 0 if Count is set
	Count int      `toml:"count"` // number of them that are affected; 0 if Share is set
	Speed float64  `toml:"speed"` // factor of the speed of a slow server
	Part  float64  `toml:"part"`  // share of the requests to which a failing server responds with an error
	Steps int      `toml:"steps"` // number of steps of a replacement or of restarts, evenly over the time
	Drain Duration `toml:"drain"` // from the change to draining until the server ends
	Kill  bool     `toml:"kill"`  // sidecars end without finishing their open requests
	Down  Duration `toml:"down"`  // time for which a restarting sidecar is down
	// For drills only:
	Inner   bool     `toml:"inner"`   // the fault affects servers or sidecars of the second tier
	Program string   `toml:"program"` // program that restarted sidecars run from then on, for fleets of mixed versions
	Copies  int      `toml:"copies"`  // number of sidecars whose links are affected; 0 for all
	Way     string   `toml:"way"`     // direction in which a link is cut: both, there (from sidecar to server) or back
	Delay   Duration `toml:"delay"`   // of slow links, in each direction
	Jitter  Duration `toml:"jitter"`  // upper bound of a random addition to Delay
	Rate    int      `toml:"rate"`    // bytes a second in each direction; 0 for no limit
}

// The kinds of faults that the emulator supports.
const (
	faultSlow      = "slow"       // servers have another speed for the time
	faultFailing   = "failing"    // servers respond to a part of the requests with an error, at once and without working
	faultSilent    = "silent"     // servers accept connections and requests and never respond
	faultCrash     = "crash"      // servers are down for the time and start again cold
	faultReplace   = "replace"    // servers drain, end, and others start cold in their place, in steps over the time
	faultZone      = "zone"       // servers and sidecars of a zone are down for the time; the servers start again cold
	faultCut       = "cut"        // network partition between a zone and the others
	faultRestart   = "restart"    // sidecars end and start again, in steps over the time
	faultStall     = "stall"      // sidecars execute nothing for the time
	faultListLate  = "list-late"  // sidecars receive changes of discovery only at the end of the time
	faultListShort = "list-short" // sidecars receive a full list without a share of the servers, and the correct one at the end
	faultHold      = "hold"       // operators hold servers out of service, and release them at the end
)

// The kinds of faults that only drills support.
const (
	FaultStarve    = "starve"     // sidecars get the share "speed" of a core for the time
	FaultLinkCut   = "link-cut"   // links of sidecars to servers carry nothing in one direction or both; with both, connects fail
	FaultLinkReset = "link-reset" // the open connections between sidecars and servers are reset, once
	FaultLinkSlow  = "link-slow"  // links between sidecars and servers have a delay and a limit of bytes a second
)

// The kinds of faults that the emulator and drills support.
const (
	FaultSlow      = faultSlow
	FaultFailing   = faultFailing
	FaultSilent    = faultSilent
	FaultCrash     = faultCrash
	FaultReplace   = faultReplace
	FaultZone      = faultZone
	FaultCut       = faultCut
	FaultRestart   = faultRestart
	FaultStall     = faultStall
	FaultListLate  = faultListLate
	FaultListShort = faultListShort
)

// The directions in which a link is cut.
const (
	WayBoth     = "both"
	WayForward  = "there"
	WayBackward = "back"
)

var processFaults = []string{FaultStarve, FaultLinkCut, FaultLinkReset, FaultLinkSlow}

var emulatedFaults = []string{
	faultSlow, faultFailing, faultSilent, faultCrash, faultReplace, faultZone, faultCut, faultRestart, faultStall,
	faultListLate, faultListShort, faultHold,
}

// Number returns how many of n the fault affects.
func (f *Fault) Number(n int) int {
	switch {
	case f.Count > 0:
		return min(f.Count, n)
	case f.Share > 0:
		return int(math.Round(f.Share * float64(n)))
	}
	return n // all of the zone
}
