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
	// samplePause is the least time between two samples that a host is sent, so
	// that hosts which come and go one by one don't cost a list each. Callers keep
	// an answer for seconds anyway, and leave out addresses that fail them.
	samplePause = 500 * time.Millisecond
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

// draw returns the sample of one host out of those that are ready.
func (h *hosts) draw(name string) sample {
	type ranked struct {
		address string
		rank    uint64
	}
	var list []ranked
	for other, row := range h.rows {
		if row.info.GetReady() {
			list = append(list, ranked{
				address: row.info.GetCallerAddress(),
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
	for _, one := range list {
		s.addresses = append(s.addresses, one.address)
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
	row := h.rows[name]
	if row == nil || held != 0 && now.Sub(row.addressesAt) < samplePause {
		return nil, held, h.ready
	}
	if row.sample.version != h.readyVersion {
		row.sample = h.draw(name)
	}
	if row.sample.digest == held {
		return nil, held, h.ready
	}
	row.addressesAt = now
	return row.sample.addresses, row.sample.digest, h.ready
}
