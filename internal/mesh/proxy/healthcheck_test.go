package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func warmupLeft(text string) (left time.Duration, reported bool) {
	return parseWarmupLeft(http.Header{warmupHeader: {text}})
}

// A reported warm-up time is exactly what the header says, in seconds up to maxWarmup and in milliseconds above.
func TestWarmupLeftIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit, text := time.Second, ""
		want := time.Duration(rapid.Int64Range(0, int64(maxWarmup)).Draw(t, "ns"))
		if rapid.Bool().Draw(t, "in milliseconds") {
			unit = time.Millisecond
			want += maxWarmup/time.Second*time.Millisecond + 1
			text = fmt.Sprintf("%d.%06d", want/unit, want%unit)
		} else {
			text = fmt.Sprintf("%d.%09d", want/unit, want%unit)
		}
		if got, reported := warmupLeft(text); got != want || !reported {
			t.Fatalf("%s in units of %v is %v (reported: %t), want %v", text, unit, got, reported, want)
		}
	})
}

func TestWarmupLeftBounds(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "-0": 0, "1e-300": 0, "007.5": 7500 * time.Millisecond, "+2": 2 * time.Second, "57.112": 57_112 * time.Millisecond,
		"60": time.Minute, "60.0000000001": 60 * time.Millisecond, "67.112": 67_112 * time.Microsecond,
		"1e9": 1e9 * time.Millisecond, "1000000000.0000000001": 0, "1e10": 0, "1e300": 0, "1e400": 0, "-1": 0, "-1e300": 0,
	} {
		if got, reported := warmupLeft(text); got != want || !reported {
			t.Errorf("%s is %v (reported: %t), want %v", text, got, reported, want)
		}
	}
	for _, text := range []string{"", " ", "soon", "NaN", "inf", "-Inf", "0x1p-2", "0x_1p-2", "1_000", "1e99999"} {
		if got, reported := warmupLeft(text); got != 0 || reported {
			t.Errorf("%q is %v (reported: %t), want no report", text, got, reported)
		}
	}
	if _, reported := parseWarmupLeft(http.Header{}); reported {
		t.Error("a missing header is a report")
	}
}
