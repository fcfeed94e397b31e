package fleetcontrol

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// sampleSize is how many hosts an entry host can name to callers, which is as many
	// as callers accept. If there are no more, all are named.
	sampleSize = 64
	// sampleInterval is the least time between two samples that a host is sent, so that
	// hosts that come and go one by one don't cause a list each. Callers keep an answer
	// for seconds anyway, and avoid addresses that fail.
	sampleInterval = 500 * time.Millisecond
)

// sample is the ready hosts that one entry host names to callers; if no host is ready,
// those that only lack reachable endpoints, since callers must not be left without an
// address. They are selected by
// rendezvous hashing of both names, so that each host is in about as many samples as any
// other, over all failure domains alike. A host that comes or goes changes only the
// samples that it is in, and the result doesn't depend on the leader.
type sample struct {
	version   uint64 // value of hosts.readyVersion that it was selected at
	addresses []string
	digest    uint64
}

// selectSample selects the sample for one host among the ready ones.
func (h *hosts) selectSample(name string) sample {
	type ranked struct {
		address string
		rank    uint64
	}
	var list []ranked
	for other, entry := range h.entries {
		if entry.info.GetReady() || h.ready == 0 && entry.info.GetIsolated() {
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

// addresses returns a host's sample if the host holds a different one and is due for it,
// the digest of the sample that the host then holds, and the number of ready hosts.
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
