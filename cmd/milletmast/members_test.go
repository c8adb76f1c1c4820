package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"milletmast/internal/testcluster"
)

func TestMain(m *testing.M) {
	testcluster.Main()
	os.Exit(m.Run())
}

// Four instances whose files configure two replicas find each other and assume four. After one of them has left, the others
// assume three. An instance without the table members joins nothing.
func TestServeMembers(t *testing.T) {
	r, err := testcluster.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	bin := buildProgram(t)
	start := func(name, members string) *testcluster.Process {
		t.Helper()
		path := filepath.Join(r.Dir, name+".toml")
		text := strings.NewReplacer(`name = "shop"`, fmt.Sprintf("name = %q\n%s", name, members), `"127.0.0.1:8080"`, `"127.0.0.1:0"`, `"127.0.0.1:8081"`, `"127.0.0.1:0"`,
			"[limits]", "[limits]\ndrain = \"100ms\"").Replace(exampleText(t))
		if members != "" {
			text = strings.Replace(text, "name = \"box\"\n", "name = \"box\"\nby_members = true\nallot = true\n", 1)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := r.Start(testcluster.ProcessSpec{Name: name, Path: bin, Args: []string{"serve", "-f", path, "--control", filepath.Join(r.Dir, name+".sock")}})
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	wait := func(what string, holds func() bool) {
		t.Helper()
		if err := testcluster.WaitFor(context.Background(), what, 60*time.Second, holds); err != nil {
			for _, p := range r.Processes() {
				t.Log(p.Name, p.Status(), p.Output)
			}
			t.Fatal(err)
		}
	}
	address := regexp.MustCompile(`join members.* addr=(\S+)`)
	last := regexp.MustCompile(`(?s).*confidence=(\w+ replicas=\d+)`)
	var all []*testcluster.Process
	seed := ""
	for i := range 4 {
		p := start(fmt.Sprint("i", i), fmt.Sprintf("[members]\nlisten = \"127.0.0.1:0\"\ncluster = \"shop\"\nprobe = \"200ms\"\ncopies = 2\nrank = %d\nseeds = [%s]\n", i%2, seed))
		all = append(all, p)
		if seed == "" {
			wait("the first instance listens", func() bool { return p.Output.Find(address) != "" })
			seed = fmt.Sprintf("%q", p.Output.Find(address))
		}
	}
	agree := func(copies int, procs ...*testcluster.Process) func() bool {
		return func() bool {
			for _, p := range procs {
				if p.Output.Find(last) != fmt.Sprint("agreed replicas=", copies) {
					return false
				}
			}
			return true
		}
	}
	wait("four instances agree", agree(4, all...))
	members := func(name string) string {
		t.Helper()
		out, err := exec.Command(bin, "members", "--control", filepath.Join(r.Dir, name+".sock")).CombinedOutput()
		if err != nil {
			t.Errorf("members: %v: %s", err, out)
		}
		return string(out)
	}
	for _, want := range []string{"standing  agreed", "copies    4", "in sight  4 of 4", "i2      alive for", "members heard  4", "let through    all"} {
		if out := members("i0"); !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if !all[2].Terminate(10*time.Second) || all[2].ExitCode() != 0 {
		t.Errorf("the instance that leaves has ended with %s", all[2].Status())
	}
	wait("three instances agree", agree(3, all[0], all[1], all[3]))
	if out := members("i0"); !strings.Contains(out, "i2      left for") || !strings.Contains(out, "3 of 4") {
		t.Errorf("the member that has left is shown as\n%s", out)
	}
	none := start("none", "")
	wait("the instance without members listens", func() bool { return strings.Contains(none.Output.String(), "listen listener=") })
	if strings.Contains(none.Output.String(), "members") {
		t.Errorf("without the table members, the log is\n%s", none.Output)
	}
}

func exampleText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
