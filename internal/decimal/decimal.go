// Package decimal reads decimal figures from outside (configuration, settings, calls, headers) without
// loss: a bound is compared with the number that was written, and a duration is the nearest one to it.
package decimal

import (
	"cmp"
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
	coefficient int64
	scale       int      // the number is coefficient / 10^scale; 0 to maxScale
	exact       *big.Rat // the number if it is out of the range of the other fields; otherwise nil
}

// maxScale is the greatest scale; maxDigits is the number of digits that always fit a coefficient.
const (
	maxScale  = 18
	maxDigits = 18
)

// Parse reads a decimal number. It refuses infinities, NaN, numbers of other bases, texts of over 1000 bytes and
// exponents outside ±1000.
func Parse(text string) (Number, error) {
	if n, ok := parseShort(text); ok {
		return n, nil
	}
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
	return Number{exact: value}, nil
}

// parseShort reads the usual numbers: digits with at most one point among or after them, and at most maxDigits digits. It
// reports false for any other text.
func parseShort(text string) (n Number, ok bool) {
	if text == "" || text[0] == '.' || len(text) > maxDigits {
		return Number{}, false
	}
	point := len(text)
	for i := range len(text) {
		switch c := text[i]; {
		case c >= '0' && c <= '9':
			n.coefficient = 10*n.coefficient + int64(c-'0')
		case c == '.' && point == len(text):
			point = i
		default:
			return Number{}, false
		}
	}
	n.scale = max(len(text)-point-1, 0)
	return n, true
}

// FromInt returns an integer.
func FromInt(n int64) Number { return Number{coefficient: n} }

// powersOfTen are 10^0 to 10^maxScale.
var powersOfTen = func() (powers [maxScale + 1]int64) {
	powers[0] = 1
	for i := range maxScale {
		powers[i+1] = 10 * powers[i]
	}
	return powers
}()

func (n Number) rat() *big.Rat {
	if n.exact != nil {
		return n.exact
	}
	return big.NewRat(n.coefficient, powersOfTen[n.scale])
}

// Sign returns -1, 0 or 1.
func (n Number) Sign() int {
	if n.exact != nil {
		return n.exact.Sign()
	}
	return cmp.Compare(n.coefficient, 0)
}

// Compare returns -1 if n is less than m, 0 if they are equal, and 1 if n is greater.
func (n Number) Compare(m Number) int {
	if a, b, _, ok := align(n, m); ok {
		return cmp.Compare(a, b)
	}
	return n.rat().Cmp(m.rat())
}

// Add returns the exact sum.
func (n Number) Add(m Number) Number {
	if a, b, scale, ok := align(n, m); ok {
		return Number{coefficient: a + b, scale: scale}
	}
	return Number{exact: new(big.Rat).Add(n.rat(), m.rat())}
}

// align returns the coefficients of two numbers with the same scale. It reports false if they, or their sum, may exceed
// the range of int64.
func align(n, m Number) (a, b int64, scale int, ok bool) {
	if n.exact != nil || m.exact != nil {
		return 0, 0, 0, false
	}
	scale = max(n.scale, m.scale)
	a, aFits := n.rescaled(scale)
	b, bFits := m.rescaled(scale)
	return a, b, scale, aFits && bFits
}

// rescaled returns the coefficient for a scale of at least its own. It reports false beyond half of the range of int64.
func (n Number) rescaled(scale int) (coefficient int64, ok bool) {
	power := powersOfTen[scale-n.scale]
	if limit := math.MaxInt64 / 2 / power; n.coefficient < -limit || n.coefficient > limit {
		return 0, false
	}
	return n.coefficient * power, true
}

// maxExactFloat bounds the integers up to which float64 has all.
const maxExactFloat = 1 << 53

// Float64 returns the nearest float64; a number beyond the range of float64 is the greatest or least finite one, and
// one that is not 0 is never 0.
func (n Number) Float64() float64 {
	if n.exact == nil && n.coefficient > -maxExactFloat && n.coefficient < maxExactFloat {
		return float64(n.coefficient) / float64(powersOfTen[n.scale]) // both are exact, so the quotient is the nearest
	}
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
	if n.exact == nil {
		return n.coefficient / powersOfTen[n.scale]
	}
	whole := new(big.Int).Quo(n.exact.Num(), n.exact.Denom())
	return saturate(whole)
}

// Duration returns the duration nearest to n units; halves are rounded away from 0. One beyond the range of
// time.Duration is the greatest or least value.
func (n Number) Duration(unit time.Duration) time.Duration {
	if power := powersOfTen[n.scale]; n.exact == nil && power <= int64(unit) && int64(unit)%power == 0 {
		perCoefficient := int64(unit) / power
		if limit := math.MaxInt64 / perCoefficient; n.coefficient >= -limit && n.coefficient <= limit {
			return time.Duration(n.coefficient * perCoefficient)
		}
	}
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
