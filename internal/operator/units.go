package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time as Go writes it: "250ms", "1m30s".
type Duration time.Duration

// UnmarshalText reads a duration; it is never negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no time: write one as \"250ms\" or \"1m30s\"", text)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes a duration as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// MS is the time in milliseconds.
func (d Duration) MS() float64 { return float64(time.Duration(d).Microseconds()) / 1000 }

// Size is a number of bytes: "64KiB", "8MiB", "512".
type Size int64

var units = []struct {
	name string
	of   int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// UnmarshalText reads a size of up to 1 TiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		if number, ok := strings.CutSuffix(string(text), u.name); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 41)
			if err != nil || n < 0 || n > (1<<40)/u.of {
				break
			}
			*s = Size(n * u.of)
			return nil
		}
	}
	return fmt.Errorf("%q is no size: write one as \"64KiB\" or \"8MiB\"", text)
}

// MarshalText writes a size as it is read.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Size) String() string {
	for _, u := range []int{2, 1, 0} {
		if n := int64(s); n > 0 && n%units[u].of == 0 {
			return strconv.FormatInt(n/units[u].of, 10) + units[u].name
		}
	}
	return strconv.FormatInt(int64(s), 10)
}
