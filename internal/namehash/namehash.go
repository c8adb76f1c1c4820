// Package namehash hashes names to evenly distributed numbers. The result is the same at every
// sidecar.
package namehash

import "hash/fnv"

// Hash returns the hash of a name: FNV-1a, then Mix, as the last bytes of a name hardly affect
// the high bits of FNV-1a.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Mix(h.Sum64())
}

// Mix applies the finalizer of splitmix64 to a number.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
