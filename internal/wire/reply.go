package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"milletmast/balancer"
)

// Reply collects the actions that result from one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() { r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0 }

// Add appends one action of an instance.
func (r *Reply) Add(instance uint16, action *balancer.Action) {
	record := r.newRecord(instance)
	put := binary.LittleEndian
	var code uint16
	switch action.Kind {
	case balancer.ActSend:
		code = actionSend
		put.PutUint32(record[4:], action.Request)
		put.PutUint32(record[8:], action.Server)
		putFloat64(record[12:], action.Deadline)
	case balancer.ActReject:
		code = actionReject
		put.PutUint32(record[4:], action.Request)
		putFloat64(record[8:], action.Delay)
	case balancer.ActFail:
		code = actionFail
		put.PutUint32(record[4:], action.Request)
	case balancer.ActCancel:
		code = actionCancel
		put.PutUint32(record[4:], action.Request)
		put.PutUint16(record[8:], action.Attempt)
	case balancer.ActTimer:
		code = actionTimer
		putFloat64(record[4:], action.Delay)
		put.PutUint64(record[12:], action.Token)
	case balancer.ActLog:
		code = actionLog
		r.addText(record, action.Text)
	case balancer.ActProbe:
		code = actionProbe
		put.PutUint32(record[4:], action.Server)
	case balancer.ActCloseIdle:
		code = actionCloseIdle
		put.PutUint32(record[4:], action.Server)
	case balancer.ActSubscribe:
		code = actionSubscribe
		record[4] = 1
	}
	put.PutUint16(record, code)
}

// AddFault appends a fault action: the instance cannot work, for the reason in the text.
func (r *Reply) AddFault(instance uint16, text string) {
	record := r.newRecord(instance)
	binary.LittleEndian.PutUint16(record, actionFault)
	r.addText(record, text)
}

// newRecord appends an action record of an instance, without its code. It is valid until the next one.
func (r *Reply) newRecord(instance uint16) []byte {
	r.records = append(r.records, make([]byte, actionSize)...)
	r.count++
	record := r.records[len(r.records)-actionSize:]
	binary.LittleEndian.PutUint16(record[2:], instance)
	return record
}

// addText appends a text to the tail and refers to it from the record.
func (r *Reply) addText(record []byte, text string) {
	binary.LittleEndian.PutUint32(record[4:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(record[8:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the batch of the given number.
func (r *Reply) WriteTo(w io.Writer, number uint32) error {
	var header [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], number)
	binary.LittleEndian.PutUint32(header[4:], r.count)
	binary.LittleEndian.PutUint32(header[8:], uint32(len(r.records)+len(r.tail)))
	for _, part := range [][]byte{header[:], r.records, r.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply %d: %w", number, err)
		}
	}
	return nil
}
