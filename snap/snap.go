// Package snap stores data that are always replaced as a whole, such as the
// latest snapshot of the replicated state. Each item is one file with a
// checksum.
package snap

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"apricotrouter/disk"
	"apricotrouter/steperr"
)

// headerBytes is the size of the CRC-32C (Castagnoli) before the data.
const headerBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports that a file does not match its checksum.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes; start of the data covered by the checksum
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("file %s is damaged: checksum of the data from offset %d is wrong", e.File, e.Offset)
}

// Checksum returns the CRC-32C of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// Save durably replaces the file. After a crash it contains either the old or
// the new data.
func Save(fs disk.FS, name string, data []byte) error {
	buf := make([]byte, 0, headerBytes+len(data))
	buf = binary.LittleEndian.AppendUint32(buf, Checksum(data))
	buf = append(buf, data...)
	return disk.WriteFile(fs, name, buf)
}

// Load returns the data of the file, or nil if it does not exist.
func Load(fs disk.FS, name string) ([]byte, error) {
	buf, err := disk.ReadFile(fs, name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, steperr.Wrap(err, "read file", name)
	}
	if len(buf) < headerBytes || Checksum(buf[headerBytes:]) != binary.LittleEndian.Uint32(buf) {
		return nil, steperr.Wrap(&CorruptionError{File: name, Offset: headerBytes}, "read file", name)
	}
	return buf[headerBytes:], nil
}
