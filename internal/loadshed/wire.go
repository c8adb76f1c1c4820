package loadshed

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// A summary is encoded in the wire format of protocol buffers, in one datagram. Unknown fields are skipped, so that a later
// version may add some; a message of another version is rejected. The numbers and the meaning of fields never change.
//
//	message Summary { uint32 version = 1; string pool = 2; string from = 3; fixed64 start = 4; uint64 number = 5; repeated Class class = 6;
//	                  double reach = 7; }
//	message Class   { double asked = 1; double passed = 2; double refused = 3; double in_time = 4; double work = 5; }
const (
	wireVersion = 1
	// MaxClasses is the most classes that a summary holds.
	MaxClasses      = 20
	maxNameBytes    = 128
	maxMessageBytes = 1200
)

var errMessage = errors.New("loadshed: invalid summary")

// Marshal encodes the summary of a pool.
func (s *Summary) Marshal(pool string) []byte {
	b := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), wireVersion)
	b = protowire.AppendString(protowire.AppendTag(b, 2, protowire.BytesType), pool)
	b = protowire.AppendString(protowire.AppendTag(b, 3, protowire.BytesType), s.From)
	b = protowire.AppendFixed64(protowire.AppendTag(b, 4, protowire.Fixed64Type), s.Incarnation)
	b = protowire.AppendVarint(protowire.AppendTag(b, 5, protowire.VarintType), s.Sequence)
	for _, c := range s.Classes {
		var rates []byte
		for i, v := range [...]float64{c.Arrived, c.Admitted, c.Rejected, c.OnTime, c.Cost} {
			if v != 0 {
				rates = protowire.AppendFixed64(protowire.AppendTag(rates, protowire.Number(i+1), protowire.Fixed64Type), math.Float64bits(v))
			}
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, 6, protowire.BytesType), rates)
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, 7, protowire.Fixed64Type), math.Float64bits(s.Level))
}

// Unmarshal decodes a summary and the name of its pool. No input panics.
func Unmarshal(message []byte) (pool string, summary Summary, err error) {
	if len(message) > maxMessageBytes {
		return "", summary, fmt.Errorf("%w: %d bytes, over the limit of %d", errMessage, len(message), maxMessageBytes)
	}
	version := uint64(0)
	err = forEachField(message, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case 1:
			version = number
		case 2:
			pool = string(text)
		case 3:
			summary.From = string(text)
		case 4:
			summary.Incarnation = number
		case 5:
			summary.Sequence = number
		case 6:
			if len(summary.Classes) == MaxClasses {
				return fmt.Errorf("%w: more than %d classes", errMessage, MaxClasses)
			}
			rates, err := unmarshalRates(text)
			summary.Classes = append(summary.Classes, rates)
			return err
		case 7:
			summary.Level = math.Float64frombits(number)
		}
		return nil
	})
	switch {
	case err != nil:
	case version != wireVersion:
		err = fmt.Errorf("%w: version %d, expected %d", errMessage, version, wireVersion)
	case pool == "" || summary.From == "" || len(pool) > maxNameBytes || len(summary.From) > maxNameBytes:
		err = fmt.Errorf("%w: a name is empty or over %d bytes", errMessage, maxNameBytes)
	}
	return pool, summary, err
}

// unmarshalRates decodes the rates of one class.
func unmarshalRates(message []byte) (rates ClassRates, err error) {
	targets := [...]*float64{&rates.Arrived, &rates.Admitted, &rates.Rejected, &rates.OnTime, &rates.Cost}
	err = forEachField(message, func(field protowire.Number, number uint64, _ []byte) error {
		if field >= 1 && int(field) <= len(targets) {
			*targets[field-1] = math.Float64frombits(number)
		}
		return nil
	})
	return rates, err
}

// forEachField calls handle for each field of a message, with its number, or with its text if it has the type bytes.
func forEachField(b []byte, handle func(n protowire.Number, number uint64, text []byte) error) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return fmt.Errorf("%w: %w", errMessage, protowire.ParseError(size))
		}
		b = b[size:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			number, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			text, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, kind, b)
		}
		if size < 0 {
			return fmt.Errorf("%w: %w", errMessage, protowire.ParseError(size))
		}
		b = b[size:]
		if err := handle(n, number, text); err != nil {
			return err
		}
	}
	return nil
}
