package discovery

import (
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/mesh/registry"
)

// Handshake is the first message of a connection to a control plane. Either ProxyNode,
// ControlPlaneIP or StatusQuery is set.
type Handshake struct {
	ProxyNode      string // the node of a proxy
	ControlPlaneIP string // the address of another control plane
	Zone           string // of that control plane
	StatusQuery    bool   // a query for the status report
}

// ProxyMessage is a message of a proxy to a control plane.
type ProxyMessage struct {
	Record        *registry.NodeRecord // if it has changed
	AckedUpdate   uint64               // sequence of the last update that was applied
	ConfigVersion uint64               // version of the configuration in use
	Primary       bool                 // this is the primary control plane: it is to send the nodes, and whole configurations unasked
	Opinions      []outlier.Opinion    // of instances that the proxy finds unhealthy or was polled about
	WantConfig    bool                 // the proxy lacks the configuration that was announced
	WantLastKnown bool                 // no confirmed snapshot came for long: the last one known is wanted, even unconfirmed
}

// ControlMessage is a message of a control plane to a proxy. Without a sequence it is a heartbeat.
type ControlMessage struct {
	Sequence       uint64
	Complete       bool // Nodes are all nodes
	Nodes          []registry.ObservedRecord
	Removed        []string               // nodes that were forgotten
	Snapshot       *controlstate.Snapshot // confirmed if sent under a lease; else only to a proxy that wants the last one known
	ControlPlanes  []ControlPlane         // the machines of the core
	MinIncarnation uint64                 // an incarnation of this proxy above its own: its clock went back
	Poll           *Poll                  // if it has changed
	HasContact     bool                   // with a quorum: its word that a node is unreachable counts
}

// Poll asks proxies for their opinions of instances.
type Poll struct {
	Present   bool // distinguishes an empty poll from none
	Instances []string
}

// PeerMessage is a message between control planes.
type PeerMessage struct {
	Records         []registry.NodeRecord
	ConfirmedHashes []uint64       // incarnations of the connected proxies (registry.IncarnationHash)
	ControlPlanes   []ControlPlane // the machines of the core that the sender knows
	Votes           []outlier.Vote
}

// ControlPlane is the control plane of a machine.
type ControlPlane struct{ IP, Zone string }
