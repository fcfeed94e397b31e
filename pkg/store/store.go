// Package store keeps a replica's log and snapshots in plain files in a data
// folder. A write is acknowledged only after the file is synced and, if its name
// is new, the folder as well. A failed sync is permanent: what the kernel holds
// after it is unknown, so the store refuses all further writes.
package store

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

const (
	logPrefix  = "log-"
	snapPrefix = "snapshot-"
	tmpSuffix  = ".tmp"
)

// Store is an open data folder.
//
// Invariants: exactly one log file is in use, the one with the highest number;
// it holds the hard state and every entry after the newest snapshot; a file gets
// its final name only when it is complete and synced.
type Store struct {
	disk     Disk
	log      File
	logName  string
	sequence uint64
	writeErr error
	// logBehindSnapshot is true if the log file was opened with entries that the
	// snapshot covers: a crash came after the snapshot was stored and before its
	// log file was.
	logBehindSnapshot bool

	hardState *rpc.HardState
	entries   []*rpc.LogEntry
	snapshot  *rpc.SnapshotFile

	logBytes       int64
	truncatedBytes int64
	syncs          int64
}

// Open loads the content of the data folder. An empty folder is an empty store.
func Open(disk Disk) (*Store, error) {
	s := &Store{
		disk:      disk,
		hardState: &rpc.HardState{},
	}
	names, err := disk.Names()
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	if err := s.loadSnapshot(names); err != nil {
		return nil, err
	}
	if err := s.loadLog(names); err != nil {
		return nil, err
	}
	if err := s.removeStaleFiles(names); err != nil {
		return nil, err
	}
	if s.log == nil || s.logBehindSnapshot {
		// Entries that continue the snapshot must not be appended to a log file
		// whose entries end before the snapshot: that would look like a gap.
		err = s.rotate()
	}
	return s, err
}

// Empty reports whether nothing was ever stored.
func (s *Store) Empty() bool {
	return s.snapshot == nil && len(s.entries) == 0 && s.hardState.GetTerm() == 0
}

// HardState returns the stored hard state.
func (s *Store) HardState() *rpc.HardState {
	return s.hardState
}

// Entries returns the entries after the snapshot.
func (s *Store) Entries() []*rpc.LogEntry {
	return s.entries
}

// Snapshot returns the newest snapshot, or nil if there is none.
func (s *Store) Snapshot() *rpc.SnapshotFile {
	return s.snapshot
}

// LatestSnapshot returns the metadata and the state of the newest snapshot; the metadata
// is nil if there is none.
func (s *Store) LatestSnapshot() (*rpc.SnapshotMeta, []byte) {
	return s.snapshot.GetMeta(), s.snapshot.GetState()
}

// TruncatedBytes returns the size of the incomplete record that was removed from the
// end of the log when the store was opened.
func (s *Store) TruncatedBytes() int64 {
	return s.truncatedBytes
}

// LogBytes returns the size of the log file in use.
func (s *Store) LogBytes() int64 {
	return s.logBytes
}

// Syncs returns the number of file syncs.
func (s *Store) Syncs() int64 {
	return s.syncs
}

// Save makes the hard state, if not nil, and the entries durable with one sync.
// The entries replace the stored ones from the index of the first one on.
func (s *Store) Save(hard *rpc.HardState, entries []*rpc.LogEntry) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	record := &rpc.WalRecord{
		HardState: hard,
		Entries:   entries,
	}
	if err := s.writeRecord(s.log, record); err != nil {
		return s.fail(err)
	}
	s.applyRecord(record)
	return nil
}

// SaveSnapshot makes a snapshot durable and starts a new log file with the
// entries that follow it.
func (s *Store) SaveSnapshot(file *rpc.SnapshotFile) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	name := fmt.Sprintf("%s%020d", snapPrefix, file.GetMeta().GetIndex())
	if err := s.writeFile(name, file); err != nil {
		return s.fail(err)
	}
	s.snapshot = file
	s.entries = entriesAfter(s.entries, file.GetMeta())
	return s.rotate()
}

// Close closes the log file. Every later write fails.
func (s *Store) Close() error {
	s.writeErr = errors.New("the store is closed")
	return s.log.Close()
}

// entriesAfter returns the entries that follow the snapshot. It returns none if
// the entry at the snapshot's index is of another term, since then all of them
// conflict with the snapshot.
func entriesAfter(entries []*rpc.LogEntry, meta *rpc.SnapshotMeta) []*rpc.LogEntry {
	for i, e := range entries {
		if e.GetIndex() == meta.GetIndex() {
			if e.GetTerm() != meta.GetTerm() {
				return nil
			}
			return append([]*rpc.LogEntry(nil), entries[i+1:]...)
		}
	}
	if len(entries) > 0 && entries[0].GetIndex() == meta.GetIndex()+1 {
		return entries
	}
	return nil
}

// rotate starts a log file that holds the current state, and then removes the
// previous one.
func (s *Store) rotate() error {
	old := s.logName
	s.sequence++
	name := fmt.Sprintf("%s%020d", logPrefix, s.sequence)
	s.logBytes = prefixSize
	err := s.writeFile(name, &rpc.WalRecord{
		HardState: s.hardState,
		Entries:   s.entries,
	})
	if err != nil {
		return s.fail(err)
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	if s.log, err = s.disk.Append(name); err != nil {
		return s.fail(err)
	}
	s.logName = name
	if old != "" {
		err = s.disk.Remove(old)
	}
	if err != nil {
		return s.fail(err)
	}
	return s.removeOtherSnapshots(s.snapshot)
}

func (s *Store) removeOtherSnapshots(keep *rpc.SnapshotFile) error {
	names, err := s.disk.Names()
	if err != nil {
		return s.fail(err)
	}
	keepName := fmt.Sprintf("%s%020d", snapPrefix, keep.GetMeta().GetIndex())
	for _, name := range names {
		if strings.HasPrefix(name, snapPrefix) && name != keepName {
			if err := s.disk.Remove(name); err != nil {
				return s.fail(err)
			}
		}
	}
	return nil
}

// writeFile writes a file of one record under a temporary name, and renames it
// when it is complete and synced.
func (s *Store) writeFile(name string, m proto.Message) error {
	f, err := s.disk.Create(name + tmpSuffix)
	if err != nil {
		return errors.Wrap(err, "create "+name)
	}
	if _, err := f.Write(filePrefix()); err != nil {
		return errors.Wrap(err, "write "+name)
	}
	if err := s.writeRecord(f, m); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close "+name)
	}
	if err := s.disk.Rename(name+tmpSuffix, name); err != nil {
		return errors.Wrap(err, "rename "+name)
	}
	if err := s.disk.SyncFolder(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	return nil
}

func (s *Store) writeRecord(f File, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	n, err := f.Write(encodeRecord(payload))
	if err != nil {
		return errors.Wrap(err, "write")
	}
	s.logBytes += int64(n)
	s.syncs++
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync")
	}
	return nil
}

// applyRecord applies a record to the state in memory.
func (s *Store) applyRecord(r *rpc.WalRecord) {
	if r.GetHardState() != nil {
		s.hardState = r.GetHardState()
	}
	if len(r.GetEntries()) == 0 {
		return
	}
	first := r.GetEntries()[0].GetIndex()
	for len(s.entries) > 0 && s.entries[len(s.entries)-1].GetIndex() >= first {
		s.entries = s.entries[:len(s.entries)-1]
	}
	s.entries = append(s.entries, r.GetEntries()...)
}

func (s *Store) fail(err error) error {
	s.writeErr = errors.Wrap(err, "storage failed permanently")
	return s.writeErr
}
