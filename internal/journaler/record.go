package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"trefoilhead.org/trefoilhead/internal/marshaler"

	"trefoilhead.org/trefoilhead/internal/replicator"
)

// A record consists of a magic number, the length of the body, the checksum of the
// body, and the body. The numbers are little-endian and 4 bytes long; the checksum
// is CRC-32C. The snapshot file has the same layout.
const (
	recordMagic = 0x74726566
	headerSize  = 12
	maxBodySize = 256 << 20
	magicSize   = 4
)

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// record is the body of one synced write, which is all that one Save stores.
type record struct {
	Sequence uint64                `cbor:"sequence"`
	State    *replicator.HardState `cbor:"state,omitempty"`
	Entries  []replicator.Entry    `cbor:"entries,omitempty"`
}

func encodeRecord(r record) ([]byte, error) {
	body, err := marshaler.Marshal(r)
	if err != nil {
		return nil, err
	}
	return frame(body), nil
}

// frame returns body with its header in front.
func frame(body []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(b[0:], recordMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(body, crc32cTable))
	return append(b, body...)
}

// unframe returns the body of the first record in b and the bytes after that
// record. ok is false if b does not start with a complete, intact record.
func unframe(b []byte) (body, rest []byte, ok bool) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b) != recordMagic {
		return nil, nil, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxBodySize || len(b) < headerSize+n {
		return nil, nil, false
	}
	body = b[headerSize : headerSize+n]
	if crc32.Checksum(body, crc32cTable) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, nil, false
	}
	return body, b[headerSize+n:], true
}

// decodeRecords returns the intact records at the start of b and the number of
// bytes left after them.
func decodeRecords(b []byte) (records []record, left int) {
	for len(b) > 0 {
		body, rest, ok := unframe(b)
		var r record
		if !ok || marshaler.Unmarshal(body, &r) != nil {
			return records, len(b)
		}
		records = append(records, r)
		b = rest
	}
	return records, 0
}

// containsLaterRecord reports whether an intact record starts anywhere in b after
// the first byte. Each record is synced before the next one is written, so an
// intact record after a damaged one proves that synced data was damaged.
func containsLaterRecord(b []byte) bool {
	var magic [magicSize]byte
	binary.LittleEndian.PutUint32(magic[:], recordMagic)
	for len(b) > 1 {
		i := bytes.Index(b[1:], magic[:])
		if i < 0 {
			return false
		}
		b = b[1+i:]
		if _, _, ok := unframe(b); ok {
			return true
		}
	}
	return false
}
