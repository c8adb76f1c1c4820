package wire

import (
	"encoding/json"
	"fmt"
	"slices"

	"milletmast/balancer"
)

// settingsJSON is the settings object of the wire. Unknown keys are ignored.
type settingsJSON struct {
	Balancers      int         `json:"balancers"`
	Rank           int         `json:"rank"`
	Stage          int         `json:"stage"`
	Stages         []string    `json:"stages"`
	Locality       int         `json:"locality"`
	Zones          []string    `json:"zones"`
	Kinds          []string    `json:"kinds"`
	Membership     string      `json:"membershipMode"`
	WorthBy        string      `json:"worthBy"`
	OverShareWorth *float64    `json:"overShareWorth"`
	Classes        []classJSON `json:"classes"`
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

// classJSON is one class of the settings object.
type classJSON struct {
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

// effects maps the names of effects in the settings object.
var effects = map[string]balancer.Effect{
	"read_like":       balancer.Safe,
	"idempotency_key": balancer.Keyed,
	"non_idempotent":  balancer.Unsafe,
}

// groups maps the names of deduplication groups in the settings object.
var groups = map[string]balancer.DedupGroup{
	"all":  balancer.DedupAll,
	"zone": balancer.DedupZone,
	"cell": balancer.DedupCell,
}

// Site is the settings object together with the names of the zones and kinds, which the decision module knows by number only.
type Site struct {
	Settings     balancer.Settings
	Zones, Kinds []string
}

// ParseSettings parses the settings object of an instance that starts.
func ParseSettings(text []byte) (balancer.Settings, error) {
	site, err := ParseSite(text)
	return site.Settings, err
}

// ParseSite parses the settings object and keeps the names of its zones and kinds.
func ParseSite(text []byte) (Site, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	limits, safety := parsed.Limits, parsed.Safety
	settings := balancer.Settings{
		Replicas:         parsed.Balancers,
		Rank:             parsed.Rank,
		Tier:             parsed.Stage,
		Tiers:            len(parsed.Stages),
		Zone:             parsed.Locality,
		PollsList:        parsed.Membership == "on_request",
		WeightByWork:     parsed.WorthBy == "work",
		ProbeCost:        parsed.Prices.Probe,
		QueueLengthField: 1 + slices.Index(parsed.Feedback.Fields, "busy_reqs"),
		OverQuotaShare:   orDefault(parsed.OverShareWorth, 1),
		Limits: balancer.Limits{
			MaxAttempts: limits.MaxAttempts, MaxRequests: limits.OpenCap, CanCancel: limits.Cancel,
			CanHedge: limits.SecondCopies, CanProbe: limits.Probing, RetryAfter: limits.RetryAfter,
			MaxRetryAfter: limits.MaxRetryAfter, ConnectTimeout: limits.ConnectTimeout,
			ConnIdleTimeout: limits.ConnIdle, StreamsPerConn: limits.StreamsPerConn,
		},
		Safety: balancer.Safety{
			ResponseSlack:     safety.AnswerSlack,
			DrainGrace:        safety.DrainGrace,
			SlowStartShare:    safety.ColdFrom,
			SlowStartTime:     safety.RampTime,
			OverloadMultiple:  safety.FallMultiple,
			OverloadTime:      safety.TipAfter,
			ListInterval:      safety.AskEvery,
			DrainCloseTime:    safety.DrainClose,
			RetryBudgetMin:    safety.BudgetFree,
			RetryBudgetShare:  safety.RepeatRatio,
			RetryBudgetWindow: safety.LookBack,
		},
	}
	if all := parsed.Goal.Whole + parsed.Goal.WorstWindow; all > 0 {
		settings.WorstClassWeight = max(parsed.Goal.WorstClass, 0) / all
	}
	for i := range parsed.Classes {
		class, err := parsed.Classes[i].toClass()
		if err != nil {
			return Site{}, fmt.Errorf("settings: classes[%d]: %w", i, err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, party := range parsed.Parties {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: party.Name, Quota: party.QuotaPerS})
	}
	return Site{Settings: settings, Zones: parsed.Zones, Kinds: parsed.Kinds}, nil
}

// toClass converts a class of the settings. An absent effect is read as unsafe and an absent group as the cell: the strictest of each.
func (c *classJSON) toClass() (balancer.Class, error) {
	effect, found := effects[c.Effect]
	if c.Effect == "" {
		effect, found = balancer.Unsafe, true
	}
	if !found {
		return balancer.Class{}, fmt.Errorf("effect %q is unknown: allowed are read_like, idempotency_key and non_idempotent", c.Effect)
	}
	group, found := groups[c.Group]
	if c.Group == "" {
		group, found = balancer.DedupCell, true
	}
	if !found {
		return balancer.Class{}, fmt.Errorf("group %q is unknown: allowed are all, zone and cell", c.Group)
	}
	return balancer.Class{
		Name: c.Name, PriorityWeight: orDefault(c.Worth, 1), LateShare: c.LateWorth,
		LatencyTarget: c.Aim, TargetPerWork: c.AimStretch, Timeout: c.GiveUp,
		Effect: effect, DedupGroup: group, DedupWindow: c.DedupWindow, Streaming: c.Stream,
	}, nil
}

// orDefault returns the value, or a default for an absent one.
func orDefault(value *float64, defaultValue float64) float64 {
	if value == nil {
		return defaultValue
	}
	return *value
}
