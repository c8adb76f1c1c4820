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
	Primary       bool                 // the receiver is the primary control plane: it sends the nodes, and configurations without a request
	Opinions      []outlier.Opinion    // of the instances that the proxy finds unhealthy or was polled about
	WantConfig    bool                 // the proxy requests the configuration that was announced
	WantLastKnown bool                 // no confirmed snapshot came for long: the proxy requests the last known one, even unconfirmed
}

// ControlMessage is a message of a control plane to a proxy. With a sequence it is an update, which the
// proxy acknowledges; without, it is a heartbeat, a poll or a MinIncarnation.
type ControlMessage struct {
	Sequence       uint64
	Complete       bool // Nodes holds all nodes
	Nodes          []registry.ObservedRecord
	Removed        []string               // nodes that were removed from the registry
	Snapshot       *controlstate.Snapshot // confirmed if sent under a lease; an unconfirmed one is sent only if WantLastKnown requests it
	ControlPlanes  []ControlPlane         // the core machines
	MinIncarnation uint64                 // the newest known incarnation of this proxy, if above its present one because its clock went back
	Poll           *Poll                  // if the poll has changed
	HasContact     bool                   // with a quorum; without, nodes are not taken for unreachable on its report
}

// Poll requests the opinions of proxies about instances.
type Poll struct {
	Present   bool // distinguishes an empty poll from none
	Instances []string
}

// PeerMessage is a message between control planes.
type PeerMessage struct {
	Records         []registry.NodeRecord
	ConfirmedHashes []uint64       // incarnations of the connected proxies (registry.IncarnationHash)
	ControlPlanes   []ControlPlane // the core machines that the sender knows
	Votes           []outlier.Vote
}

// ControlPlane is the control plane of a machine.
type ControlPlane struct{ IP, Zone string }
