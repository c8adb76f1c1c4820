package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/balancer"
	"milletmast/internal/wire"
)

// A duration is exactly the decimal that was written, to the nanosecond.
func TestConversionsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := time.Duration(rapid.Int64Range(1, 999_999_999_999_999).Draw(t, "ns"))
		text := fmt.Sprintf("%d.%09d", want/time.Second, want%time.Second)
		left, given, ok := parseDeadline(http.Header{"X-Deadline": {text}})
		if got := seconds(left); got != want || !given || !ok {
			t.Fatalf("X-Deadline %s is %v (given: %t, valid: %t), want %v", text, got, given, ok, want)
		}
		text = fmt.Sprintf("%d.%06d", want/time.Millisecond, want%time.Millisecond)
		got, given, ok := Deadline(http.Header{"Left": {text}}, "Left")
		if got != want || !given || !ok {
			t.Fatalf("a remaining time of %s ms is %v (given: %t, valid: %t), want %v", text, got, given, ok, want)
		}
	})
}

func TestConversionsSaturate(t *testing.T) {
	for value, want := range map[float64]time.Duration{
		0: 0, -1.5: -1500 * time.Millisecond, 67.112: 67_112 * time.Millisecond, 1e300: maxSeconds * time.Second,
		math.Inf(1): maxSeconds * time.Second,
	} {
		if got := seconds(value); got != want {
			t.Errorf("%v s is %v, want %v", value, got, want)
		}
	}
	for value, want := range map[float64]time.Duration{
		0: 0, -1.001: -1_001 * time.Microsecond, 67.112: 67_112 * time.Microsecond, 1e300: math.MaxInt64, -1e300: math.MinInt64,
		math.Inf(1): math.MaxInt64,
	} {
		if got := millis(value); got != want {
			t.Errorf("%v ms is %v, want %v", value, got, want)
		}
	}
	if seconds(math.NaN()) != 0 || millis(math.NaN()) != 0 {
		t.Errorf("NaN is %v and %v, want 0", seconds(math.NaN()), millis(math.NaN()))
	}
}

// The headers are read for each request, as Go writes floating-point literals: underscores and base 16 do no harm there.
func TestRemainingTimeBounds(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1e-300": 0, "007.5": 7500 * time.Microsecond, "+2": 2 * time.Millisecond, "67.112": 67_112 * time.Microsecond,
		"1e9": 1e9 * time.Millisecond, "1_000": time.Second, "0x1p-2": 250 * time.Microsecond,
	} {
		if got, given, ok := Deadline(http.Header{"Left": {text}}, "Left"); got != want || !given || !ok {
			t.Errorf("%s ms is %v (given: %t, valid: %t), want %v", text, got, given, ok, want)
		}
	}
	for _, text := range []string{"0", "-1", "soon", "NaN", "inf", "-Inf", "1e400", "1000000001"} {
		if got, given, ok := Deadline(http.Header{"Left": {text}}, "Left"); got != 0 || !given || ok {
			t.Errorf("%q ms is %v (given: %t, valid: %t), want invalid", text, got, given, ok)
		}
	}
	for _, text := range []string{"0", "-1", "soon", "NaN", "inf", "-Inf", "1e400"} {
		if left, given, ok := parseDeadline(http.Header{"X-Deadline": {text}}); !given || ok {
			t.Errorf("X-Deadline %q is %v (given: %t, valid: %t), want invalid", text, left, given, ok)
		}
	}
	if _, given, ok := Deadline(http.Header{"Left": {""}}, "Left"); given || !ok {
		t.Errorf("an empty remaining time: given: %t, valid: %t", given, ok)
	}
	if _, given, ok := parseDeadline(http.Header{"X-Deadline": {""}}); given || !ok {
		t.Errorf("an empty X-Deadline: given: %t, valid: %t", given, ok)
	}
}

// Keep-Alive sets the idle limit to exactly a fraction of its timeout, also if that exceeds time.Duration.
func TestKeepAliveTimeout(t *testing.T) {
	idleLimit := func(keepAlive string) time.Duration {
		u := newUpstream(balancer.Limits{}, 0, 1)
		u.idleLimit = math.MaxInt64
		u.applyKeepAlive(http.Header{"Keep-Alive": {keepAlive}})
		return u.idleLimit
	}
	for seconds := 1; seconds <= 100_000; seconds++ {
		want := time.Duration(seconds) * 800 * time.Millisecond
		if got := idleLimit(fmt.Sprintf("timeout=%d", seconds)); got != want {
			t.Fatalf("a timeout of %d s: idle limit %v, want %v", seconds, got, want)
		}
	}
	for text, want := range map[string]time.Duration{
		"max=5, Timeout=007": 5600 * time.Millisecond, "timeout=9000000000000000000": math.MaxInt64, "": math.MaxInt64, "timeout=": math.MaxInt64,
		"timeout=0": math.MaxInt64, "timeout=-5": math.MaxInt64, "timeout=NaN": math.MaxInt64, "timeout=inf": math.MaxInt64,
		"timeout=1e3": math.MaxInt64, "timeout=1.5": math.MaxInt64, "timeout=0x10": math.MaxInt64,
	} {
		if got := idleLimit(text); got != want {
			t.Errorf("Keep-Alive %q: idle limit %v, want %v", text, got, want)
		}
	}
}

// The drain time is exactly the longest timeout, at most maxKillDelay, and the time from it to the exit.
func TestDrainTimeIsExact(t *testing.T) {
	drainTime := func(timeouts ...float64) time.Duration {
		s := Sidecar{cfg: Config{Site: wire.Site{}}}
		for _, timeout := range timeouts {
			s.cfg.Site.Settings.Classes = append(s.cfg.Site.Settings.Classes, balancer.Class{Timeout: timeout})
		}
		return s.drainTime()
	}
	for ms := range 3001 {
		want := time.Duration(ms+350) * time.Millisecond
		if got := drainTime(float64(ms), 0); got != want {
			t.Fatalf("a timeout of %d ms: drain time %v, want %v", ms, got, want)
		}
	}
	for _, timeout := range []float64{3000.5, 67_112, 1e300, math.Inf(1)} {
		if got, want := drainTime(timeout), 3350*time.Millisecond; got != want {
			t.Errorf("a timeout of %v ms: drain time %v, want %v", timeout, got, want)
		}
	}
	if got, want := drainTime(), 350*time.Millisecond; got != want {
		t.Errorf("without classes: drain time %v, want %v", got, want)
	}
}
