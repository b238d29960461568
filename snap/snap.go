// Package snap keeps data that are replaced as a whole, such as the newest
// snapshot of the replicated state, each in one file with a checksum.
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

// headerBytes is the size of the CRC-32C (Castagnoli) that precedes the data.
const headerBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError says that a file does not match its checksum.
type DamageError struct {
	File   string
	Offset int64 // bytes; start of the data that the checksum covers
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %s is damaged: checksum of the data from offset %d is wrong", e.File, e.Offset)
}

// Checksum returns the CRC-32C of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// Save replaces the file durably. After a crash it has the old or the new data.
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
		return nil, steperr.Wrap(&DamageError{File: name, Offset: headerBytes}, "read file", name)
	}
	return buf[headerBytes:], nil
}
