package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// Record is one record of the log. The caller chooses its type, which must be
// below 254.
type Record struct {
	Type uint8
	Data []byte
}

// A record on disk consists of a header, the type and the data. The header
// contains the length of type and data, the CRC-32C of that length, and the
// CRC-32C of type and data. The length has its own checksum, because a corrupt
// length in the middle of a file would otherwise look like an incomplete last
// record.
const (
	headerBytes = 12
	// maxRecordBytes limits the memory used for reading one record.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends the encoding of r to buf.
func appendRecord(buf []byte, r Record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = append(buf, r.Type)
	buf = append(buf, r.Data...)
	header, body := buf[start:start+headerBytes], buf[start+headerBytes:]
	binary.LittleEndian.PutUint32(header, uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(body, castagnoli))
	return buf
}

// parseState is the result of parsing one record.
type parseState uint8

const (
	parsed     parseState = iota
	incomplete            // the file ends within the record
	corrupted
)

// parseRecord parses the record at the start of b and returns its size on disk.
func parseRecord(b []byte) (Record, int, parseState) {
	if len(b) < headerBytes {
		return Record{}, 0, incomplete
	}
	if crc32.Checksum(b[:4], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		if allZero(b) {
			return Record{}, 0, incomplete
		}
		return Record{}, 0, corrupted
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length == 0 || length > maxRecordBytes {
		return Record{}, 0, corrupted
	}
	if len(b) < headerBytes+length {
		return Record{}, 0, incomplete
	}
	body := b[headerBytes : headerBytes+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return Record{}, 0, corrupted
	}
	return Record{Type: body[0], Data: body[1:]}, headerBytes + length, parsed
}

// allZero reports whether the rest of a file is zeros, which a file system may
// leave behind after a power failure where data were appended but not synced.
func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

func newSyncMark(offset int64) Record {
	return Record{Type: recordSyncMark, Data: binary.LittleEndian.AppendUint64(nil, uint64(offset))}
}

// syncMarkOffset returns the offset in a recordSyncMark, or 0 if the record is
// malformed.
func syncMarkOffset(r Record) int64 {
	const offsetBytes = 8
	if len(r.Data) != offsetBytes {
		return 0
	}
	return int64(binary.LittleEndian.Uint64(r.Data))
}
