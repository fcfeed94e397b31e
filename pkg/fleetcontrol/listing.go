package fleetcontrol

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

// endpointList keeps the whole list of endpoints as hosts are sent it: packed, which
// makes 13 KB of 216 endpoints 3 KB, and made once a version of the table, however
// many hosts want it.
type endpointList struct {
	log *eventlog.Log

	mu   sync.Mutex
	last packedList
	rate *rate.Limiter
}

const (
	// maxChangedEntries is how many changed endpoints are sent as the packed list of all
	// instead of row by row: a row takes 60 bytes, in the list 14.
	maxChangedEntries = 64
	// listLifetime is how long one list serves, though endpoints change meanwhile: what
	// changed since comes with the next call. When 3,000 endpoints announce
	// themselves or load, a list for each call would be made 700 times a second.
	listLifetime = 200 * time.Millisecond
	// listRate bounds the bytes a second of lists that the leader sends, a third of
	// the link of 100 Mbit/s that the users' control hosts have; a list that finds
	// no room comes with a later call, and the host goes on with what it holds.
	listRate = 4 << 20
	// listBurst is how many bytes may be sent at once; one list always may.
	listBurst = 1 << 20
)

func newEndpointList(log *eventlog.Log) *endpointList {
	return &endpointList{
		log:  log,
		rate: rate.NewLimiter(listRate, listBurst),
	}
}

// allow reports whether a list may be sent now, and counts it.
func (l *endpointList) allow(now time.Time, list packedList) bool {
	return l.rate.AllowN(now, min(len(list.packed), listBurst))
}

type packedList struct {
	version uint64
	digest  uint64
	packed  []byte
	madeAt  time.Time
}

// get returns the list of the table as it stands, or as it stood listKeep ago, but
// not before version least: a host must not learn less than it knows.
func (l *endpointList) get(table *registry.Table, now time.Time, minVersion uint64) packedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := l.last.version == table.Version() || l.last.version >= minVersion && now.Sub(l.last.madeAt) < listLifetime
	if l.last.packed != nil && fresh {
		return l.last
	}
	all, version := table.ChangesSince(0)
	packed, err := packEndpoints(all, now)
	if err != nil {
		l.log.Event(eventlog.Unexpected, eventlog.Str("what", "the list of endpoints can't be packed"), eventlog.Err(err))
		return packedList{}
	}
	l.last = packedList{
		version: version,
		digest:  fleet.EndpointsDigest(all),
		packed:  packed,
		madeAt:  now,
	}
	return l.last
}

func packEndpoints(list []fleet.Endpoint, now time.Time) ([]byte, error) {
	data, err := proto.Marshal(&rpc.SpreadRequest{
		Endpoints: fleet.EndpointsToWire(list, now),
	})
	if err != nil {
		return nil, err
	}
	return fleet.Pack(data)
}
