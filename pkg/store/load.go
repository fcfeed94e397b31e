package store

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// newestFile returns the name with the prefix and the highest number, and that
// number.
func newestFile(names []string, prefix string) (string, uint64) {
	for i := len(names) - 1; i >= 0; i-- {
		digits, ok := strings.CutPrefix(names[i], prefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			return names[i], n
		}
	}
	return "", 0
}

func (s *Store) loadSnapshot(names []string) error {
	name, _ := newestFile(names, snapPrefix)
	if name == "" {
		return nil
	}
	b, err := s.disk.Read(name)
	if err != nil {
		return errors.Wrap(err, "read "+name)
	}
	if err := checkPrefix(name, b); err != nil {
		return err
	}
	payload, _, err := nextRecord(name, b, prefixSize)
	if err != nil {
		return truncationAsCorruption(name, err)
	}
	s.snapshot = &rpc.SnapshotFile{}
	return decode(name, prefixSize, payload, s.snapshot)
}

// truncationAsCorruption converts errTruncated to a CorruptError, for a file
// that was complete when it was renamed.
func truncationAsCorruption(name string, err error) error {
	if !errors.Is(err, errTruncated) {
		return err
	}
	return &CorruptError{
		File:   name,
		Offset: prefixSize,
		What:   "the file is shorter than it was",
	}
}

func (s *Store) loadLog(names []string) error {
	name, sequence := newestFile(names, logPrefix)
	if name == "" {
		if s.snapshot != nil {
			return &CorruptError{
				File: "data folder",
				What: "there is a snapshot but no log",
			}
		}
		return nil
	}
	b, err := s.disk.Read(name)
	if err != nil {
		return errors.Wrap(err, "read "+name)
	}
	if err := checkPrefix(name, b); err != nil {
		return err
	}
	end, err := s.replay(name, b)
	if err != nil {
		return err
	}
	if err := s.checkContinues(name); err != nil {
		return err
	}
	s.sequence = sequence
	s.logName = name
	return s.reopen(name, end, int64(len(b)))
}

// replay applies every complete record and returns the offset at which they end.
func (s *Store) replay(name string, b []byte) (int64, error) {
	offset := int64(prefixSize)
	for first := true; offset < int64(len(b)); first = false {
		payload, next, err := nextRecord(name, b, offset)
		if errors.Is(err, errTruncated) && !first {
			return offset, nil
		}
		if err != nil {
			return 0, truncationAsCorruption(name, err)
		}
		r := &rpc.WalRecord{}
		if err := decode(name, offset, payload, r); err != nil {
			return 0, err
		}
		s.applyRecord(r)
		offset = next
	}
	if offset == prefixSize {
		return 0, truncationAsCorruption(name, errTruncated)
	}
	return offset, nil
}

// checkContinues checks that the log continues the snapshot without a gap and
// holds all committed entries. It drops entries that the snapshot covers.
func (s *Store) checkContinues(name string) error {
	meta := s.snapshot.GetMeta()
	if meta != nil && len(s.entries) > 0 && s.entries[0].GetIndex() <= meta.GetIndex() {
		s.entries = entriesAfter(s.entries, meta)
		s.logBehindSnapshot = true
	}
	next := meta.GetIndex() + 1
	for _, e := range s.entries {
		if e.GetIndex() != next {
			return &CorruptError{
				File: name,
				What: "entries are missing",
			}
		}
		next++
	}
	if s.hardState.GetCommit() >= next {
		return &CorruptError{
			File: name,
			What: "committed entries are missing",
		}
	}
	return nil
}

// reopen removes a truncated last record and opens the file for appending.
func (s *Store) reopen(name string, end, size int64) error {
	if end < size {
		s.truncatedBytes = size - end
		if err := s.disk.Truncate(name, end); err != nil {
			return errors.Wrap(err, "remove truncated last record of "+name)
		}
	}
	f, err := s.disk.Append(name)
	if err != nil {
		return errors.Wrap(err, "open "+name)
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync "+name)
	}
	s.log = f
	s.logBytes = end
	return nil
}

// removeStaleFiles removes the files that a crash left behind.
func (s *Store) removeStaleFiles(names []string) error {
	newestSnapshot, _ := newestFile(names, snapPrefix)
	newestLog, _ := newestFile(names, logPrefix)
	for _, name := range names {
		stale := strings.HasSuffix(name, tmpSuffix) ||
			(strings.HasPrefix(name, snapPrefix) && name != newestSnapshot) ||
			(strings.HasPrefix(name, logPrefix) && name != newestLog)
		if !stale {
			continue
		}
		if err := s.disk.Remove(name); err != nil {
			return errors.Wrap(err, "remove "+name)
		}
	}
	return nil
}

func decode(name string, offset int64, payload []byte, m proto.Message) error {
	if err := proto.Unmarshal(payload, m); err != nil {
		return &CorruptError{
			File:   name,
			Offset: offset,
			What:   "a record has a matching checksum but cannot be decoded",
		}
	}
	return nil
}
