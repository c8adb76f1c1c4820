package emulate

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"milletmast/internal/namehash"
)

// randomStreams are named streams of random numbers from one seed. Drawing from one does not affect the others, so that variants of a
// scenario have the same arrivals, work and faults as far as they make the same draws (common random numbers).
type randomStreams uint64

func newStreams(seed uint64) randomStreams { return randomStreams(namehash.Mix(seed + 1)) }

// stream returns the stream of a name.
func (s randomStreams) stream(name string) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(s), namehash.Hash(name)))
}

// uniform returns a number in [0, 1) that depends on a name and two numbers only.
func (s randomStreams) uniform(name uint64, a, b uint64) float64 {
	z := namehash.Mix(uint64(s) ^ name)
	z = namehash.Mix(z + 0x9e3779b97f4a7c15*(a+1))
	z = namehash.Mix(z + 0xd1342543de82ef95*(b+1))
	return float64(z>>11) / (1 << 53)
}

// Hashes of the names of random numbers that are drawn for one request, attempt or sidecar.
var (
	drawWork      = namehash.Hash("work")
	drawDelay     = namehash.Hash("delay")
	drawFailure   = namehash.Hash("luck")
	drawRetry     = namehash.Hash("retry")
	drawLeave     = namehash.Hash("leave")
	drawList      = namehash.Hash("news")
	drawInnerWork = namehash.Hash("behind")
)

// workShape is a distribution with the mean 1.
type workShape func(u float64) float64

// newWorkShape returns the distribution of a name, by the inverse of its distribution function. The deviation is relative to the mean.
func newWorkShape(name string, deviation float64) (workShape, bool) {
	switch name {
	case "fixed":
		return func(float64) float64 { return 1 }, true
	case "exponential":
		return func(u float64) float64 { return -math.Log1p(-u) }, true
	case "lognormal":
		variance := math.Log1p(deviation * deviation)
		d := distuv.LogNormal{Mu: -variance / 2, Sigma: math.Sqrt(variance)}
		return d.Quantile, true
	case "uniform": // from 0 to twice the mean
		return func(u float64) float64 { return 2 * u }, true
	}
	return nil, false
}
