package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/go-faster/errors"
)

// A file starts with a magic number and a format version, followed by records. A
// record consists of the length and the checksum of the payload, the checksum of
// these eight bytes, and the payload. The checksum of the header distinguishes a
// corrupt length from a truncated record.
const (
	magic        = "LWST"
	format       = 1
	prefixSize   = 8
	headerSize   = 12
	pageSize     = 4096
	maxRecord    = 1 << 30
	formatOffset = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError is returned if the content of a file is not what was written.
type CorruptError struct {
	File   string
	Offset int64
	What   string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: corrupt at byte %d: %s; this replica may have lost data that it acknowledged: remove it and add a new one", e.File, e.Offset, e.What)
}

// FormatError is returned for a file that was written by a newer release.
type FormatError struct {
	File   string
	Format uint32
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: written in format %d, but this release reads formats up to %d; use the newer release", e.File, e.Format, format)
}

func filePrefix() []byte {
	b := make([]byte, prefixSize)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[formatOffset:], format)
	return b
}

func checkPrefix(file string, b []byte) error {
	if len(b) < prefixSize || string(b[:formatOffset]) != magic {
		return &CorruptError{
			File: file,
			What: "the file's prefix is truncated or its magic number is wrong",
		}
	}
	v := binary.LittleEndian.Uint32(b[formatOffset:])
	if v == 0 {
		return &CorruptError{
			File: file,
			What: "the format version is 0",
		}
	}
	if v > format {
		return &FormatError{
			File:   file,
			Format: v,
		}
	}
	return nil
}

func encodeRecord(payload []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], castagnoli))
	return append(b, payload...)
}

// errTruncated marks the end of a file whose last write did not complete.
// Removing the incomplete record loses no synced data.
var errTruncated = errors.New("truncated record")

// nextRecord returns the payload at offset and the offset of the next record.
func nextRecord(file string, b []byte, offset int64) ([]byte, int64, error) {
	rest := b[offset:]
	if len(rest) < headerSize || allZero(rest) {
		return nil, 0, errTruncated
	}
	if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, 0, &CorruptError{
			File:   file,
			Offset: offset,
			What:   "the checksum of a record's header does not match",
		}
	}
	n := int64(binary.LittleEndian.Uint32(rest))
	if n > maxRecord || int64(len(rest)) < headerSize+n {
		return nil, 0, errTruncated
	}
	payload := rest[headerSize : headerSize+n]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[4:]) {
		return payload, offset + headerSize + n, nil
	}
	if int64(len(rest)) == headerSize+n && hasZeroPage(payload) {
		return nil, 0, errTruncated // the file was extended before its data was written
	}
	return nil, 0, &CorruptError{
		File:   file,
		Offset: offset,
		What:   "the checksum of a record's payload does not match",
	}
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

func hasZeroPage(b []byte) bool {
	if len(b) < pageSize {
		return false
	}
	return allZero(b[len(b)-pageSize:])
}
