package logbook

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The file is a list of batches, in the format of buntdb, which reads it. A batch is what one write wrote: a set of the key
// "commit", which tells where the batch is, how long what follows is and its checksum, then a set of each record.
//
//	commit  8 bytes seal of the key and the rest | 8 offset in the file | 8 bytes of records that follow | 8 their checksum
//
// A file begins with a snapshot, which ends with a batch of no records and was synced before the file got its name.
// Files of earlier versions have records without a commit, each sealed by itself. They are read, and batches may follow them.
const (
	commitKey   = "commit"
	setHead     = "*3\r\n$3\r\nset\r\n"
	commitHead  = setHead + "$6\r\n" + commitKey + "\r\n$32\r\n"
	commitBytes = len(commitHead) + 32 + len("\r\n")
	sector      = 512 // bytes that a disk writes whole or not at all
)

// sealed is a value with a check of its key and of itself.
func sealed(key string, value []byte) string {
	var sum [8]byte
	h := xxhash.New()
	h.WriteString(key)
	h.Write(value)
	binary.BigEndian.PutUint64(sum[:], h.Sum64())
	return string(sum[:]) + string(value)
}

func opened(key, value string) ([]byte, bool) {
	if len(value) < 8 {
		return nil, false
	}
	plain := []byte(value[8:])
	return plain, sealed(key, plain) == value
}

// appendSet appends the command that sets a key to a value.
func appendSet(to []byte, key, value string) []byte {
	to = append(to, setHead...)
	for _, part := range []string{key, value} {
		to = append(to, '$')
		to = strconv.AppendInt(to, int64(len(part)), 10)
		to = append(to, "\r\n"...)
		to = append(to, part...)
		to = append(to, "\r\n"...)
	}
	return to
}

// setBytes is the length of what appendSet appends.
func setBytes(key, value string) int64 {
	fixed := len(setHead + "$\r\n\r\n$\r\n\r\n")
	return int64(fixed + len(strconv.Itoa(len(key))) + len(key) + len(strconv.Itoa(len(value))) + len(value))
}

// batch is a batch of records, to be written at an offset.
func batch(offset int64, records []byte) []byte {
	plain := binary.BigEndian.AppendUint64(nil, uint64(offset))
	plain = binary.BigEndian.AppendUint64(plain, uint64(len(records)))
	plain = binary.BigEndian.AppendUint64(plain, xxhash.Sum64(records))
	out := make([]byte, 0, commitBytes+len(records))
	out = appendSet(out, commitKey, sealed(commitKey, plain))
	return append(out, records...)
}

// commit reads what a commit at an offset tells of the records after it.
func commit(text []byte, offset int) (length, sum uint64, ok bool) {
	if len(text)-offset < commitBytes || !bytes.HasPrefix(text[offset:], []byte(commitHead)) {
		return 0, 0, false
	}
	value := text[offset+len(commitHead):]
	plain, ok := opened(commitKey, string(value[:32]))
	if !ok || value[32] != '\r' || value[33] != '\n' || binary.BigEndian.Uint64(plain) != uint64(offset) {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(plain[8:]), binary.BigEndian.Uint64(plain[16:]), true
}

// scan reads batches from the start of a file, and tells up to where they are whole. What is after that was torn when power was
// lost and never confirmed; an error tells what no loss of power leaves.
//
// Only the last append can be torn, as each is synced before the next begins. Of it, any sector may be absent, which reads as
// zeros, and any part of its end; what is present is as it was written.
func scan(text []byte, each func(records []byte) error) (whole int, err error) {
	inSnapshot := true
	whole, err = batches(text, func(records []byte, sealed bool) error {
		inSnapshot = inSnapshot && sealed && len(records) > 0
		return each(records)
	})
	if err == nil && inSnapshot && len(text) > 0 {
		err = Spoilt.New("the file ends within its snapshot, at byte %d", whole)
	}
	return whole, err
}

// batches is scan without regard to the snapshot; sealed tells that records have a commit.
func batches(text []byte, each func(records []byte, sealed bool) error) (whole int, err error) {
	for whole < len(text) {
		rest := len(text) - whole
		if rest < commitBytes {
			return whole, nil
		}
		length, sum, ok := commit(text, whole)
		if !ok {
			n, torn := olderSet(text[whole:])
			if torn {
				return whole, nil
			}
			if n > 0 {
				if err := each(text[whole:whole+n], false); err != nil {
					return whole, Spoilt.Wrap(err, "the record at byte %d", whole)
				}
				whole += n
				continue
			}
			if !absent(text, whole) {
				return whole, Spoilt.New("byte %d begins no batch", whole)
			}
			if next := later(text, whole); next > 0 {
				return whole, Spoilt.New("byte %d begins no batch, and byte %d does", whole, next)
			}
			return whole, nil
		}
		if length > uint64(rest-commitBytes) {
			return whole, nil
		}
		end := whole + commitBytes + int(length)
		records := text[whole+commitBytes : end]
		if xxhash.Sum64(records) != sum {
			if end < len(text) || !absent(text, whole) {
				return whole, Spoilt.New("the batch at byte %d is not what was written", whole)
			}
			return whole, nil
		}
		if err := each(records, true); err != nil {
			return whole, Spoilt.Wrap(err, "the batch at byte %d", whole)
		}
		whole = end
	}
	return whole, nil
}

// absent tells whether a part of the text from an offset on was never written: a sector of it is all zeros, or its end is,
// which in a batch is never so.
func absent(text []byte, from int) bool {
	if text[len(text)-1] == 0 {
		return true
	}
	for from < len(text) {
		end := min((from/sector+1)*sector, len(text))
		if len(bytes.Trim(text[from:end], "\x00")) == 0 {
			return true
		}
		from = end
	}
	return false
}

// later finds a commit after an offset; 0 is none.
func later(text []byte, from int) int {
	for at := from + 1; ; at++ {
		i := bytes.Index(text[at:], []byte(commitHead))
		if i < 0 {
			return 0
		}
		at += i
		if _, _, ok := commit(text, at); ok {
			return at
		}
	}
}

// olderSet tells the length of a record that has no commit before it, 0 for none that can be trusted; torn tells that the text
// ends within it.
func olderSet(text []byte) (n int, torn bool) {
	rest, ok := bytes.CutPrefix(text, []byte(setHead))
	if !ok {
		return 0, false
	}
	key, rest, _ := bulk(rest)
	if !strings.HasPrefix(key, entryPrefix) && !strings.HasPrefix(key, recordKey) {
		return 0, false
	}
	value, rest, torn := bulk(rest)
	if torn {
		return 0, !bytes.Contains(text[1:], []byte(setHead))
	}
	if _, ok := opened(key, value); !ok {
		return 0, false
	}
	return len(text) - len(rest), false
}

// bulk reads a string and what is after it; torn tells that the text ends within it.
func bulk(text []byte) (s string, rest []byte, torn bool) {
	line, rest, found := bytes.Cut(text, []byte("\r\n"))
	if !found {
		return "", nil, len(text) < len("$")+len(strconv.Itoa(mostBatch))+len("\r\n")
	}
	if len(line) == 0 || line[0] != '$' {
		return "", nil, false
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n < 0 || n > mostRead {
		return "", nil, false
	}
	if len(rest) < n+2 {
		return "", nil, true
	}
	if string(rest[n:n+2]) != "\r\n" {
		return "", nil, false
	}
	return string(rest[:n]), rest[n+2:], false
}
