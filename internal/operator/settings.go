package operator

import (
	"slices"
	"time"

	"milletmast/balancer"
)

// effectKeyed is the effect of a class whose requests carry a key, by which servers drop repeats.
const effectKeyed = "keyed"

// effects and groups are the values of the keys effect and group of a class.
var (
	effects = map[string]balancer.Effect{"safe": balancer.Safe, effectKeyed: balancer.Keyed, "unsafe": balancer.Unsafe}
	groups  = map[string]balancer.DedupGroup{"all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell}
)

// Settings of the decision module that a file cannot set. Times are in milliseconds.
const (
	responseSlack    = 20.0
	overloadMultiple = 2.5    // a cold server fails if it gets this multiple of the requests that it can take
	overloadTime     = 1000.0 // for this time
	maxRetryAfter    = 2000.0
	listInterval     = 10_000.0
)

// Settings returns the pool's settings of the decision module. Requests are refused at once when no server is listed.
func (p *Pool) Settings() balancer.Settings {
	set := balancer.Settings{
		Replicas: p.Copies, Rank: p.Rank, Zone: max(slices.Index(p.Zones, p.Zone), 0), OverQuotaShare: 1,
		Limits: balancer.Limits{
			MaxAttempts: p.Attempts, CanCancel: true, RetryAfter: true, MaxRetryAfter: maxRetryAfter,
			ConnectTimeout: p.ConnectTimeout.MS(), ConnIdleTimeout: p.IdleTimeout.MS(), RejectWithoutServers: true, StreamsPerConn: 1,
		},
		Safety: balancer.Safety{
			ResponseSlack: responseSlack, DrainGrace: p.DrainGrace.MS(), SlowStartShare: p.ColdFrom, SlowStartTime: p.Ramp.MS(),
			OverloadMultiple: overloadMultiple, OverloadTime: overloadTime, ListInterval: listInterval,
			RetryBudgetMin: float64(p.RetryFree), RetryBudgetShare: p.RetryShare, RetryBudgetWindow: p.RetryWindow.MS(),
		},
	}
	if p.Protocol == GRPC {
		set.Limits.StreamsPerConn = p.Streams
	}
	for _, c := range p.Classes {
		set.Classes = append(set.Classes, balancer.Class{
			Name: c.Name, PriorityWeight: c.Worth, LateShare: c.Late, LatencyTarget: c.Aim.MS(), Timeout: c.GiveUp.MS(),
			Effect: effects[c.Effect], DedupGroup: groups[c.Group], DedupWindow: c.Window.MS(), Streaming: c.Stream,
		})
	}
	for _, t := range p.Tenants {
		set.Tenants = append(set.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return set
}

// StartedMS returns when a server last started, as Unix time in milliseconds; 0 for long ago.
func (s *Server) StartedMS() float64 {
	if t, err := time.Parse(time.RFC3339, s.Started); err == nil {
		return float64(t.UnixMilli())
	}
	return 0
}
