package raft

import (
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// entryLog is the part of the log that is held in memory, after the entry at
// index base.
//
// Invariant: entries[i].Index == base+1+i, and terms never decrease.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*rpc.LogEntry
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index i, and false if i is neither base nor the index
// of an entry in memory.
func (l *entryLog) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].GetTerm(), true
}

// slice returns the entries in (after, upTo], limited to maxBytes but at least
// one.
func (l *entryLog) slice(after, upTo uint64, maxBytes int) []*rpc.LogEntry {
	upTo = min(upTo, l.last())
	if after < l.base || after >= upTo {
		return nil
	}
	all := l.entries[after-l.base : upTo-l.base]
	size := 0
	for i, e := range all {
		size += proto.Size(e)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l *entryLog) append(e *rpc.LogEntry) {
	l.entries = append(l.entries, e)
}

// truncate drops the entries from index i on. Slices returned earlier stay
// valid.
func (l *entryLog) truncate(i uint64) {
	n := i - l.base - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to index i. It does nothing if entry i is not in
// memory.
func (l *entryLog) compact(i uint64) {
	t, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]*rpc.LogEntry(nil), l.entries[i-l.base:]...)
	l.base = i
	l.baseTerm = t
}

// reset drops all entries, so that the log continues after a snapshot.
func (l *entryLog) reset(base, baseTerm uint64) {
	l.base = base
	l.baseTerm = baseTerm
	l.entries = nil
}

// upToDate reports whether a log whose last entry has the given index and term
// holds every entry that may be committed in this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.last())
}
