package wire

import (
	"errors"
	"fmt"
	"io"
	"math"

	"milletmast/balancer"
)

// Handler receives what a batch contains, record by record. An error ends the delivery of the batch.
type Handler interface {
	// Start starts an instance. The settings are only valid during the call.
	Start(instance uint16, seed uint64, settings []byte, now float64) error
	// Stop discards an instance.
	Stop(instance uint16)
	// Event passes an event to an instance. It is only valid during the call.
	Event(instance uint16, now float64, event *balancer.Event) error
}

// Batch is one frame of events.
type Batch struct {
	Number uint32
	Now    float64 // time of its events in milliseconds
	count  int     // number of event records
	body   []byte  // records and tail; valid until the next Read
}

// Decoder reads batches and keeps the numbered server lists of the process.
type Decoder struct {
	lists   [maxLists][]balancer.ServerEntry
	defined [maxLists]bool
	body    []byte
	event   balancer.Event
}

// Read reads the next batch from r. It returns io.EOF if the input ends between two batches.
func (d *Decoder) Read(r io.Reader) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	b := Batch{
		Number: readUint32(header[0:]),
		Now:    readFloat64(header[8:]),
		count:  int(readUint32(header[16:])),
	}
	size := int(readUint32(header[4:]))
	switch {
	case math.IsNaN(b.Now) || math.IsInf(b.Now, 0):
		return b, fmt.Errorf("batch %d: clock %v is not a finite number", b.Number, b.Now)
	case size > maxBatchSize:
		return b, fmt.Errorf("batch %d: length %d is over the limit of %d bytes", b.Number, size, maxBatchSize)
	case b.count > size/eventSize:
		return b, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.Number, b.count, size)
	}
	if err := d.readBody(r, size); err != nil {
		return b, fmt.Errorf("batch %d: %w", b.Number, err)
	}
	b.body = d.body
	return b, nil
}

// readBody reads size bytes into d.body.
func (d *Decoder) readBody(r io.Reader, size int) error {
	d.body = d.body[:0]
	for len(d.body) < size {
		from, step := len(d.body), min(size-len(d.body), maxAllocation)
		d.body = append(d.body, make([]byte, step)...)
		if _, err := io.ReadFull(r, d.body[from:]); err != nil {
			if errors.Is(err, io.EOF) { // the input may only end between two batches
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("%d of %d bytes missing: %w", size-from, size, err)
		}
	}
	return nil
}

// Deliver passes the records of a batch to the handler, in order.
func (d *Decoder) Deliver(b Batch, handler Handler) error {
	tail := b.body[b.count*eventSize:]
	for i := range b.count {
		record := b.body[i*eventSize : (i+1)*eventSize]
		if err := d.deliverRecord(record, tail, b.Now, handler); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Number, i, err)
		}
	}
	return nil
}

// deliverRecord decodes one record and calls the handler for it.
func (d *Decoder) deliverRecord(record, tail []byte, now float64, handler Handler) error {
	code, instance := readUint16(record), readUint16(record[2:])
	switch code {
	case eventListDefined:
		return d.defineList(record, tail)
	case eventInstanceStarted:
		settings, err := tailSlice(tail, readUint32(record[12:]), readUint32(record[16:]), 1)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return handler.Start(instance, readUint64(record[4:]), settings, now)
	case eventInstanceStopped:
		handler.Stop(instance)
		return nil
	case eventPeer:
		return nil
	}
	d.event = balancer.Event{}
	if err := d.decodeEvent(code, record); err != nil {
		return err
	}
	return handler.Event(instance, now, &d.event)
}

// decodeEvent decodes the record of an event of the decision module into d.event.
func (d *Decoder) decodeEvent(code uint16, record []byte) error {
	event := &d.event
	switch code {
	case eventListChanged:
		return d.decodeListChange(record, event)
	case eventRequest:
		decodeRequest(record, event)
	case eventFirstByte:
		event.Kind, event.Request, event.Attempt = balancer.EvFirstByte, readUint32(record[4:]), readUint16(record[8:])
		event.Server, event.Elapsed = readUint32(record[10:]), readFloat64(record[14:])
	case eventAttemptEnded:
		event.Kind, event.Request = balancer.EvAttemptEnded, readUint32(record[4:])
		event.Server, event.Attempt = readUint32(record[9:]), readUint16(record[13:])
		event.Elapsed, event.RequestEnded = readFloat64(record[15:]), record[23] != 0
		return decodeOutcome(record[8], event)
	case eventRequestAbandoned:
		event.Kind, event.Request = balancer.EvRequestAbandoned, readUint32(record[4:])
	case eventTimer:
		event.Kind, event.Token = balancer.EvTimer, readUint64(record[4:])
	case eventProbeResult:
		return decodeProbeResult(record, event)
	default:
		return fmt.Errorf("event code %d is unknown", code)
	}
	return nil
}

func decodeRequest(record []byte, event *balancer.Event) {
	event.Kind, event.Request = balancer.EvRequest, readUint32(record[4:])
	event.Class, event.Tenant = readUint16(record[8:]), readUint16(record[10:])
	event.Key, event.Deadline = readUint64(record[12:]), readFloat64(record[20:])
	if record[36]&requestHasHint != 0 {
		event.WorkHint = readFloat64(record[28:])
	}
}

func decodeProbeResult(record []byte, event *balancer.Event) error {
	event.Kind, event.Server, event.Elapsed = balancer.EvProbeResult, readUint32(record[4:]), readFloat64(record[9:])
	event.LoadReportLen = min(int(record[17]), len(event.LoadReport))
	for i := range event.LoadReportLen {
		event.LoadReport[i] = math.Float32frombits(readUint32(record[18+4*i:]))
	}
	return decodeOutcome(record[8], event)
}

func decodeOutcome(code byte, event *balancer.Event) error {
	outcome, found := outcomes[code]
	if !found {
		return fmt.Errorf("outcome %d is unknown", code)
	}
	event.Outcome = outcome
	return nil
}

// defineList stores a numbered server list, to which later records refer.
func (d *Decoder) defineList(record, tail []byte) error {
	number, count := readUint32(record[2:]), readUint32(record[10:])
	if number >= maxLists {
		return fmt.Errorf("list number %d is over the limit of %d", number, maxLists-1)
	}
	entries, err := tailSlice(tail, readUint32(record[6:]), count, entrySize)
	if err != nil {
		return fmt.Errorf("list %d: %w", number, err)
	}
	list := d.lists[number][:0]
	for ; len(entries) > 0; entries = entries[entrySize:] {
		state := entries[9]
		if state > byte(balancer.Removed) {
			return fmt.Errorf("list %d: state %d is unknown", number, state)
		}
		list = append(list, balancer.ServerEntry{
			ID: readUint32(entries), Zone: entries[4], Kind: readUint16(entries[5:]), Cell: readUint16(entries[7:]),
			State:     balancer.ServerState(state),
			Weight:    readFloat32(entries[10:]),
			StartedAt: readFloat64(entries[14:]),
		})
	}
	d.lists[number], d.defined[number] = list, true
	return nil
}

// decodeListChange decodes the event that a list changed, or could not be read.
func (d *Decoder) decodeListChange(record []byte, event *balancer.Event) error {
	event.Kind = balancer.EvServerList
	switch kind := record[12]; kind {
	case listFailed:
		event.List = balancer.ListFailed
		return nil
	case listCached:
		event.List = balancer.ListCached
	case listDelta:
		event.List = balancer.ListDelta
	case listFull:
		event.List = balancer.ListFull
	default:
		return fmt.Errorf("list kind %d is unknown", kind)
	}
	number := readUint32(record[4:])
	if number >= maxLists || !d.defined[number] {
		return fmt.Errorf("list %d is not defined: no earlier record defines it", number)
	}
	event.Servers = d.lists[number]
	return nil
}

// tailSlice returns count items of the given size from an offset of the tail.
func tailSlice(tail []byte, offset, count uint32, size int) ([]byte, error) {
	from, length := uint64(offset), uint64(count)*uint64(size)
	if from+length > uint64(len(tail)) {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", from, length, len(tail))
	}
	return tail[from : from+length], nil
}
