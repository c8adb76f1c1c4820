package wire

import (
	"encoding/json"
	"fmt"
	"slices"

	"whinknot"
)

// envSettings mirrors the settings object of the wire; unknown keys are ignored.
type envSettings struct {
	Balancers      int        `json:"balancers"`
	Rank           int        `json:"rank"`
	Stage          int        `json:"stage"`
	Stages         []string   `json:"stages"`
	Locality       int        `json:"locality"`
	Zones          []string   `json:"zones"`
	Kinds          []string   `json:"kinds"`
	Membership     string     `json:"membershipMode"`
	WorthBy        string     `json:"worthBy"`
	OverShareWorth *float64   `json:"overShareWorth"`
	Classes        []envClass `json:"classes"`
	Parties        []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"parties"`
	Limits struct {
		MaxAttempts    int     `json:"maxAttempts"`
		OpenCap        int     `json:"openCap"`
		Cancel         bool    `json:"cancel"`
		SecondCopies   bool    `json:"secondCopies"`
		Probing        bool    `json:"probing"`
		RetryAfter     bool    `json:"retryAfter"`
		MaxRetryAfter  float64 `json:"maxRetryAfter"`
		ConnectTimeout float64 `json:"connectTimeout"`
		ConnIdle       float64 `json:"connIdle"`
		StreamsPerConn int     `json:"streamsPerConn"`
	} `json:"limits"`
	Safety struct {
		AnswerSlack  float64 `json:"answerSlack"`
		DrainGrace   float64 `json:"drainGrace"`
		ColdFrom     float64 `json:"coldFrom"`
		RampTime     float64 `json:"rampTime"`
		FallMultiple float64 `json:"fallMultiple"`
		TipAfter     float64 `json:"tipAfter"`
		AskEvery     float64 `json:"askEvery"`
		DrainClose   float64 `json:"drainClose"`
		BudgetFree   float64 `json:"budgetFree"`
		RepeatRatio  float64 `json:"repeatRatio"`
		LookBack     float64 `json:"lookBack"`
	} `json:"safety"`
	Goal struct {
		Whole       float64 `json:"whole"`
		WorstWindow float64 `json:"worstWindow"`
		WorstClass  float64 `json:"worstClass"`
	} `json:"goal"`
	Prices struct {
		Probe float64 `json:"probe"`
	} `json:"prices"`
	Feedback struct {
		Fields []string `json:"fields"`
	} `json:"feedback"`
}

type envClass struct {
	Name        string   `json:"name"`
	Worth       *float64 `json:"worth"`
	LateWorth   float64  `json:"lateWorth"`
	Aim         float64  `json:"aim"`
	AimStretch  float64  `json:"aimStretch"`
	GiveUp      float64  `json:"giveUp"`
	Effect      string   `json:"effect"`
	Group       string   `json:"group"`
	DedupWindow float64  `json:"dedupWindow"`
	Stream      bool     `json:"stream"`
}

var effects = map[string]whinknot.Effect{
	"read_like":       whinknot.Safe,
	"idempotency_key": whinknot.Keyed,
	"non_idempotent":  whinknot.Unsafe,
}

var groups = map[string]whinknot.Group{
	"all":  whinknot.GroupAll,
	"zone": whinknot.GroupZone,
	"cell": whinknot.GroupCell,
}

// Site is the settings object with the names that the module knows by number only.
type Site struct {
	Settings     whinknot.Settings
	Zones, Kinds []string
}

// ParseSettings reads the settings object that a start event carries.
func ParseSettings(text []byte) (whinknot.Settings, error) {
	site, err := ParseSite(text)
	return site.Settings, err
}

// ParseSite reads the same object for a host that meets zones and kinds by name.
func ParseSite(text []byte) (Site, error) {
	var env envSettings
	if err := json.Unmarshal(text, &env); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	l, s := env.Limits, env.Safety
	set := whinknot.Settings{
		Copies:         env.Balancers,
		Rank:           env.Rank,
		Stage:          env.Stage,
		Stages:         len(env.Stages),
		Zone:           env.Locality,
		ListOnRequest:  env.Membership == "on_request",
		WorthByWork:    env.WorthBy == "work",
		ProbePrice:     env.Prices.Probe,
		HeldField:      1 + slices.Index(env.Feedback.Fields, "busy_reqs"),
		OverShareWorth: orDefault(env.OverShareWorth, 1),
		Limits: whinknot.Limits{
			MaxAttempts: l.MaxAttempts, MaxOpen: l.OpenCap, Cancel: l.Cancel,
			SecondCopies: l.SecondCopies, Probes: l.Probing, RetryAfter: l.RetryAfter,
			MaxRetryAfter: l.MaxRetryAfter, ConnectTimeout: l.ConnectTimeout,
			ConnIdle: l.ConnIdle, Streams: l.StreamsPerConn,
		},
		Safety: whinknot.Safety{
			AnswerSlack: s.AnswerSlack, DrainGrace: s.DrainGrace, ColdFrom: s.ColdFrom,
			Ramp: s.RampTime, FallMultiple: s.FallMultiple, FallAfter: s.TipAfter, AskEvery: s.AskEvery,
			DrainClose: s.DrainClose, BudgetFree: s.BudgetFree, BudgetShare: s.RepeatRatio, BudgetWindow: s.LookBack,
		},
	}
	if all := env.Goal.Whole + env.Goal.WorstWindow; all > 0 {
		set.WorstClass = max(env.Goal.WorstClass, 0) / all
	}
	for i, c := range env.Classes {
		class, err := c.class()
		if err != nil {
			return Site{}, fmt.Errorf("settings: classes[%d]: %w", i, err)
		}
		set.Classes = append(set.Classes, class)
	}
	for _, p := range env.Parties {
		set.Tenants = append(set.Tenants, whinknot.Tenant{Name: p.Name, Quota: p.QuotaPerS})
	}
	return Site{Settings: set, Zones: env.Zones, Kinds: env.Kinds}, nil
}

// class turns one class of the settings into the module's; an absent effect is
// read as unsafe and an absent group as the cell, the strictest of each.
func (c envClass) class() (whinknot.Class, error) {
	effect, ok := effects[c.Effect]
	if c.Effect == "" {
		effect, ok = whinknot.Unsafe, true
	}
	if !ok {
		return whinknot.Class{}, fmt.Errorf("effect %q is unknown", c.Effect)
	}
	group, ok := groups[c.Group]
	if c.Group == "" {
		group, ok = whinknot.GroupCell, true
	}
	if !ok {
		return whinknot.Class{}, fmt.Errorf("group %q is unknown", c.Group)
	}
	return whinknot.Class{
		Name: c.Name, Worth: orDefault(c.Worth, 1), LateWorth: c.LateWorth,
		Aim: c.Aim, AimStretch: c.AimStretch, GiveUp: c.GiveUp,
		Effect: effect, Group: group, Window: c.DedupWindow, Stream: c.Stream,
	}, nil
}

func orDefault(v *float64, d float64) float64 {
	if v == nil {
		return d
	}
	return *v
}
