package faultdrill

import (
	"net/http"
	"slices"
	"strings"

	"milletmast/internal/testcluster"
)

// evaluate counts the facts of a history and checks the rules for each tier. LoadStart is the start of the load in ns, stalls are those of
// this process.
func (d *drillRun) evaluate(res *Result, facts []testcluster.Fact, loadStart int64, stalls testcluster.Stalls) {
	d.countFacts(res, facts, loadStart)
	places := map[string]ServerPlace{}
	for _, t := range d.tiers() {
		for _, s := range t.allServers {
			places[s.name] = ServerPlace{Zone: max(slices.Index(t.pool.Zones, s.zone), 0), Cell: s.cell}
		}
	}
	for _, t := range d.tiers() {
		name := "outer"
		if t.isInner {
			name = "inner"
		}
		sidecars, servers := t.prefixes()
		isOwn := func(f *testcluster.Fact) bool {
			if f.Copy != "" {
				return strings.HasPrefix(f.Copy, sidecars)
			}
			return strings.HasPrefix(f.Server, servers)
		}
		res.Verdicts = append(res.Verdicts, checkHistory(name, t.pool, t.spec, places, ownFacts(facts, isOwn), startOf(facts), stalls))
	}
}

// ownFacts returns the facts of one tier.
func ownFacts(facts []testcluster.Fact, isOwn func(*testcluster.Fact) bool) (own []testcluster.Fact) {
	for i := range facts {
		if isOwn(&facts[i]) {
			own = append(own, facts[i])
		}
	}
	return own
}

// countFacts counts attempts, faults, and the requests of each sidecar of the outer tier.
func (d *drillRun) countFacts(res *Result, facts []testcluster.Fact, loadStart int64) {
	bySidecar := map[string]*SidecarResult{}
	for i := range facts {
		f := &facts[i]
		switch f.Kind {
		case testcluster.FactSent:
			res.Attempts++
		case testcluster.FactOverloaded:
			res.Overloads++
		case testcluster.FactFault:
			res.Faults = append(res.Faults, FaultTime{f.Text, float64(f.At-loadStart) / 1e9, float64(f.Due-loadStart) / 1e9})
		case testcluster.FactWritten, testcluster.FactAnswered, testcluster.FactUnanswered, testcluster.FactClientLeft:
			label, _, _ := strings.Cut(f.Copy, ".")
			if bySidecar[label] == nil {
				bySidecar[label] = &SidecarResult{Copy: label}
			}
			bySidecar[label].count(f)
		}
	}
	for _, c := range d.outerTier.sidecars {
		if s := bySidecar[c.label()]; s != nil {
			res.Sidecars = append(res.Sidecars, *s)
		}
	}
}

// count adds a fact of a client.
func (s *SidecarResult) count(f *testcluster.Fact) {
	switch {
	case f.Kind == testcluster.FactWritten:
		s.Asked++
	case f.Kind == testcluster.FactAnswered && f.Status == http.StatusOK:
		s.Served++
	case f.Kind == testcluster.FactAnswered && (f.Status == http.StatusServiceUnavailable || f.Status == http.StatusTooManyRequests):
		s.Refused++
	default:
		s.Failed++
	}
}

// summarize computes the totals from the results of the tiers. End is the end of the load in ms, written the number of requests.
func (r *Result) summarize(end float64, written uint64) {
	r.Summarize(end, written, r.Verdicts[0].checker)
	r.Violations = []string{}
	r.ViolationCount = 0
	for _, v := range r.Verdicts {
		r.ViolationCount += v.ViolationCount
		for _, b := range v.Violations {
			r.Violations = append(r.Violations, v.Tier+": "+b)
		}
	}
}
