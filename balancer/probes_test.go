package balancer

import (
	"testing"
)

// TestCheapProbesChooseTheServer: where probes are all but free, a replica with few requests goes by the
// queues that servers report, and does not wait for reports that do not come.
func TestCheapProbesChooseTheServer(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField, set.ProbeCost = true, 2, 0.001
	h := start(t, set, ids(8)...)
	h.b.meanQueueLength = 10 // most servers hold more than those asked: no second question
	probed := h.request(1, 0)
	if len(probed) < 2 || probed[0].Kind != ActProbe {
		t.Fatalf("want probes before the send: %+v", probed)
	}
	var acts []Action
	for i, p := range probed {
		held := float32(9 - i)
		acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{5, held}, LoadReportLen: 2})
	}
	if least := probed[len(probed)-1].Server; len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Server != least {
		t.Errorf("actions %+v, want a send to server %d, which holds least", acts, least)
	}
	h.now += 1000
	h.request(2, 0)
	h.now += probeWaitShare*set.Classes[0].LatencyTarget + 1
	if acts = h.do(Event{Kind: EvTimer}); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want a send though no probe came back", acts)
	}
	set.ProbeCost = 0.05
	h = start(t, set, ids(8)...)
	if acts = h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("actions %+v, want no probes where they are dear", acts)
	}
}

// TestProbesHoldBackLateRequests: the first tier does not send while each probed server holds more than the
// latency target allows; it waits, probes again, and sends when one has capacity.
func TestProbesHoldBackLateRequests(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := start(t, set, ids(8)...)
	h.b.serviceTime = 150    // ms for each request held, latency target 500
	h.b.meanQueueLength = 10 // most servers hold more than those asked: no second question
	answer := func(probes []Action, held float32) (acts []Action) {
		for _, p := range probes {
			acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{held}, LoadReportLen: 1})
		}
		return acts
	}
	if acts := answer(h.request(1, 2), 5); len(acts) != 0 {
		t.Fatalf("sent to a server that holds five: %+v", acts)
	}
	h.now += 100
	again := h.do(Event{Kind: EvTimer, Token: h.b.timerToken})
	if len(again) == 0 || again[0].Kind != ActProbe {
		t.Fatalf("want other servers asked while the request waits: %+v", again)
	}
	if acts := answer(again, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("want a send to an idle server: %+v", acts)
	}
}

// TestBusyReportsAreProbedAgain: a request whose probed servers are all busy probes others, a bounded number
// of times.
func TestBusyReportsAreProbedAgain(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := start(t, set, ids(30)...)
	h.b.meanQueueLength = 0.5
	acts, rounds := h.request(1, 0), 0
	for len(acts) > 0 && acts[0].Kind == ActProbe {
		rounds++
		for _, p := range acts {
			acts = h.do(Event{Kind: EvProbeResult, Server: p.Server, Outcome: OK, LoadReport: [4]float32{3}, LoadReportLen: 1})
		}
	}
	if rounds != maxProbeRounds || len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("asked %d times, then %+v; want %d times and a send", rounds, acts, maxProbeRounds)
	}
}

// TestRetrySurvivesBusyReports: a request that may be retried is not ended because all probed servers are
// busy.
func TestRetrySurvivesBusyReports(t *testing.T) {
	set := plain()
	set.Limits.CanProbe, set.QueueLengthField = true, 1
	h := start(t, set, ids(12)...)
	answer := func(acts []Action, held float32) (last []Action) {
		for _, a := range acts {
			if a.Kind == ActProbe {
				last = h.do(Event{Kind: EvProbeResult, Server: a.Server, Outcome: OK, LoadReportLen: 1, LoadReport: [4]float32{held}})
			}
		}
		return last
	}
	sent := answer(h.request(1, 0), 0)
	if len(sent) != 1 || sent[0].Kind != ActSend {
		t.Fatalf("want a send: %+v", sent)
	}
	for _, s := range h.b.usable {
		s.queueLength, s.queueLengthAt = 5, h.b.now
	}
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: sent[0].Server, Outcome: Error, Elapsed: 1})
	for range maxProbeRounds + 1 {
		for _, a := range acts {
			switch a.Kind {
			case ActReject, ActFail:
				t.Fatalf("ended: %+v", acts)
			case ActSend:
				return
			}
		}
		acts = answer(acts, 5)
	}
	t.Error("the retry was never sent")
}
