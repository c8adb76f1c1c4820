package operator

import (
	"slices"
	"time"

	"whinknot"
)

var effects = map[string]whinknot.Effect{"safe": whinknot.Safe, "keyed": whinknot.Keyed, "unsafe": whinknot.Unsafe}
var groups = map[string]whinknot.Group{"all": whinknot.GroupAll, "zone": whinknot.GroupZone, "cell": whinknot.GroupCell}

const (
	answerSlack   = 20.0   // ms
	fallMultiple  = 2.5    // the figures of the third rule: a cold server is pushed over
	fallAfter     = 1000.0 // ms
	maxRetryAfter = 2000.0 // ms
	askEvery      = 10_000.0
)

// Settings are the pool's for the decision module. Requests are refused at once when no server is listed.
func (p *Pool) Settings() whinknot.Settings {
	set := whinknot.Settings{
		Copies: p.Copies, Rank: p.Rank, Zone: max(slices.Index(p.Zones, p.Zone), 0), OverShareWorth: 1,
		Limits: whinknot.Limits{
			MaxAttempts: p.Attempts, Cancel: true, RetryAfter: true, MaxRetryAfter: maxRetryAfter,
			ConnectTimeout: p.ConnectTimeout.MS(), ConnIdle: p.IdleTimeout.MS(), RefuseEmpty: true, Streams: 1,
		},
		Safety: whinknot.Safety{
			AnswerSlack: answerSlack, DrainGrace: p.DrainGrace.MS(), ColdFrom: p.ColdFrom, Ramp: p.Ramp.MS(),
			FallMultiple: fallMultiple, FallAfter: fallAfter, AskEvery: askEvery,
			BudgetFree: float64(p.RetryFree), BudgetShare: p.RetryShare, BudgetWindow: p.RetryWindow.MS(),
		},
	}
	if p.Protocol == GRPC {
		set.Limits.Streams = p.Streams
	}
	for _, c := range p.Classes {
		set.Classes = append(set.Classes, whinknot.Class{
			Name: c.Name, Worth: c.Worth, LateWorth: c.Late, Aim: c.Aim.MS(), GiveUp: c.GiveUp.MS(),
			Effect: effects[c.Effect], Group: groups[c.Group], Window: c.Window.MS(), Stream: c.Stream,
		})
	}
	for _, t := range p.Tenants {
		set.Tenants = append(set.Tenants, whinknot.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return set
}

// StartedMS is when a server last started, as Unix time in milliseconds; 0 for long ago.
func (s *Server) StartedMS() float64 {
	if t, err := time.Parse(time.RFC3339, s.Started); err == nil {
		return float64(t.UnixMilli())
	}
	return 0
}
