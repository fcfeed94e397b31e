// Package permit keeps what all hosts together send to endpoints within the limits that
// these name. The leader lends permits, each for one call to one endpoint, and lends no
// more than the endpoint takes, whichever host asks; a host calls an endpoint that has a
// limit only by a permit. A host that hears nothing has none, and what it held is over
// after a second: nothing need be known of it to lend to others.
package permit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Lifetime is how long a permit may be used after it was lent. Shorter than the time between
// two calls of a host, most would be over unused; longer, more are out at once that may
// all be used in one moment.
const Lifetime = time.Second

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// EndpointKey names an endpoint, whichever start of it is there: one that is in need may still be
// after a start, and names no limit then if it isn't.
func EndpointKey(id string) uint32 {
	own, _ := fleet.SplitIncarnation(id)
	return fleet.LoadKey(own)
}

// keyDigest returns what an endpoint that has a limit adds to the digest of all that do.
func keyDigest(key uint32) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, key))
}

// LimitReport is what an answer told of an endpoint's limit.
type LimitReport struct {
	Key     uint32
	Service string
	// PerSecond is the limit; below 0: the answer named none.
	PerSecond float64
	// SentAt is when the call was sent that was answered, and Heard when the answer came:
	// the endpoint said it at some time between.
	SentAt     time.Time
	ReceivedAt time.Time
}

// hasLimit reports whether the answer named a limit.
func (r *LimitReport) hasLimit() bool {
	return r.PerSecond >= 0
}

// LimitChange is an endpoint that has a limit now, or has none any more.
type LimitChange struct {
	Key       uint32
	Service   string
	PerSecond float64 // as it was when it was named
	Removed   bool
}

// Counts counts permits, or calls, by endpoint.
type Counts map[uint32]int

// Total returns how many permits there are.
func (t Counts) Total() int {
	sum := 0
	for _, n := range t {
		sum += n
	}
	return sum
}
