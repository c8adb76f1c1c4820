// Package decimal reads decimal figures from outside (configuration, settings, calls, headers) without
// loss: a bound is compared with the number that was written, and a duration is the nearest one to it.
package decimal

import (
	"math"
	"math/big"
	"regexp"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("decimal")

// Invalid is the type of the errors of Parse: a text that is no decimal number, or one out of range.
var Invalid = namespace.NewType("invalid")

// Limits of what Parse reads. An exact sum takes memory in proportion to the exponents of its terms, so a
// short text with a huge exponent has to be refused.
const (
	maxLength   = 1000 // of a text, in bytes
	maxExponent = 1000 // absolute value of an exponent
)

// literal is a decimal number as JSON, TOML and HTTP headers write them, leading zeros and a plus sign
// included; the only group is the exponent.
var literal = regexp.MustCompile(`^[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE]([+-]?[0-9]+))?$`)

// Number is an exact decimal number. The zero value is 0. It is immutable.
type Number struct {
	value *big.Rat // nil for 0
}

// Parse reads a decimal number. It refuses infinities, NaN, numbers of other bases, texts of over 1000 bytes and
// exponents outside ±1000.
func Parse(text string) (Number, error) {
	if len(text) > maxLength {
		return Number{}, Invalid.New("a number of %d bytes is over the limit of %d", len(text), maxLength)
	}
	parts := literal.FindStringSubmatch(text)
	if parts == nil {
		return Number{}, Invalid.New("%q is not a decimal number", text)
	}
	if exponent, err := strconv.Atoi(parts[1]); parts[1] != "" && (err != nil || exponent < -maxExponent || exponent > maxExponent) {
		return Number{}, Invalid.New("the exponent of %q is not between -%d and %d", text, maxExponent, maxExponent)
	}
	value, ok := new(big.Rat).SetString(text)
	if !ok {
		return Number{}, Invalid.New("%q is not a decimal number", text)
	}
	return Number{value}, nil
}

// FromInt returns an integer.
func FromInt(n int64) Number { return Number{new(big.Rat).SetInt64(n)} }

func (n Number) rat() *big.Rat {
	if n.value == nil {
		return new(big.Rat)
	}
	return n.value
}

// Sign returns -1, 0 or 1.
func (n Number) Sign() int { return n.rat().Sign() }

// Compare returns -1 if n is less than m, 0 if they are equal, and 1 if n is greater.
func (n Number) Compare(m Number) int { return n.rat().Cmp(m.rat()) }

// Add returns the exact sum.
func (n Number) Add(m Number) Number { return Number{new(big.Rat).Add(n.rat(), m.rat())} }

// Float64 returns the nearest float64; a number beyond the range of float64 is the greatest or least finite one, and
// one that is not 0 is never 0.
func (n Number) Float64() float64 {
	f, _ := n.rat().Float64()
	switch {
	case math.IsInf(f, 0):
		return math.Copysign(math.MaxFloat64, f)
	case f == 0 && n.Sign() != 0:
		return math.Copysign(math.SmallestNonzeroFloat64, float64(n.Sign()))
	}
	return f
}

// Int64 returns the number without its fraction; one beyond the range of int64 is the greatest or least value.
func (n Number) Int64() int64 {
	whole := new(big.Int).Quo(n.rat().Num(), n.rat().Denom())
	return saturate(whole)
}

// Duration returns the duration nearest to n units; halves are rounded away from 0. One beyond the range of
// time.Duration is the greatest or least value.
func (n Number) Duration(unit time.Duration) time.Duration {
	scaled := new(big.Rat).Mul(n.rat(), new(big.Rat).SetInt64(int64(unit)))
	return time.Duration(saturate(round(scaled)))
}

// round returns the nearest integer; halves are rounded away from 0.
func round(r *big.Rat) *big.Int {
	twice := new(big.Int).Mul(r.Num(), big.NewInt(2))
	twice.Add(twice, new(big.Int).Mul(r.Denom(), big.NewInt(int64(r.Sign()))))
	return twice.Quo(twice, new(big.Int).Mul(r.Denom(), big.NewInt(2)))
}

func saturate(n *big.Int) int64 {
	switch {
	case n.IsInt64():
		return n.Int64()
	case n.Sign() < 0:
		return math.MinInt64
	}
	return math.MaxInt64
}

// Duration returns the duration nearest to value units, for a value that a library has already read as a float64. A
// decimal of up to 15 digits that is a whole number of nanoseconds up to 24 days is met exactly. One beyond the range of
// time.Duration is the greatest or least value; NaN is 0.
func Duration(value float64, unit time.Duration) time.Duration {
	scaled := math.Round(value * float64(unit))
	switch {
	case math.IsNaN(scaled):
		return 0
	case scaled >= math.MaxInt64:
		return math.MaxInt64
	case scaled <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(scaled)
}
