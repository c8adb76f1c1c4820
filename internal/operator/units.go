package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time in the format of Go, such as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration, which must not be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no time: must be like \"250ms\" or \"1m30s\", and not negative", text)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes a duration in the format that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// MS returns the time in milliseconds.
func (d Duration) MS() float64 { return float64(time.Duration(d).Microseconds()) / 1000 }

// Size is a number of bytes, such as "64KiB", "8MiB" or "512".
type Size int64

var units = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// UnmarshalText parses a size of up to 1 TiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		if number, ok := strings.CutSuffix(string(text), u.name); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 41)
			if err != nil || n < 0 || n > (1<<40)/u.size {
				break
			}
			*s = Size(n * u.size)
			return nil
		}
	}
	return fmt.Errorf("%q is not a size: must be like \"64KiB\" or \"8MiB\", and at most 1TiB", text)
}

// MarshalText writes a size in the format that UnmarshalText reads.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Size) String() string {
	for _, u := range []int{2, 1, 0} {
		if n := int64(s); n > 0 && n%units[u].size == 0 {
			return strconv.FormatInt(n/units[u].size, 10) + units[u].name
		}
	}
	return strconv.FormatInt(int64(s), 10)
}
