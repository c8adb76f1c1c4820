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
	groups  = map[string]balancer.Group{"all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}
)

// Settings of the decision module that a file does not set. Times are in milliseconds.
const (
	answerSlack   = 20.0
	fallMultiple  = 2.5    // a cold server fails if it gets so many times the requests that it can take
	fallAfter     = 1000.0 // for so long
	maxRetryAfter = 2000.0
	askEvery      = 10_000.0
)

// Settings returns the pool's settings of the decision module. Requests are refused at once when no server is listed.
func (p *Pool) Settings() balancer.Settings {
	set := balancer.Settings{
		Copies: p.Copies, Rank: p.Rank, Zone: max(slices.Index(p.Zones, p.Zone), 0), OverShareWorth: 1,
		Limits: balancer.Limits{
			MaxAttempts: p.Attempts, Cancel: true, RetryAfter: true, MaxRetryAfter: maxRetryAfter,
			ConnectTimeout: p.ConnectTimeout.MS(), ConnIdle: p.IdleTimeout.MS(), RefuseEmpty: true, Streams: 1,
		},
		Safety: balancer.Safety{
			AnswerSlack: answerSlack, DrainGrace: p.DrainGrace.MS(), ColdFrom: p.ColdFrom, Ramp: p.Ramp.MS(),
			FallMultiple: fallMultiple, FallAfter: fallAfter, AskEvery: askEvery,
			BudgetFree: float64(p.RetryFree), BudgetShare: p.RetryShare, BudgetWindow: p.RetryWindow.MS(),
		},
	}
	if p.Protocol == GRPC {
		set.Limits.Streams = p.Streams
	}
	for _, c := range p.Classes {
		set.Classes = append(set.Classes, balancer.Class{
			Name: c.Name, Worth: c.Worth, LateWorth: c.Late, Aim: c.Aim.MS(), GiveUp: c.GiveUp.MS(),
			Effect: effects[c.Effect], Group: groups[c.Group], Window: c.Window.MS(), Stream: c.Stream,
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
