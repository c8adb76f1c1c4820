package balancer

import (
	"testing"
)

// TestCheapProbesChooseTheServer: where probes are cheap, a replica with few requests chooses the server with
// the shortest reported queue, and does not wait long for missing reports.
func TestCheapProbesChooseTheServer(t *testing.T) {
	set := testSettings()
	set.Limits.CanProbe, set.QueueLengthField, set.ProbeCost = true, 2, 0.001
	h := newHarness(t, set, serverEntries(8)...)
	h.b.meanQueueLength = 10 // most servers hold more than the probed ones: no second round of probes
	probed := h.request(1, 0)
	if len(probed) < 2 || probed[0].Kind != ActProbe {
		t.Fatalf("actions %+v, want probes before the send", probed)
	}
	var acts []Action
	for i, p := range probed {
		queueLength := float32(9 - i)
		acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{5, queueLength}, LoadReportLen: 2})
	}
	if shortest := probed[len(probed)-1].Server; len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Server != shortest {
		t.Errorf("actions %+v, want a send to server %d, which has the shortest queue", acts, shortest)
	}
	h.now += 1000
	h.request(2, 0)
	h.now += probeWaitShare*set.Classes[0].LatencyTarget + 1
	if acts = h.do(Event{Kind: EvTimer}); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send although no probe was answered", acts)
	}
	set.ProbeCost = 0.05
	h = newHarness(t, set, serverEntries(8)...)
	if acts = h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send without probes where these are expensive", acts)
	}
}

// TestProbesHoldBackLateRequests: the first tier does not send while each probed server holds more than the
// latency target allows; it waits, probes again, and sends when one has capacity.
func TestProbesHoldBackLateRequests(t *testing.T) {
	set := testSettings()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := newHarness(t, set, serverEntries(8)...)
	h.b.serviceTime = 150    // ms for each queued request; the latency target is 500
	h.b.meanQueueLength = 10 // most servers hold more than the probed ones: no second round of probes
	report := func(probes []Action, queueLength float32) (acts []Action) {
		for _, p := range probes {
			acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{queueLength}, LoadReportLen: 1})
		}
		return acts
	}
	if acts := report(h.request(1, 2), 5); len(acts) != 0 {
		t.Fatalf("actions %+v while each probed server holds five requests, want none", acts)
	}
	h.now += 100
	probes := h.do(Event{Kind: EvTimer, Token: h.b.timerToken})
	if len(probes) == 0 || probes[0].Kind != ActProbe {
		t.Fatalf("actions %+v, want more probes while the request waits", probes)
	}
	if acts := report(probes, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send to an idle server", acts)
	}
}

// TestBusyReportsAreProbedAgain: a request whose probed servers are all busy probes others, a bounded number
// of times.
func TestBusyReportsAreProbedAgain(t *testing.T) {
	set := testSettings()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := newHarness(t, set, serverEntries(30)...)
	h.b.meanQueueLength = 0.5
	acts, rounds := h.request(1, 0), 0
	for len(acts) > 0 && acts[0].Kind == ActProbe {
		rounds++
		for _, p := range acts {
			acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{3}, LoadReportLen: 1})
		}
	}
	if rounds != maxProbeRounds || len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("%d rounds of probes, then actions %+v; want %d rounds and a send", rounds, acts, maxProbeRounds)
	}
}

// TestRetrySurvivesBusyReports: a request that may be retried must not be ended because all probed servers
// are busy.
func TestRetrySurvivesBusyReports(t *testing.T) {
	set := testSettings()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := newHarness(t, set, serverEntries(12)...)
	report := func(acts []Action, queueLength float32) (last []Action) {
		for _, a := range acts {
			if a.Kind == ActProbe {
				last = h.do(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, LoadReportLen: 1, LoadReport: [4]float32{queueLength}})
			}
		}
		return last
	}
	sent := report(h.request(1, 0), 0)
	if len(sent) != 1 || sent[0].Kind != ActSend {
		t.Fatalf("actions %+v, want a send", sent)
	}
	for _, s := range h.b.usable {
		s.queueLength, s.queueLengthAt = 5, h.b.now
	}
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: sent[0].Server, Outcome: Error, Elapsed: 1})
	for range maxProbeRounds + 1 {
		for _, a := range acts {
			switch a.Kind {
			case ActReject, ActFail:
				t.Fatalf("actions %+v, want the request to stay open", acts)
			case ActSend:
				return
			}
		}
		acts = report(acts, 5)
	}
	t.Error("the retry was never sent")
}
