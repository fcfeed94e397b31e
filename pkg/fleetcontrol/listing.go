package fleetcontrol

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// listing keeps the whole list of endpoints as hosts are sent it: packed, which
// makes 22 KB of 216 endpoints 4 KB, and made once a version of the table, however
// many hosts want it.
type listing struct {
	log *eventlog.Log

	mu   sync.Mutex
	last listed
}

type listed struct {
	version uint64
	digest  uint64
	packed  []byte
}

// of returns the list of the table as it stands.
func (l *listing) of(t *registry.Table, now time.Time) listed {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.packed != nil && l.last.version == t.Version() {
		return l.last
	}
	all, version := t.Since(0)
	packed, err := packEndpoints(all, now)
	if err != nil {
		l.log.Event(eventlog.Unexpected, eventlog.Str("what", "the list of endpoints can't be packed"), eventlog.Err(err))
		return listed{}
	}
	l.last = listed{
		version: version,
		digest:  fleet.EndpointsDigest(all),
		packed:  packed,
	}
	return l.last
}

func packEndpoints(list []fleet.Endpoint, now time.Time) ([]byte, error) {
	text, err := proto.Marshal(&rpc.SpreadRequest{
		Endpoints: fleet.EndpointsToWire(list, now),
	})
	if err != nil {
		return nil, err
	}
	return fleet.Pack(text)
}
