// Package permit keeps the calls that all hosts together make to an endpoint within the
// rate limit that the endpoint reports. The leader grants permits, each for one call to one
// endpoint, and never more than the limit allows, whichever host asks. A host calls an
// endpoint that has a limit only with a permit. Permits expire after a second, so the leader
// can grant them to other hosts without knowing whether a host that it can't reach still runs.
package permit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Lifetime is how long a permit may be used after it was granted. If it were shorter than the
// interval between a host's calls to the leader, most permits would expire unused; the longer
// it is, the more permits are outstanding that may all be used at the same moment.
const Lifetime = time.Second

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// EndpointKey returns the key of an endpoint, the same for all its incarnations: an overloaded
// endpoint may still be overloaded after a restart, and reports no limit if it isn't.
func EndpointKey(id string) uint32 {
	own, _ := fleet.SplitIncarnation(id)
	return fleet.LoadKey(own)
}

// keyDigest returns the share of one key in the digest of all endpoints that have a limit,
// which is the sum over their keys.
func keyDigest(key uint32) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, key))
}

// LimitReport is what an answer to a call said about the endpoint's rate limit.
type LimitReport struct {
	Key     uint32
	Service string
	// PerSecond is the limit in requests per second; below 0 if the answer reported none.
	PerSecond float64
	// SentAt is when the answered call was sent, ReceivedAt when the answer was received: the
	// endpoint made the report at some time between them.
	SentAt     time.Time
	ReceivedAt time.Time
}

// hasLimit reports whether the answer reported a limit.
func (r *LimitReport) hasLimit() bool {
	return r.PerSecond >= 0
}

// LimitChange says that an endpoint has a limit now, or no longer has one.
type LimitChange struct {
	Key       uint32
	Service   string
	PerSecond float64 // at the time of the change
	Removed   bool
}

// Counts holds the number of permits, or of calls, by endpoint key.
type Counts map[uint32]int

// Total returns the sum over all endpoints.
func (c Counts) Total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}
