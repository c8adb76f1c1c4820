package nginx

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// timeUnits are the units of times. A time without a unit is in seconds.
var timeUnits = map[string]time.Duration{
	"":   time.Second,
	"ms": time.Millisecond,
	"s":  time.Second,
	"m":  time.Minute,
	"h":  time.Hour,
	"d":  24 * time.Hour,
	"w":  7 * 24 * time.Hour,
}

// parseTime parses a time of nginx ("Configuration file measurement units"): 30, 30s, 500ms, 1h 30m.
func parseTime(text string) (time.Duration, error) {
	var total time.Duration
	for rest := strings.ReplaceAll(text, " ", ""); ; {
		n := 0
		for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
			n++
		}
		value, err := strconv.ParseInt(rest[:n], 10, 32)
		if err != nil {
			return 0, fmt.Errorf("%q is not a time", text)
		}
		rest = rest[n:]
		m := 0
		for m < len(rest) && (rest[m] < '0' || rest[m] > '9') {
			m++
		}
		unit, ok := timeUnits[rest[:m]]
		if !ok {
			return 0, fmt.Errorf("%q is not a time", text)
		}
		total += time.Duration(value) * unit
		if rest = rest[m:]; rest == "" {
			return total, nil
		}
	}
}

// parseSize parses a size of nginx: 8k, 1m, 1g or bytes.
func parseSize(text string) (int64, error) {
	unit := int64(1)
	if n := len(text); n > 0 {
		switch text[n-1] {
		case 'k', 'K':
			unit = 1 << 10
		case 'm', 'M':
			unit = 1 << 20
		case 'g', 'G':
			unit = 1 << 30
		}
	}
	if unit > 1 {
		text = text[:len(text)-1]
	}
	n, err := strconv.ParseInt(text, 10, 41)
	if err != nil || n < 0 || n > (1<<40)/unit {
		return 0, fmt.Errorf("%q is not a size", text)
	}
	return n * unit, nil
}
