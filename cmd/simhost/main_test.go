package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const settings = `{"balancers": 1, "classes": [{"aim": 500, "giveUp": 1000, "effect": "read_like"}], "stages": ["a"]}`

// batch builds a frame of records and a tail at the given clock.
func batch(number uint32, now float64, tail []byte, records ...[]byte) []byte {
	le := binary.LittleEndian
	out := le.AppendUint32(nil, number)
	out = le.AppendUint32(out, uint32(48*len(records)+len(tail)))
	out = le.AppendUint64(out, math.Float64bits(now))
	out = le.AppendUint32(out, uint32(len(records)))
	for _, r := range records {
		out = append(append(out, r...), make([]byte, 48-len(r))...)
	}
	return append(out, tail...)
}

// exampleInput returns batches that start an instance with one server and pass it one request.
func exampleInput() []byte {
	le := binary.LittleEndian
	entry := append(le.AppendUint32(nil, 77), make([]byte, 18)...)
	tail := append([]byte(settings), entry...)
	start := append([]byte{1, 0, 3, 0}, make([]byte, 8)...)
	start = le.AppendUint32(le.AppendUint32(start, 0), uint32(len(settings)))
	list := le.AppendUint32(le.AppendUint32([]byte{11, 0, 0, 0, 0, 0}, uint32(len(settings))), 1)
	change := append([]byte{2, 0, 3, 0}, 0, 0, 0, 0, 1, 0, 0, 0, 1)
	request := append([]byte{3, 0, 3, 0, 9, 0, 0, 0}, make([]byte, 12)...)
	request = le.AppendUint64(request, math.Float64bits(1900))
	return append(batch(1, 1000, tail, start, list, change), batch(2, 1000, nil, request)...)
}

// build compiles simhost with the command of the deploy file.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func TestSimhostRepliesToBatches(t *testing.T) {
	bin := build(t)
	run := func(in []byte) (string, string, error) {
		cmd := exec.Command(bin)
		var stdout, stderr bytes.Buffer
		cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(in), &stdout, &stderr
		err := cmd.Run()
		return stdout.String(), stderr.String(), err
	}
	stdout, stderr, err := run(exampleInput())
	if err != nil || stderr != "" {
		t.Fatalf("error %v, standard error %q; want exit code 0 and no output at the end of the input", err, stderr)
	}
	le := binary.LittleEndian
	out := []byte(stdout)
	if len(out) < 24 || le.Uint32(out) != 1 || le.Uint32(out[8:]) != 0 {
		t.Fatalf("first reply %x", out)
	}
	out = out[12:]
	if le.Uint32(out) != 2 || le.Uint32(out[4:]) < 1 {
		t.Fatalf("second reply %x", out)
	}
	send := out[12:36]
	if le.Uint16(send) != 1 || le.Uint16(send[2:]) != 3 || le.Uint32(send[4:]) != 9 || le.Uint32(send[8:]) != 77 {
		t.Errorf("send %x", send)
	}

	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"truncated", "bytes missing", exampleInput()[:80]},
		{"unknown code", "event code 44", batch(1, 0, nil, []byte{44, 0})},
		{"broken settings", "settings", batch(1, 0, []byte("{"), append(make([]byte, 0, 20), 1, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0))},
	} {
		stdout, stderr, err := run(c.in)
		if err == nil || stdout != "" || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, c.want) {
			t.Errorf("%s: error %v, standard output %q, standard error %q; want one line with %q", c.name, err, stdout, stderr, c.want)
		}
	}
}

// TestInvalidSettingsAreReportedAsFault: settings that the module rejects are a fault of that instance and do not end
// the process.
func TestInvalidSettingsAreReportedAsFault(t *testing.T) {
	text := []byte(`{"stages": ["a"]}`)
	start := append([]byte{1, 0, 3, 0}, make([]byte, 8)...)
	start = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(start, 0), uint32(len(text)))
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1, 0, text, start)), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.Bytes(); len(got) < 36 || got[12] != 10 || !strings.Contains(out.String(), "Classes") {
		t.Errorf("reply %x", got)
	}
}
