package meshconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"

	"milletmast/internal/decimal"
)

// row is one record of a table.
type row struct {
	cells   map[string]easyjson.RawMessage // by attribute
	context string                         // table and record, in errors
	report  func(string, ...any)
}

// rows calls each for every record of a table; name is that of the table in errors.
func rows(t *table, name string, fault func(string, ...any), each func(*row)) {
	if t == nil {
		fault("%s: the table is missing", name)
		return
	}
	for i, attribute := range t.Attributes {
		if slices.Contains(t.Attributes[:i], attribute) {
			fault("%s: attribute %q is named twice", name, attribute)
		}
	}
	for i, tuple := range t.Tuples {
		if len(tuple) != len(t.Attributes) {
			fault("%s: tuple %d has %d values for %d attributes", name, i+1, len(tuple), len(t.Attributes))
			continue
		}
		r := &row{cells: make(map[string]easyjson.RawMessage, len(tuple)), report: fault}
		for k, attribute := range t.Attributes {
			r.cells[attribute] = tuple[k]
		}
		r.context = fmt.Sprintf("%s: %s", name, cmp.Or(r.text("name"), "tuple "+strconv.Itoa(i+1)))
		each(r)
	}
}

// present reports whether a cell has a value.
func present(raw easyjson.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// fault reports an error of a field.
func (r *row) fault(field, format string, args ...any) {
	r.report("%s: %s: %s", r.context, field, fmt.Sprintf(format, args...))
}

// text returns the string in a field; empty for none.
func (r *row) text(field string) string {
	raw := r.cells[field]
	if !present(raw) {
		return ""
	}
	l := jlexer.Lexer{Data: raw}
	s := l.String()
	if l.Error() != nil {
		r.fault(field, "is not a string")
	}
	return s
}

// number returns the number in a field, exactly as it is written; 0 for none. One below 0 is reported.
func (r *row) number(field string) decimal.Number { return r.nonNegative(field, r.cells[field]) }

// nonNegative parses a number of a field; 0 if there is none. One below 0 is reported.
func (r *row) nonNegative(field string, raw easyjson.RawMessage) decimal.Number {
	if !present(raw) {
		return decimal.Number{}
	}
	n, err := decimal.Parse(string(raw))
	if err != nil || n.Sign() < 0 {
		r.fault(field, "%s is not a number from 0", raw)
		return decimal.Number{}
	}
	return n
}

// The greatest values that the mesh calculates with; a greater figure counts as the greatest, as it cannot be told
// from it by any request.
const (
	maxDuration = 1_000_000_000 * time.Second // 31 years
	maxCount    = 1_000_000_000
	maxBytes    = 1_000_000_000_000
)

func (r *row) seconds(field string) time.Duration { return boundedSeconds(r.number(field)) }

func boundedSeconds(n decimal.Number) time.Duration {
	return keepPositive(min(n.Duration(time.Second), maxDuration), n)
}

// keepPositive returns 1 for a number above 0 that was rounded to 0, as 0 means that there is no limit.
func keepPositive[T ~int | ~int64](rounded T, n decimal.Number) T {
	if rounded == 0 && n.Sign() > 0 {
		return 1
	}
	return rounded
}

// maximum returns the number in a field that limits something, where 0 means that there is no limit.
func (r *row) maximum(field string) int {
	n := r.number(field)
	return keepPositive(boundedCount(n), n)
}

func (r *row) count(field string) int { return boundedCount(r.number(field)) }

func boundedCount(n decimal.Number) int { return int(min(n.Int64(), maxCount)) }

func (r *row) integer(field string) int64 { return min(r.number(field).Int64(), maxBytes) }

func (r *row) rate(field string) float64 { return min(r.number(field).Float64(), maxCount) }
