package main

import (
	"fmt"
	"math/rand/v2"
	"os"

	"whinknot/internal/control/controlpb"
	"whinknot/internal/operator"
	"whinknot/internal/sidecar"
)

// node is an instance as its control socket sees it.
type node struct {
	instance *sidecar.Instance
	name     string // "" for the file's
	start    string
	path     string // of the file it was started with: what a configuration names is relative to it
}

func newNode(i *sidecar.Instance, name, path string) *node {
	return &node{instance: i, name: name, path: path, start: fmt.Sprintf("%016x", rand.Uint64())}
}

func (n *node) Status() *controlpb.InstanceStatus {
	st := n.instance.Status()
	out := &controlpb.InstanceStatus{
		Name: n.name, StartId: n.start, Generation: st.Generation, Hash: operator.TextHash(st.Config.Text), Draining: st.Draining,
		Listeners: n.instance.Addresses(), Served: st.Served, Refused: st.Refused, Failed: st.Failed, P99Ms: st.P99, Pid: int64(os.Getpid()),
	}
	if out.Name == "" {
		out.Name = st.Config.Name
	}
	for _, p := range st.Pools {
		out.Open += uint64(p.Open)
		out.Pools = append(out.Pools, &controlpb.PoolStatus{
			Name: p.Name, Ending: p.Ending, Servers: uint32(p.Servers), Usable: uint32(p.Usable), Open: uint32(p.Open),
			Served: p.Served, Refused: p.Refused, Failed: p.Failed,
		})
	}
	return out
}

// Apply takes the text of an operator file as if it stood in the file that the instance was started with.
func (n *node) Apply(text []byte) error {
	cfg, err := operator.Parse(n.path, text)
	if err != nil {
		return err
	}
	_, err = n.instance.Reload(cfg)
	return err
}

func (n *node) Drain(drain bool) { n.instance.SetAway(drain) }
