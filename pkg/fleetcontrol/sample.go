package fleetcontrol

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// sampleSize is how many hosts an entry host can name to callers: as many as
	// callers take. Where there are no more, all are named.
	sampleSize = 64
	// sampleInterval is the least time between two samples that a host is sent, so
	// that hosts which come and go one by one don't cost a list each. Callers keep
	// an answer for seconds anyway, and leave out addresses that fail them.
	sampleInterval = 500 * time.Millisecond
)

// sample is the ready hosts that one entry host names to callers. Which ones is
// drawn by a hash of both names, so that each host is in as many samples as any
// other, over all failure domains alike, and one that comes or goes changes only
// the samples that it is in, whichever replica leads.
type sample struct {
	version   uint64 // hosts.readyVersion that it is of
	addresses []string
	digest    uint64
}

// selectSample returns the sample of one host out of those that are ready.
func (h *hosts) selectSample(name string) sample {
	type ranked struct {
		address string
		rank    uint64
	}
	var list []ranked
	for other, entry := range h.entries {
		if entry.info.GetReady() {
			list = append(list, ranked{
				address: entry.info.GetCallerAddress(),
				rank:    xxhash.Sum64String(name + " " + other),
			})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	if len(list) > sampleSize {
		list = list[:sampleSize]
	}
	s := sample{
		version: h.readyVersion,
	}
	for _, candidate := range list {
		s.addresses = append(s.addresses, candidate.address)
	}
	sort.Strings(s.addresses)
	s.digest = fleet.AddressesDigest(s.addresses)
	return s
}

// addresses returns a host's sample if it holds another one and it is time to
// send it; the sample's digest; and how many hosts are ready.
func (h *hosts) addresses(now time.Time, name string, held uint64) (list []string, digest uint64, ready int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.entries[name]
	if entry == nil || held != 0 && now.Sub(entry.addressesAt) < sampleInterval {
		return nil, held, h.ready
	}
	if entry.sample.version != h.readyVersion {
		entry.sample = h.selectSample(name)
	}
	if entry.sample.digest == held {
		return nil, held, h.ready
	}
	entry.addressesAt = now
	return entry.sample.addresses, entry.sample.digest, h.ready
}
