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

var scratch = flag.Int("scratch", 0, "runs in which each fault planted on a scratch copy of the machines is to be found; 0: only their places are looked for")

// scratches are faults inside the machines, which can't be planted from outside. What was not found in 10,000 runs
// stands in the note.
var scratches = []struct{ name, file, old, new string }{
	{"members replaced without deciding all anew", "consensus/joint.go", "return !r.reproposed[key] })", "return !r.reproposed[key] && key == \"\" })"},
	{"the set jumps without a joint one", "consensus/learner.go", "r.voters = *next\n", "r.voters = *next\n\tif r.voters.IsJoint() {\n\t\tr.voters.Voters, r.voters.Incoming = r.voters.Incoming, nil\n\t}\n"},
	{"a quorum of the new members alone", "consensus/voters.go", "hasMajority(c.Voters) && (!c.IsJoint() || hasMajority(c.Incoming))", "(c.IsJoint() && hasMajority(c.Incoming) || !c.IsJoint() && hasMajority(c.Voters))"},
	{"a majority is half", "consensus/voters.go", "return len(members)/2 + 1", "return max(1, len(members)/2)"},
	{"a lease counted from the answer", "consensus/quorumread.go", "read.startedAt.Add(r.settings.Lease)", "now.Add(r.settings.Lease)"},
	{"a conflict said before it is accepted", "consensus/proposer.go", "\t\tround.changed, current = round.changed", "\t\tif outcome == Conflict && x.id != 0 {\n\t\t\tx.result.Proposal, x.result.Value = x.id, next\n\t\t\tr.output.Results = append(r.output.Results, x.result)\n\t\t\tx.id = 0\n\t\t}\n\t\tround.changed, current = round.changed"},
	{"an order takes effect twice", "consensus/proposer.go", "x.change.Attempted = append(x.change.Attempted, next.Version)", "_ = next"},
	{"the highest accepted not looked for", "consensus/proposer.go", "if round.phase != accepting && resp.Value != nil &&", "if round.phase == reading && resp.Value != nil &&"},
	{"an accept below the promise taken", "consensus/acceptor.go", "case b.Compare(r.Promised) < 0:\n\t\treturn false, false\n\tcase b ==", "case b.Compare(r.Accepted) < 0:\n\t\treturn false, false\n\tcase b =="},
	{"words of another epoch taken", "consensus/handler.go", "Epoch: r.voters.Epoch}\n\tif req.Epoch != r.voters.Epoch {", "Epoch: req.Epoch}\n\tif req.Epoch > r.voters.Epoch {"},
	{"a reading of what one told", "consensus/proposer.go", "return ok && vote.Accepted == round.highest.Accepted\n", "_ = vote\n\t\t\t\treturn ok\n"},
	{"a lease though something is not known", "consensus/quorumread.go", "\tif missing {\n\t\treturn\n\t}\n", "\t_ = missing\n"},
	{"a control plane's lease counted from the answer", "lease/lease.go", "l.set(now, h.sentAt.Add(max(remaining, 0)))", "l.set(now, now.Add(max(remaining, 0)))"},
	{"a control plane that speaks after its lease", "discovery/storecontact.go", "return c.lease.Expiry()\n", "return c.lease.Expiry().Add(3 * time.Second)\n"},
	{"a proxy goes by whichever configuration came last", "discovery/merged.go", "snapshot.ConfigVersion > s.configVersion {", "snapshot.ConfigVersion != s.configVersion {"},
	{"a proxy goes by whichever evacuation came last", "discovery/merged.go", "e.Version.Compare(old.Version) > 0", "e.Version != old.Version"},
}

var slowest = regexp.MustCompile(`seed (\d+): `)

// TestPlantedFaultsInMachines plants faults on copies of the machines' files, which take their places in this one build: each is found.
func TestPlantedFaultsInMachines(t *testing.T) {
	for _, x := range scratches {
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
				t.Fatalf("%s has %d times what is to be altered", x.file, strings.Count(string(text), x.old))
			}
			if *scratch == 0 {
				return // that each still has its place is all that is asked
			}
			dir := t.TempDir()
			copied, over := filepath.Join(dir, "copy.go"), filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(copied, []byte(strings.Replace(string(text), x.old, x.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			list, err := json.Marshal(map[string]map[string]string{"Replace": {file: copied}})
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(over, list, 0o600); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			out, err := exec.CommandContext(t.Context(), "go", "test", "-cpu", "2", "-overlay", over, "-run", "^Test(RandomFaults|FaultsAtSteps)$", "-shrink=false", "-runs", fmt.Sprint(*scratch), "-steps", fmt.Sprint(*scratch), "-timeout", "20m", ".").CombinedOutput()
			m := slowest.FindSubmatchIndex(out)
			if err == nil || m == nil {
				t.Fatalf("not found in %d runs: %.500s", *scratch, out)
			}
			what := out[m[2]:]
			if i := regexp.MustCompile(`(?m)^ +(two|old|not|out of|went|sets|refused|applied|from|proxy|panic)[^\n]*`).FindIndex(what); i != nil {
				what = what[i[0]:i[1]]
			}
			t.Logf("found in run %s, %v: %.160s", out[m[2]:m[3]], time.Since(began).Round(time.Second), strings.TrimSpace(string(what)))
		})
	}
}
