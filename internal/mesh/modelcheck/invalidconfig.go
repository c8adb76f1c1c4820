package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
)

// validConfig is the text of a configuration, for its version and the name of its route.
const validConfig = `{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","deadline_s",` +
	`"target_latency_s","weighted_targets"],"tuples":[[%q,"a.example","/a/","safe",7.112,0.5,` +
	`[{"target":"one","weight":1},{"target":"two","weight":0}]]]},"services":{"attributes":["name"],"tuples":[["one"],["two"]]}}`

// defect is a way in which a configuration is invalid: a part of validConfig is replaced.
type defect struct{ name, old, replacement string }

// defects are the defects of invalid configurations that operators send.
var defects = []defect{
	{"truncated", `["two"]]}}`, `["two"]]}`},
	{"a tuple without one of the values", `"safe",`, ``},
	{"unknown route class", `"safe"`, `"idempotent"`},
	{"no route class", `"safe"`, `null`},
	{"empty authority", `"a.example"`, `""`},
	{"no authority", `"a.example"`, `null`},
	{"target latency a minute above the deadline", `7.112,0.5`, `7,67`},
	{"target latency a minute above the deadline, in fractions", `7.112,0.5`, latencyOfMinuteInFractions},
	{"target latency more than a minute above the deadline", `7.112,0.5`, `7.112,70`},
	{"weights that sum to 0", `"weight":1`, `"weight":0`},
	{"no targets", `[{"target":"one","weight":1},{"target":"two","weight":0}]`, `[]`},
	{"unknown service", `"target":"one"`, `"target":"three"`},
	{"unknown service of weight 0", `"target":"two"`, `"target":"three"`},
}

// latencyOfMinuteInFractions is a deadline and a target latency exactly a minute above it, which binary fractions do not represent.
const latencyOfMinuteInFractions = `7.112,67.112`

// configText returns the text of the configuration that an operator sends with a command. The body of the command stands for it in the
// model, which keeps the sizes of values as they were drawn.
func configText(o Command) []byte {
	text := fmt.Sprintf(validConfig, o.Number, o.Body)
	if i := slices.IndexFunc(defects, func(d defect) bool { return d.name == o.Defect }); i >= 0 {
		text = strings.Replace(text, defects[i].old, defects[i].replacement, 1)
	}
	return []byte(text)
}

// configChange has a store validate a configuration as the program does, and returns the change that it proposes.
func (sim *simulation) configChange(p *storeProcess, o Command) (consensus.Change, error) {
	disk := p.Self().DiskID
	change, err := configstore.ChangeOf(&controlstate.Command{Kind: controlstate.PutConfig, Body: configText(o)}, disk)
	if err != nil && sim.hooks.acceptInvalid != nil && sim.hooks.acceptInvalid(o.Defect) {
		change, err = consensus.Change{Kind: consensus.PutVersion, Key: o.Key, Proposer: disk}, nil
		change.Version.Number = o.Number
	}
	change.Body = []byte(o.Body)
	return change, err
}

const (
	maxInvalidCommands = 4                     // in one plan
	maxInvalidDelay    = 20 * time.Millisecond // from a valid configuration to an invalid one that follows it closely
)

// addInvalidCommands adds commands with invalid configurations, whose versions are above those sent before. Half of them follow a valid
// configuration within milliseconds. A random source of its own keeps the rest of the plan of a seed as it is without them.
func (p *Plan) addInvalidCommands() {
	rng := rand.New(rand.NewPCG(p.Seed, 13))
	var valid []Command
	for _, o := range p.Commands {
		if o.Kind == "put" && o.Key == "config" {
			valid = append(valid, o)
		}
	}
	for i := range 1 + rng.IntN(maxInvalidCommands) {
		at := time.Duration(rng.Int64N(int64(p.End)))
		if len(valid) > 0 && rng.IntN(2) == 0 {
			at = valid[rng.IntN(len(valid))].At + time.Duration(rng.Int64N(int64(maxInvalidDelay)))
		}
		newest := uint64(0)
		for _, o := range valid {
			if o.At <= at {
				newest = max(newest, o.Number)
			}
		}
		number := newest + 1 + uint64(rng.IntN(2))
		o := Command{At: at, Kind: "put", Key: "config", Number: number, Body: fmt.Sprintf("r%d/invalid%d", number, i)}
		o.Defect = defects[rng.IntN(len(defects))].name
		o.Nodes = append(rng.Perm(p.Nodes), rng.IntN(p.Nodes))
		p.Commands = append(p.Commands, o)
	}
}
