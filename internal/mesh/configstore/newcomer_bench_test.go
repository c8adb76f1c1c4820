package configstore

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/nodeconfig"
)

// large is a configuration of so many bytes at least.
func large(version, size int) []byte {
	route := []byte(`["a%d","a%d.example","/a/","safe","one"]`)
	var routes bytes.Buffer
	for i := 0; routes.Len() < size; i++ {
		if i > 0 {
			routes.WriteByte(',')
		}
		fmt.Fprintf(&routes, string(route), i, i)
	}
	return fmt.Appendf(nil, `{"epoch":"r%d","routes":{"attributes":["name","authority","path_prefix","route_class","target"],"tuples":[%s]},"services":{"attributes":["name"],"tuples":[["one"]]}}`, version, routes.Bytes())
}

// From the start of a store with an empty disk, at the address of one that was lost, to its disk counting.
func BenchmarkEmptyDiskCounts(b *testing.B) {
	for _, size := range []int{200, 1 << 20} {
		for _, changes := range []int{1, 100} {
			b.Run(fmt.Sprintf("%d bytes, %d changes", size, changes), func(b *testing.B) {
				f := newFleet(b, 3)
				for i := range changes {
					f.until(0, controlstate.Command{Kind: controlstate.PutConfig, Body: large(i+1, size)}, 20*time.Second, done)
				}
				disk := 0
				for b.Loop() {
					f.stop(2)
					disk++
					f.startOn(2, disk, false)
					for !f.counts(2, 0) {
					}
				}
			})
		}
	}
}

// counts tells whether the disk that is at a store now counts by the word of another.
func (f *testCluster) counts(i, by int) bool {
	its, err := QueryStatus(Address(f.ip(i), &nodeconfig.Settings{PortFrom: f.port - 1}), 5*time.Second)
	if err != nil {
		return false
	}
	s, err := QueryStatus(Address(f.ip(by), &nodeconfig.Settings{PortFrom: f.port - 1}), 5*time.Second)
	if err != nil || s.Voters.IsJoint() {
		return false
	}
	for _, m := range s.Voters.Voters {
		if m.DiskID == its.DiskID {
			return true
		}
	}
	return false
}
