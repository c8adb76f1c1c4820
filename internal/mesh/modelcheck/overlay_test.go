package modelcheck

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

var overlayRuns = flag.Int("scratch", 0, "number of runs within which each fault planted in a copy of the state machines has to be found; 0: only check that the text to replace exists")

// sourceFaults are faults inside the state machines, which are planted by replacing a text in their source files. Faults that were not
// found within 10,000 runs are listed in the design notes instead.
var sourceFaults = []struct{ name, file, old, new string }{
	{"members replaced without proposing all values again", "consensus/joint.go", "return !r.reproposed[key] })", "return !r.reproposed[key] && key == \"\" })"},
	{"voters changed without a joint configuration", "consensus/learner.go", "r.voters = *next\n", "r.voters = *next\n\tif r.voters.IsJoint() {\n\t\tr.voters.Voters, r.voters.Incoming = r.voters.Incoming, nil\n\t}\n"},
	{"a quorum of the new members alone", "consensus/voters.go", "hasMajority(c.Voters) && (!c.IsJoint() || hasMajority(c.Incoming))", "(c.IsJoint() && hasMajority(c.Incoming) || !c.IsJoint() && hasMajority(c.Voters))"},
	{"a majority is half", "consensus/voters.go", "return len(members)/2 + 1", "return max(1, len(members)/2)"},
	{"a lease counted from the response", "consensus/quorumread.go", "read.startedAt.Add(r.settings.Lease)", "now.Add(r.settings.Lease)"},
	{"a conflict reported before it is accepted", "consensus/proposer.go", "\t\tround.changed, current = round.changed", "\t\tif outcome == Conflict && x.id != 0 {\n\t\t\tx.result.Proposal, x.result.Value = x.id, next\n\t\t\tr.output.Results = append(r.output.Results, x.result)\n\t\t\tx.id = 0\n\t\t}\n\t\tround.changed, current = round.changed"},
	{"a command takes effect twice", "consensus/proposer.go", "x.change.Attempted = append(x.change.Attempted, next.Version)", "_ = next"},
	{"the highest accepted value ignored", "consensus/proposer.go", "if round.phase != accepting && resp.Value != nil &&", "if round.phase == reading && resp.Value != nil &&"},
	{"an accept below the promise accepted", "consensus/acceptor.go", "case b.Compare(r.Promised) < 0:\n\t\treturn false, false\n\tcase b ==", "case b.Compare(r.Accepted) < 0:\n\t\treturn false, false\n\tcase b =="},
	{"requests of another epoch accepted", "consensus/handler.go", "Epoch: r.voters.Epoch}\n\tif req.Epoch != r.voters.Epoch {", "Epoch: req.Epoch}\n\tif req.Epoch > r.voters.Epoch {"},
	{"a read of what one member reports", "consensus/proposer.go", "return ok && vote.Accepted == round.highest.Accepted\n", "_ = vote\n\t\t\t\treturn ok\n"},
	{"a lease though a committed value is missing", "consensus/quorumread.go", "\tif missing {\n\t\treturn\n\t}\n", "\t_ = missing\n"},
	{"a control plane's lease counted from the acknowledgement", "lease/lease.go", "l.set(now, h.sentAt.Add(max(remaining, 0)))", "l.set(now, now.Add(max(remaining, 0)))"},
	{"a control plane that serves after its lease", "discovery/storecontact.go", "return c.lease.Expiry()\n", "return c.lease.Expiry().Add(3 * time.Second)\n"},
	{"a proxy uses the configuration received last", "discovery/merged.go", "snapshot.ConfigVersion > s.configVersion {", "snapshot.ConfigVersion != s.configVersion {"},
	{"invalid configurations accepted", "configstore/command.go", "\t\t\treturn consensus.Change{}, err\n", "\t\t\tparsed = &meshconfig.Config{Version: 500}\n"},
	{"a proxy uses the evacuation received last", "discovery/merged.go", "e.Version.Compare(old.Version) > 0", "e.Version != old.Version"},
}

var failedSeed = regexp.MustCompile(`seed (\d+): `)

// TestPlantedFaultsInStateMachines plants faults in copies of the source files of the state machines, which replace them in a build with an
// overlay. Each fault must be found.
func TestPlantedFaultsInStateMachines(t *testing.T) {
	for _, x := range sourceFaults {
		t.Run(x.name, func(t *testing.T) {
			file, err := filepath.Abs(filepath.Join("..", filepath.FromSlash(x.file)))
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), x.old) != 1 {
				t.Fatalf("%s contains %q %d times, want once", x.file, x.old, strings.Count(string(text), x.old))
			}
			if *overlayRuns == 0 {
				return // only check that the text to replace exists
			}
			dir := t.TempDir()
			copied, overlayFile := filepath.Join(dir, "copy.go"), filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(copied, []byte(strings.Replace(string(text), x.old, x.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: copied}})
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlayFile, overlay, 0o600); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			out, err := exec.CommandContext(t.Context(), "go", "test", "-cpu", "2", "-overlay", overlayFile, "-run", "^Test(RandomFaults|FaultsAtSteps)$", "-shrink=false", "-runs", fmt.Sprint(*overlayRuns), "-steps", fmt.Sprint(*overlayRuns), "-timeout", "20m", ".").CombinedOutput()
			m := failedSeed.FindSubmatchIndex(out)
			if err == nil || m == nil {
				t.Fatalf("not found in %d runs: %.500s", *overlayRuns, out)
			}
			violation := out[m[2]:]
			if i := regexp.MustCompile(`(?m)^ +(two|old|not|invalid|out of|went|disjoint|rejected|applied|unknown|too many|proxy|panic)[^\n]*`).FindIndex(violation); i != nil {
				violation = violation[i[0]:i[1]]
			}
			t.Logf("found in run %s, %v: %.160s", out[m[2]:m[3]], time.Since(began).Round(time.Second), strings.TrimSpace(string(violation)))
		})
	}
}
