// Package spread turns names into numbers that lie evenly over all numbers, the same at every sidecar.
package spread

import "hash/fnv"

// Name is the number of a name: FNV-1a, which spreads the last bytes badly over the high bits, finished by Mix.
func Name(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Mix(h.Sum64())
}

// Mix scrambles a number (the finish of splitmix64).
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
