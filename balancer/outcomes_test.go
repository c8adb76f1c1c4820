package balancer

import (
	"testing"
)

// TestFailureRunEjectsAndTrialsReadmit: a run of failures ejects a server between load updates. Successful trial
// requests end the ejection.
func TestFailureRunEjectsAndTrialsReadmit(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(10)...)
	s := h.b.usable[0]
	for range 3 {
		h.b.recordOutcome(s, 0, Error, 1)
	}
	if !s.ejected || h.b.currentLoad(s) > 1 {
		t.Fatalf("after three failures: ejected %v, load %v", s.ejected, h.b.currentLoad(s))
	}
	for range trialSuccesses {
		h.b.recordOutcome(s, 0, OK, 20)
	}
	if s.ejected || s.measured {
		t.Errorf("after successful trials: ejected %v, measured %v", s.ejected, s.measured)
	}
}

// TestSharedFaultDoesNotEjectAllServers: when nearly all servers fail at the same time, the fault is a shared
// one, and most servers must not be ejected.
func TestSharedFaultDoesNotEjectAllServers(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(10)...)
	for range 10 {
		for _, s := range h.b.usable {
			h.b.recordOutcome(s, 0, Timeout, 500)
		}
	}
	ejected := 0
	for _, s := range h.b.usable {
		if s.ejected {
			ejected++
		}
	}
	if ejected > 4 {
		t.Errorf("%d of 10 servers ejected, want at most 4", ejected)
	}
}
