// Package wire speaks the bench's binary frames: it turns batches into events
// of the decision module and actions into replies. It decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"whinknot"
)

const (
	batchHeader = 20
	replyHeader = 12
	eventSize   = 48
	actionSize  = 24
	entrySize   = 22
	maxBatch    = 1 << 30 // bytes; a longer length is taken for a broken frame
	maxLists    = 16
	readStep    = 1 << 20 // bytes allocated at a time while a batch comes in
)

// Event codes of the wire.
const (
	codeNewInstance  = 1
	codeRosterChange = 2
	codeWorkItem     = 3
	codeFirstByte    = 4
	codeClosed       = 5
	codeLapsed       = 6
	codeFired        = 7
	codeHealth       = 8
	codePeer         = 9
	codeHalt         = 10
	codeRoster       = 11
)

var outcomes = map[byte]whinknot.Outcome{
	0: whinknot.OK, 255: whinknot.Error, 254: whinknot.Full, 253: whinknot.Timeout,
	252: whinknot.ConnectFailed, 251: whinknot.Reset, 250: whinknot.Cancelled, 249: whinknot.NotSent,
}

// Host receives what a batch holds, record by record.
type Host interface {
	Start(instance uint16, seed uint64, settings []byte, now float64) error
	Stop(instance uint16)
	Event(instance uint16, now float64, ev *whinknot.Event) error
}

// Batch is one frame of events as read from the pipe.
type Batch struct {
	Number uint32
	Now    float64
	count  int
	body   []byte
}

// Decoder reads batches and holds the numbered server lists of the process.
type Decoder struct {
	lists [maxLists][]whinknot.ServerEntry
	known [maxLists]bool
	body  []byte
	ev    whinknot.Event
}

// Read takes the next batch from r; io.EOF means a clean end of input.
func (d *Decoder) Read(r io.Reader) (Batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	b := Batch{
		Number: binary.LittleEndian.Uint32(head[0:]),
		Now:    f64(head[8:]),
		count:  int(binary.LittleEndian.Uint32(head[16:])),
	}
	size := int(binary.LittleEndian.Uint32(head[4:]))
	switch {
	case math.IsNaN(b.Now) || math.IsInf(b.Now, 0):
		return b, fmt.Errorf("batch %d: the clock is no number", b.Number)
	case size > maxBatch:
		return b, fmt.Errorf("batch %d: length %d is over the limit of %d bytes", b.Number, size, maxBatch)
	case b.count > size/eventSize:
		return b, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.Number, b.count, size)
	}
	d.body = d.body[:0]
	for len(d.body) < size {
		from, step := len(d.body), min(size-len(d.body), readStep)
		d.body = append(d.body, make([]byte, step)...)
		if _, err := io.ReadFull(r, d.body[from:]); err != nil {
			if errors.Is(err, io.EOF) { // only an end between batches is a clean one
				err = io.ErrUnexpectedEOF
			}
			return b, fmt.Errorf("batch %d: %d of %d bytes missing: %w", b.Number, size-from, size, err)
		}
	}
	b.body = d.body
	return b, nil
}

// Deliver hands the records of a batch to the host, in order.
func (d *Decoder) Deliver(b Batch, host Host) error {
	tail := b.body[b.count*eventSize:]
	for i := 0; i < b.count; i++ {
		rec := b.body[i*eventSize : (i+1)*eventSize]
		if err := d.record(rec, tail, b.Now, host); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Number, i, err)
		}
	}
	return nil
}

func (d *Decoder) record(rec, tail []byte, now float64, host Host) error {
	code, inst := u16(rec), u16(rec[2:])
	ev := &d.ev
	*ev = whinknot.Event{}
	switch code {
	case codeRoster:
		return d.roster(rec, tail)
	case codeNewInstance:
		text, err := slice(tail, u32(rec[12:]), u32(rec[16:]), 1)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return host.Start(inst, binary.LittleEndian.Uint64(rec[4:]), text, now)
	case codeHalt:
		host.Stop(inst)
		return nil
	case codePeer:
		return nil
	case codeRosterChange:
		if err := d.rosterChange(rec, ev); err != nil {
			return err
		}
	case codeWorkItem:
		ev.Kind, ev.Request, ev.Class, ev.Tenant = whinknot.EvRequest, u32(rec[4:]), u16(rec[8:]), u16(rec[10:])
		ev.Key, ev.Due = binary.LittleEndian.Uint64(rec[12:]), f64(rec[20:])
		if rec[36]&1 != 0 {
			ev.Hint = f64(rec[28:])
		}
	case codeFirstByte:
		ev.Kind, ev.Request, ev.Attempt = whinknot.EvFirst, u32(rec[4:]), u16(rec[8:])
		ev.Server, ev.Took = u32(rec[10:]), f64(rec[14:])
	case codeClosed:
		ev.Kind, ev.Request, ev.Server, ev.Attempt = whinknot.EvOutcome, u32(rec[4:]), u32(rec[9:]), u16(rec[13:])
		ev.Took, ev.Done = f64(rec[15:]), rec[23] != 0
		if err := outcome(rec[8], ev); err != nil {
			return err
		}
	case codeLapsed:
		ev.Kind, ev.Request = whinknot.EvGone, u32(rec[4:])
	case codeFired:
		ev.Kind, ev.Token = whinknot.EvTimer, binary.LittleEndian.Uint64(rec[4:])
	case codeHealth:
		ev.Kind, ev.Server, ev.Took = whinknot.EvProbe, u32(rec[4:]), f64(rec[9:])
		ev.Values = min(int(rec[17]), len(ev.Report))
		for i := range ev.Values {
			ev.Report[i] = math.Float32frombits(u32(rec[18+4*i:]))
		}
		if err := outcome(rec[8], ev); err != nil {
			return err
		}
	default:
		return fmt.Errorf("event code %d is unknown", code)
	}
	return host.Event(inst, now, ev)
}

func outcome(code byte, ev *whinknot.Event) error {
	out, ok := outcomes[code]
	if !ok {
		return fmt.Errorf("outcome %d is unknown", code)
	}
	ev.Outcome = out
	return nil
}

func (d *Decoder) roster(rec, tail []byte) error {
	number, count := u32(rec[2:]), u32(rec[10:])
	if number >= maxLists {
		return fmt.Errorf("list number %d is over %d", number, maxLists-1)
	}
	raw, err := slice(tail, u32(rec[6:]), count, entrySize)
	if err != nil {
		return fmt.Errorf("list %d: %w", number, err)
	}
	list := d.lists[number][:0]
	for ; len(raw) > 0; raw = raw[entrySize:] {
		if raw[9] > byte(whinknot.Gone) {
			return fmt.Errorf("list %d: state %d is unknown", number, raw[9])
		}
		list = append(list, whinknot.ServerEntry{
			Server: u32(raw), Zone: raw[4], Kind: u16(raw[5:]), Cell: u16(raw[7:]),
			State:   whinknot.ServerState(raw[9]),
			Weight:  float64(math.Float32frombits(u32(raw[10:]))),
			Started: f64(raw[14:]),
		})
	}
	d.lists[number], d.known[number] = list, true
	return nil
}

func (d *Decoder) rosterChange(rec []byte, ev *whinknot.Event) error {
	ev.Kind = whinknot.EvList
	switch rec[12] {
	case 0:
		ev.List = whinknot.ListFailed
		return nil
	case 1:
		ev.List = whinknot.ListCached
	case 2:
		ev.List = whinknot.ListDelta
	case 3:
		ev.List = whinknot.ListFull
	default:
		return fmt.Errorf("list kind %d is unknown", rec[12])
	}
	number := u32(rec[4:])
	if number >= maxLists || !d.known[number] {
		return fmt.Errorf("list %d was never sent", number)
	}
	ev.Servers = d.lists[number]
	return nil
}

// slice cuts count items of the given size out of the tail.
func slice(tail []byte, offset, count uint32, size int) ([]byte, error) {
	from, length := uint64(offset), uint64(count)*uint64(size)
	if from+length > uint64(len(tail)) {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", from, length, len(tail))
	}
	return tail[from : from+length], nil
}

// Reply gathers the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() { r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0 }

// Add appends one action of an instance.
func (r *Reply) Add(instance uint16, a *whinknot.Action) {
	rec := r.record(instance)
	put := binary.LittleEndian
	code := uint16(0)
	switch a.Kind {
	case whinknot.ActSend:
		code = 1
		put.PutUint32(rec[4:], a.Request)
		put.PutUint32(rec[8:], a.Server)
		put.PutUint64(rec[12:], math.Float64bits(a.Until))
	case whinknot.ActRefuse:
		code = 2
		put.PutUint32(rec[4:], a.Request)
		put.PutUint64(rec[8:], math.Float64bits(a.After))
	case whinknot.ActFail:
		code = 3
		put.PutUint32(rec[4:], a.Request)
	case whinknot.ActCancel:
		code = 4
		put.PutUint32(rec[4:], a.Request)
		put.PutUint16(rec[8:], a.Attempt)
	case whinknot.ActTimer:
		code = 5
		put.PutUint64(rec[4:], math.Float64bits(a.After))
		put.PutUint64(rec[12:], a.Token)
	case whinknot.ActLog:
		code = 9
		r.text(rec, a.Text)
	case whinknot.ActProbe:
		code = 6
		put.PutUint32(rec[4:], a.Server)
	case whinknot.ActClose:
		code = 7
		put.PutUint32(rec[4:], a.Server)
	case whinknot.ActWatch:
		code = 11
		rec[4] = 1
	}
	put.PutUint16(rec, code)
}

// AddFault appends the message by which an instance declares its own failure.
func (r *Reply) AddFault(instance uint16, text string) {
	rec := r.record(instance)
	binary.LittleEndian.PutUint16(rec, 10)
	r.text(rec, text)
}

func (r *Reply) record(instance uint16) []byte {
	r.records = append(r.records, make([]byte, actionSize)...)
	r.count++
	rec := r.records[len(r.records)-actionSize:]
	binary.LittleEndian.PutUint16(rec[2:], instance)
	return rec
}

func (r *Reply) text(rec []byte, text string) {
	binary.LittleEndian.PutUint32(rec[4:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(rec[8:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo sends the reply to the batch of the given number.
func (r *Reply) WriteTo(w io.Writer, number uint32) error {
	var head [replyHeader]byte
	binary.LittleEndian.PutUint32(head[0:], number)
	binary.LittleEndian.PutUint32(head[4:], r.count)
	binary.LittleEndian.PutUint32(head[8:], uint32(len(r.records)+len(r.tail)))
	for _, part := range [][]byte{head[:], r.records, r.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply %d: %w", number, err)
		}
	}
	return nil
}

func u16(b []byte) uint16  { return binary.LittleEndian.Uint16(b) }
func u32(b []byte) uint32  { return binary.LittleEndian.Uint32(b) }
func f64(b []byte) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b)) }
