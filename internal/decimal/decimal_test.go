package decimal

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

func parse(t interface{ Fatal(...any) }, text string) Number {
	n, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Every deadline of whole milliseconds up to 100 s, plus a minute, is exactly a minute above it, in numbers and in durations.
func TestSumsOfMillisecondsAreExact(t *testing.T) {
	minute := FromInt(60)
	for ms := 1; ms < 100_000; ms++ {
		low := parse(t, fmt.Sprintf("%d.%03d", ms/1000, ms%1000))
		text := fmt.Sprintf("%d.%03d", ms/1000+60, ms%1000)
		high := parse(t, text)
		if high.Compare(low.Add(minute)) != 0 {
			t.Fatalf("%s is not a minute above %d ms", text, ms)
		}
		want := time.Duration(ms)*time.Millisecond + time.Minute
		if got := high.Duration(time.Second); got != want {
			t.Fatalf("%s s is %v, want %v", text, got, want)
		}
		if got := Duration(high.Float64(), time.Second); got != want {
			t.Fatalf("%s s as float64 is %v, want %v", text, got, want)
		}
	}
}

// A decimal of whole nanoseconds is converted exactly, also after a library has read it as a float64.
func TestWholeNanosecondsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := time.Duration(rapid.Int64Range(0, 999_999_999_999_999).Draw(t, "ns"))
		text := fmt.Sprintf("%d.%09d", want/time.Second, want%time.Second)
		n := parse(t, text)
		if got := n.Duration(time.Second); got != want {
			t.Fatalf("%s s is %v, want %v", text, got, want)
		}
		if got := Duration(n.Float64(), time.Second); got != want {
			t.Fatalf("%s s as float64 is %v, want %v", text, got, want)
		}
	})
}

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{
		"0": 0, "-0": 0, "007.50": 7.5, "+2": 2, "1.": 1, ".5": 0.5, "1e3": 1000, "-12.5E-1": -1.25,
		"1e400": math.MaxFloat64, "-1e400": -math.MaxFloat64, "1e-400": math.SmallestNonzeroFloat64,
	} {
		if got := parse(t, text).Float64(); got != want {
			t.Errorf("%q is %v, want %v", text, got, want)
		}
	}
	for _, text := range []string{
		"", " 1", "1 ", "NaN", "inf", "Infinity", "0x10", "1_000", "1/2", "1e", "e1", ".", "-", "--1", "1,5",
		"1e1001", "1e-1001", "1e99999999999999999999", strings.Repeat("1", maxLength+1),
	} {
		if n, err := Parse(text); err == nil {
			t.Errorf("%q is read as %v", text, n.Float64())
		} else if !errorx.IsOfType(err, Invalid) {
			t.Errorf("%q: error %v of another type", text, err)
		}
	}
}

func TestConversionsRoundAndSaturate(t *testing.T) {
	for _, c := range []struct {
		text     string
		duration time.Duration // of as many nanoseconds
		integer  int64
	}{
		{"0.4999", 0, 0}, {"0.5", 1, 0}, {"1.5", 2, 1}, {"-0.5", -1, 0}, {"-1.4", -1, -1}, {"-1.9", -2, -1},
		{"1e30", math.MaxInt64, math.MaxInt64}, {"-1e30", math.MinInt64, math.MinInt64},
	} {
		n := parse(t, c.text)
		if got := n.Duration(time.Nanosecond); got != c.duration {
			t.Errorf("%s ns is %d, want %d", c.text, got, c.duration)
		}
		if got := Duration(n.Float64(), time.Nanosecond); got != c.duration {
			t.Errorf("%s ns as float64 is %d, want %d", c.text, got, c.duration)
		}
		if got := n.Int64(); got != c.integer {
			t.Errorf("%s is the integer %d, want %d", c.text, got, c.integer)
		}
	}
	for value, want := range map[float64]time.Duration{math.Inf(1): math.MaxInt64, math.Inf(-1): math.MinInt64} {
		if got := Duration(value, time.Second); got != want {
			t.Errorf("%v s is %v, want %v", value, got, want)
		}
	}
	if got := Duration(math.NaN(), time.Second); got != 0 {
		t.Errorf("NaN s is %v, want 0", got)
	}
}

func TestZeroValueIsZero(t *testing.T) {
	var zero Number
	if zero.Sign() != 0 || zero.Float64() != 0 || zero.Int64() != 0 || zero.Duration(time.Hour) != 0 {
		t.Errorf("the zero value is %v", zero.Float64())
	}
	if sum := zero.Add(FromInt(-3)); sum.Compare(FromInt(-3)) != 0 || sum.Sign() != -1 {
		t.Errorf("0 + -3 is %v", sum.Float64())
	}
}

// Short numbers are read without math/big, and are what math/big makes of them.
func TestShortNumbersAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[0-9]{1,10}(\.[0-9]{0,9})?`).Draw(t, "text")
		n, exact := parse(t, text), Number{exact: parse(t, text).rat()}
		other := parse(t, rapid.StringMatching(`[0-9]{1,10}(\.[0-9]{0,9})?`).Draw(t, "other"))
		for _, unit := range []time.Duration{time.Second, time.Millisecond, time.Nanosecond, 7} {
			if got, want := n.Duration(unit), exact.Duration(unit); got != want {
				t.Fatalf("%s x %v is %v, want %v", text, unit, got, want)
			}
		}
		if want, _ := strconv.ParseFloat(text, 64); n.Float64() != want || exact.Float64() != want {
			t.Fatalf("%s is %v and %v, want %v", text, n.Float64(), exact.Float64(), want)
		}
		if n.Int64() != exact.Int64() || n.Sign() != exact.Sign() || n.Compare(other) != exact.Compare(other) ||
			n.Compare(exact) != 0 || n.Add(other).Compare(exact.Add(other)) != 0 {
			t.Fatalf("%s is the integer %d, sign %d; want %d, %d", text, n.Int64(), n.Sign(), exact.Int64(), exact.Sign())
		}
	})
}
