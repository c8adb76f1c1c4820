package configstore

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"milletmast/internal/mesh/controlstate"
)

// largeConfig returns a configuration whose routes have at least size bytes.
func largeConfig(version, size int) []byte {
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

// BenchmarkEmptyDiskBecomesVoter measures the time from the start of a store with an empty disk, at the address of a lost one, until its
// disk is a voter.
func BenchmarkEmptyDiskBecomesVoter(b *testing.B) {
	for _, size := range []int{200, 1 << 20} {
		for _, changes := range []int{1, 100} {
			b.Run(fmt.Sprintf("%d bytes, %d changes", size, changes), func(b *testing.B) {
				c := newTestCluster(b, 3)
				for i := range changes {
					c.runUntil(0, controlstate.Command{Kind: controlstate.PutConfig, Body: largeConfig(i+1, size)}, 20*time.Second, completed)
				}
				disk := 0
				for b.Loop() {
					c.stop(2)
					disk++
					c.startOn(2, disk, false)
					for !c.isVoter(2, 0) {
					}
				}
			})
		}
	}
}

// isVoter reports whether the present disk of store i is a voter, by the status of another store.
func (c *testCluster) isVoter(i, other int) bool {
	own, err := QueryStatus(c.address(i), 5*time.Second)
	if err != nil {
		return false
	}
	s, err := QueryStatus(c.address(other), 5*time.Second)
	if err != nil || s.Voters.IsJoint() {
		return false
	}
	for _, m := range s.Voters.Voters {
		if m.DiskID == own.DiskID {
			return true
		}
	}
	return false
}
