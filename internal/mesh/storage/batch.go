package storage

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The file is a list of batches, in the append-only format of buntdb, which loads it. A batch holds
// the records of one write: a set command of the key "commit", with the offset of the batch, the
// length of the records that follow and their checksum, then a set command for each record.
//
//	commit  8 bytes checksum of the key and the rest | 8 offset in the file | 8 bytes of records that follow | 8 their checksum
//
// A file begins with a snapshot, which ends with a batch without records and is synced before the
// file is renamed to its final name. Files of earlier versions have records without a commit, each
// with a checksum of its own. These are read, and batches may follow them.
const (
	commitKey   = "commit"
	setHead     = "*3\r\n$3\r\nset\r\n"
	commitHead  = setHead + "$6\r\n" + commitKey + "\r\n$32\r\n"
	commitBytes = len(commitHead) + 32 + len("\r\n")
	sectorBytes = 512 // bytes that a disk writes atomically
)

// seal prepends a checksum of the key and the value to a value.
func seal(key string, value []byte) string {
	var sum [8]byte
	h := xxhash.New()
	h.WriteString(key)
	h.Write(value)
	binary.BigEndian.PutUint64(sum[:], h.Sum64())
	return string(sum[:]) + string(value)
}

// unseal returns a value without its checksum; false if the checksum does not match.
func unseal(key, value string) ([]byte, bool) {
	if len(value) < 8 {
		return nil, false
	}
	plain := []byte(value[8:])
	return plain, seal(key, plain) == value
}

// appendSetCommand appends the command that sets a key to a value.
func appendSetCommand(to []byte, key, value string) []byte {
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

// setCommandBytes returns the length of the command that sets a key to a value.
func setCommandBytes(key, value string) int64 {
	fixed := len(setHead + "$\r\n\r\n$\r\n\r\n")
	return int64(fixed + len(strconv.Itoa(len(key))) + len(key) + len(strconv.Itoa(len(value))) + len(value))
}

// encodeBatch returns a batch of records that is to be written at an offset.
func encodeBatch(offset int64, records []byte) []byte {
	plain := binary.BigEndian.AppendUint64(nil, uint64(offset))
	plain = binary.BigEndian.AppendUint64(plain, uint64(len(records)))
	plain = binary.BigEndian.AppendUint64(plain, xxhash.Sum64(records))
	out := make([]byte, 0, commitBytes+len(records))
	out = appendSetCommand(out, commitKey, seal(commitKey, plain))
	return append(out, records...)
}

// parseCommit reads the commit at an offset: the length of the records after it and their checksum.
func parseCommit(text []byte, offset int) (length, sum uint64, ok bool) {
	if len(text)-offset < commitBytes || !bytes.HasPrefix(text[offset:], []byte(commitHead)) {
		return 0, 0, false
	}
	value := text[offset+len(commitHead):]
	plain, ok := unseal(commitKey, string(value[:32]))
	if !ok || value[32] != '\r' || value[33] != '\n' || binary.BigEndian.Uint64(plain) != uint64(offset) {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(plain[8:]), binary.BigEndian.Uint64(plain[16:]), true
}

// scan reads the batches of a file and returns the offset up to which they are intact. The rest was
// torn by a power loss and never acknowledged; an error reports corruption that no power loss causes.
//
// Only the last append can be torn, as each append is synced before the next begins. In a torn append,
// any sector may be missing, which reads as zeros, and so may its end; the rest is as it was written.
func scan(text []byte, each func(records []byte) error) (intact int, err error) {
	inSnapshot := true
	intact, err = readBatches(text, func(records []byte, sealed bool) error {
		inSnapshot = inSnapshot && sealed && len(records) > 0
		return each(records)
	})
	if err == nil && inSnapshot && len(text) > 0 {
		err = Corrupt.New("the file ends within its snapshot, at byte %d", intact)
	}
	return intact, err
}

// readBatches reads the batches of a file without the check that its snapshot is complete; sealed
// reports that the records have a commit.
func readBatches(text []byte, each func(records []byte, sealed bool) error) (intact int, err error) {
	for intact < len(text) {
		n, records, sealed, err := readBatch(text, intact)
		if err != nil || n == 0 {
			return intact, err
		}
		if err := each(records, sealed); err != nil {
			kind := "record"
			if sealed {
				kind = "batch"
			}
			return intact, Corrupt.Wrap(err, "the %s at byte %d", kind, intact)
		}
		intact += n
	}
	return intact, nil
}

// readBatch reads the batch, or the record without a commit, at an offset, and returns its length; 0
// for a torn tail.
func readBatch(text []byte, offset int) (n int, records []byte, sealed bool, err error) {
	rest := len(text) - offset
	if rest < commitBytes {
		return 0, nil, false, nil
	}
	length, sum, ok := parseCommit(text, offset)
	if !ok {
		n, err := readLegacyRecord(text, offset)
		return n, text[offset : offset+n], false, err
	}
	if length > uint64(rest-commitBytes) {
		return 0, nil, false, nil
	}
	end := offset + commitBytes + int(length)
	records = text[offset+commitBytes : end]
	if xxhash.Sum64(records) == sum {
		return end - offset, records, true, nil
	}
	if end < len(text) || !hasUnwrittenSector(text, offset) {
		return 0, nil, false, Corrupt.New("the batch at byte %d does not match its checksum", offset)
	}
	return 0, nil, false, nil
}

// readLegacyRecord returns the length of the record without a commit at an offset; 0 for a torn tail.
func readLegacyRecord(text []byte, offset int) (n int, err error) {
	n, torn := parseLegacyRecord(text[offset:])
	if torn || n > 0 {
		return n, nil
	}
	if !hasUnwrittenSector(text, offset) {
		return 0, Corrupt.New("no batch begins at byte %d", offset)
	}
	if next := findLaterCommit(text, offset); next > 0 {
		return 0, Corrupt.New("no batch begins at byte %d, but one begins at byte %d", offset, next)
	}
	return 0, nil
}

// hasUnwrittenSector reports whether a part of the text after an offset was never written: one of its
// sectors is all zeros, or its last byte is zero, which never ends a batch.
func hasUnwrittenSector(text []byte, from int) bool {
	if text[len(text)-1] == 0 {
		return true
	}
	for from < len(text) {
		end := min((from/sectorBytes+1)*sectorBytes, len(text))
		if len(bytes.Trim(text[from:end], "\x00")) == 0 {
			return true
		}
		from = end
	}
	return false
}

// findLaterCommit returns the offset of a commit after an offset; 0 for none.
func findLaterCommit(text []byte, from int) int {
	for at := from + 1; ; at++ {
		i := bytes.Index(text[at:], []byte(commitHead))
		if i < 0 {
			return 0
		}
		at += i
		if _, _, ok := parseCommit(text, at); ok {
			return at
		}
	}
}

// parseLegacyRecord returns the length of a record without a commit; 0 if the record is invalid. Torn
// reports that the text ends within the record.
func parseLegacyRecord(text []byte) (n int, torn bool) {
	rest, ok := bytes.CutPrefix(text, []byte(setHead))
	if !ok {
		return 0, false
	}
	key, rest, _ := parseBulkString(rest)
	if !strings.HasPrefix(key, legacyPrefix) && !strings.HasPrefix(key, recordPrefix) {
		return 0, false
	}
	value, rest, torn := parseBulkString(rest)
	if torn {
		return 0, !bytes.Contains(text[1:], []byte(setHead))
	}
	if _, ok := unseal(key, value); !ok {
		return 0, false
	}
	return len(text) - len(rest), false
}

// parseBulkString reads a string of a command and returns it with the text that follows; torn reports
// that the text ends within the string.
func parseBulkString(text []byte) (s string, rest []byte, torn bool) {
	line, rest, found := bytes.Cut(text, []byte("\r\n"))
	if !found {
		return "", nil, len(text) < len("$")+len(strconv.Itoa(maxBatchBytes))+len("\r\n")
	}
	if len(line) == 0 || line[0] != '$' {
		return "", nil, false
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n < 0 || n > maxFileBytes {
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
