// Package budget bounds the attempts that one external request causes in all tiers behind it. It has
// the call context that crosses tiers, and divides the retries of the request over a tree of calls. It
// does no I/O; the time is passed in.
package budget

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the header that carries a context; in gRPC, of the metadata, in lower case.
const Header = "X-Call-Context"

// Limits of a context.
const (
	MaxHops           = 16
	MaxRetries        = 99
	MaxPriorityWeight = 1e6
	maxLength         = 320
	maxTimeLeft       = 999_999_999 * time.Millisecond
	notExecuted       = "no" // value of the field again if no earlier attempt may have been executed
)

// Context is passed with a call from tier to tier. Its grammar is in docs/operate/tiers.md.
type Context struct {
	Root            string        // of the external request: 16 hexadecimal digits
	Attempt         string        // of the calling tier, that this call is part of: 8 hexadecimal digits
	PriorityWeight  float64       // priority weight of the external request
	TimeLeft        time.Duration // time left when the attempt was sent
	Retries         int           // retries for all calls of that attempt together
	MayHaveExecuted bool          // an earlier attempt, at any tier, may have executed all of this
	FirstSentAgo    time.Duration // time since the first such attempt was sent
	Path            []string      // sidecars passed, in order: 8 hexadecimal digits each
}

// Hops returns the number of sidecars that a call has passed.
func (c *Context) Hops() int { return len(c.Path) }

// String returns the canonical text of a context.
func (c *Context) String() string {
	weight := strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(c.PriorityWeight, 'f', 3, 64), "0"), ".")
	again := notExecuted
	if c.MayHaveExecuted {
		again = strconv.FormatInt(min(max(c.FirstSentAgo, 0), maxTimeLeft).Milliseconds(), 10)
	}
	return fmt.Sprintf("1;root=%s;at=%s;worth=%s;ms=%d;retries=%d;again=%s;path=%s",
		c.Root, c.Attempt, weight, min(max(c.TimeLeft, 0), maxTimeLeft).Milliseconds(), c.Retries, again, strings.Join(c.Path, "."))
}

var (
	errLength  = errors.New("is too long")
	errVersion = errors.New("is of an unknown version")
)

// Parse parses the canonical text of a context. An error names the field.
func Parse(text string) (*Context, error) {
	if len(text) > maxLength {
		return nil, fmt.Errorf("%s %w", Header, errLength)
	}
	rest, ok := strings.CutPrefix(text, "1;")
	if !ok {
		return nil, fmt.Errorf("%s %w", Header, errVersion)
	}
	c := &Context{}
	fields := strings.Split(rest, ";")
	parsers := [...]struct {
		name  string
		parse func(string) bool
	}{
		{"root", func(v string) bool { c.Root = v; return isHex(v, 16) }},
		{"at", func(v string) bool { c.Attempt = v; return isHex(v, 8) }},
		{"worth", c.parseWorth},
		{"ms", func(v string) bool {
			n, ok := parseNumber(v, int(maxTimeLeft/time.Millisecond))
			c.TimeLeft = time.Duration(n) * time.Millisecond
			return ok
		}},
		{"retries", func(v string) (ok bool) { c.Retries, ok = parseNumber(v, MaxRetries); return ok }},
		{"again", func(v string) (ok bool) {
			if v == notExecuted {
				return true
			}
			n, ok := parseNumber(v, int(maxTimeLeft/time.Millisecond))
			c.MayHaveExecuted, c.FirstSentAgo = true, time.Duration(n)*time.Millisecond
			return ok
		}},
		{"path", func(v string) bool {
			c.Path = strings.Split(v, ".")
			for _, id := range c.Path {
				if !isHex(id, 8) {
					return false
				}
			}
			return len(c.Path) <= MaxHops
		}},
	}
	if len(fields) != len(parsers) {
		return nil, fmt.Errorf("%s has %d fields, not %d", Header, len(fields), len(parsers))
	}
	for i, p := range parsers {
		value, ok := strings.CutPrefix(fields[i], p.name+"=")
		if !ok || !p.parse(value) {
			return nil, fmt.Errorf("%s: %s cannot be read", Header, p.name)
		}
	}
	return c, nil
}

// parseWorth parses a priority weight of up to three decimals, without trailing zeros.
func (c *Context) parseWorth(v string) bool {
	integer, decimals, hasPoint := strings.Cut(v, ".")
	n, ok := parseNumber(integer, MaxPriorityWeight)
	if !ok {
		return false
	}
	if hasPoint && (len(decimals) < 1 || len(decimals) > 3 || strings.HasSuffix(decimals, "0") || strings.Trim(decimals, "0123456789") != "") {
		return false
	}
	c.PriorityWeight = float64(n)
	if hasPoint {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || f > MaxPriorityWeight {
			return false
		}
		c.PriorityWeight = f
	}
	return true
}

// parseNumber parses a decimal number without a sign or leading zeros.
func parseNumber(v string, limit int) (int, bool) {
	if v == "" || len(v) > 9 || len(v) > 1 && v[0] == '0' || strings.Trim(v, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.Atoi(v)
	return n, err == nil && n <= limit
}

func isHex(v string, n int) bool {
	return len(v) == n && strings.Trim(v, "0123456789abcdef") == ""
}

// Contains reports whether a call has passed a sidecar.
func (c *Context) Contains(id string) bool { return slices.Contains(c.Path, id) }
