// Package wire implements the binary frames of the bench: it decodes batches into events of the decision module and encodes the
// module's actions as replies. It decides nothing.
//
// A batch is a header, fixed-size event records, and a tail with texts and server lists that records refer to by their offset. A
// reply has the same parts, with action records. All integers are little-endian, all times are float64 milliseconds.
package wire

import (
	"encoding/binary"
	"math"

	"milletmast/balancer"
)

// Sizes in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 48
	actionSize      = 24
	entrySize       = 22      // of one server of a list
	maxBatchSize    = 1 << 30 // a batch with a greater length is rejected as corrupt
	maxAllocation   = 1 << 20 // allocated at a time while a batch is read, so that a false length allocates little
)

// maxLists is the number of server lists that a process may define.
const maxLists = 16

// Codes of events.
const (
	eventInstanceStarted       = 1
	eventListChanged           = 2
	eventRequest               = 3
	eventFirstByte             = 4
	eventAttemptEnded          = 5
	eventRequestAbandoned      = 6
	eventTimer                 = 7
	eventProbeResult           = 8
	eventPeer                  = 9 // ignored: the module does not use it
	eventInstanceStopped       = 10
	eventListDefined           = 11
	requestHasHint        byte = 1 // flag of a request's record
)

// Codes of actions.
const (
	actionSend      = 1
	actionReject    = 2
	actionFail      = 3
	actionCancel    = 4
	actionTimer     = 5
	actionProbe     = 6
	actionCloseIdle = 7
	actionLog       = 9
	actionFault     = 10
	actionSubscribe = 11
)

// Codes of list kinds.
const (
	listFailed = 0
	listCached = 1
	listDelta  = 2
	listFull   = 3
)

// outcomes maps the codes of outcomes on the wire.
var outcomes = map[byte]balancer.Outcome{
	0: balancer.OK, 255: balancer.Error, 254: balancer.NotExecuted, 253: balancer.Timeout,
	252: balancer.ConnectFailed, 251: balancer.Reset, 250: balancer.Canceled, 249: balancer.NotSent,
}

func readUint16(b []byte) uint16   { return binary.LittleEndian.Uint16(b) }
func readUint32(b []byte) uint32   { return binary.LittleEndian.Uint32(b) }
func readUint64(b []byte) uint64   { return binary.LittleEndian.Uint64(b) }
func readFloat32(b []byte) float64 { return float64(math.Float32frombits(readUint32(b))) }
func readFloat64(b []byte) float64 { return math.Float64frombits(readUint64(b)) }

func putFloat64(b []byte, v float64) { binary.LittleEndian.PutUint64(b, math.Float64bits(v)) }
