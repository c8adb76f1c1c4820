package faultdrill

import (
	"context"
	"time"

	"milletmast/internal/emulate"
	"milletmast/internal/testcluster"
)

// links returns the links between the chosen sidecars and the chosen servers of the fault.
func (in *injection) links() (links []*testcluster.Link) {
	servers := in.servers()
	sidecarChoice := *in.fault
	sidecarChoice.Share, sidecarChoice.Count, sidecarChoice.Zone = 0, in.fault.Copies, ""
	for _, c := range in.tier.chooseSidecars(&sidecarChoice, in.random) {
		for _, s := range servers {
			links = append(links, c.link(s))
		}
	}
	return links
}

func (in *injection) resetLinks(context.Context) {
	for _, l := range in.links() {
		l.Reset()
	}
}

func (in *injection) cutLinks(ctx context.Context) {
	links := in.links()
	for _, l := range links {
		in.setCut(l, in.fault.Way, true)
	}
	in.wait(ctx)
	for _, l := range links {
		in.setCut(l, in.fault.Way, false)
	}
}

func (in *injection) slowLinks(ctx context.Context) {
	links := in.links()
	conditions := testcluster.Conditions{
		Delay:  time.Duration(in.fault.Delay),
		Jitter: time.Duration(in.fault.Jitter),
		Rate:   in.fault.Rate,
	}
	for _, l := range links {
		l.SetConditions(testcluster.Forward, conditions)
		l.SetConditions(testcluster.Backward, conditions)
	}
	in.wait(ctx)
	for _, l := range links {
		in.tier.setNetworkConditions(l)
	}
}

// isolateZone partitions a zone from the others.
func (in *injection) isolateZone(ctx context.Context) {
	in.setIsolated(true)
	in.wait(ctx)
	in.setIsolated(false)
}

func (in *injection) setIsolated(isolated bool) {
	for _, c := range in.tier.sidecars {
		for _, s := range in.tier.servers {
			if (c.zone == in.fault.Zone) != (s.zone == in.fault.Zone) {
				in.setCut(c.link(s), emulate.WayBoth, isolated)
			}
		}
	}
}

// setCut blocks or unblocks a link in one or both directions.
func (in *injection) setCut(l *testcluster.Link, way string, isCut bool) {
	forward, backward := l.Conditions(testcluster.Forward), l.Conditions(testcluster.Backward)
	if way != emulate.WayBackward {
		forward.Blocked = isCut
	}
	if way != emulate.WayForward {
		backward.Blocked = isCut
	}
	l.SetConditions(testcluster.Forward, forward)
	l.SetConditions(testcluster.Backward, backward)
	if way != emulate.WayBoth {
		return
	}
	mode := testcluster.Accepting
	if isCut {
		mode = testcluster.Unreachable
	}
	if err := l.SetMode(mode); err != nil {
		in.setError(err)
	}
}
