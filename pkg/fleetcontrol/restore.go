package fleetcontrol

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"google.golang.org/protobuf/proto"
)

// Each replica saves the list of usable endpoints on its disk. The list is a hint and
// may be lost. After a stop of all hosts the endpoints on it are probed at once, so that
// requests need not wait for the first heartbeats, and are not all sent to the few
// endpoints that announce themselves first.

const (
	endpointsFile = "endpoints"
	// endpointsWriteInterval is the least time between two writes. A write takes two
	// syncs of a disk that the log needs too, but a leaving endpoint must be off the
	// list soon.
	endpointsWriteInterval = 200 * time.Millisecond
	// restoreHeartbeats is the least number of heartbeat intervals after the start in
	// which a restored endpoint must send its first heartbeat.
	restoreHeartbeats = 3
	// restoreJitter is the range, in intervals, of the random time added to that.
	restoreJitter = 1.5
	checksumBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errChecksum is returned for a file that a crash truncated or mixed with an older one.
var errChecksum = errors.New("the list of endpoints has a wrong checksum")

// readEndpoints returns the list saved in the folder; none if there is no file.
func readEndpoints(folder string, now time.Time) ([]fleet.Endpoint, error) {
	data, err := os.ReadFile(filepath.Join(folder, endpointsFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read endpoints")
	}
	if len(data) < checksumBytes || binary.LittleEndian.Uint32(data) != crc32.Checksum(data[checksumBytes:], castagnoli) {
		return nil, errChecksum
	}
	list := &rpc.SpreadRequest{}
	if err := proto.Unmarshal(data[checksumBytes:], list); err != nil {
		return nil, errors.Wrap(err, "decode endpoints")
	}
	return fleet.EndpointsFromWire(list.GetEndpoints(), now), nil
}

// writeEndpoints saves the list durably.
func writeEndpoints(folder string, list []fleet.Endpoint, now time.Time) error {
	body, err := proto.Marshal(&rpc.SpreadRequest{
		Endpoints: fleet.EndpointsToWire(list, now),
	})
	if err != nil {
		return errors.Wrap(err, "encode endpoints")
	}
	sum := crc32.Checksum(body, castagnoli)
	return writeFile(folder, endpointsFile, append(binary.LittleEndian.AppendUint32(nil, sum), body...))
}

// restoreEndpoints reads the endpoints from disk, and probes each.
func (s *Server) restoreEndpoints() {
	if s.cfg.Folder == "" {
		return
	}
	list, err := readEndpoints(s.cfg.Folder, s.cfg.Timer.Now())
	if err != nil {
		s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the list of endpoints can't be read; heartbeats will tell"), eventlog.Err(err))
		return
	}
	n := s.table.Restore(list)
	s.cfg.Log.Event(eventlog.Reloaded, eventlog.Str("what", "endpoints"), eventlog.Str("from", "disk"), eventlog.Int("count", int64(n)))
	for _, e := range list {
		s.probe(e, 0, "recalled")
	}
}

// restoreTimeout is how long restored endpoints may take to send their first heartbeats.
// It is random, so that the replicas don't all ask the leader for its full list at once,
// 0.4 MB or so at 3,000 endpoints.
func (s *Server) restoreTimeout() time.Duration {
	return time.Duration((restoreHeartbeats + restoreJitter*rand.Float64()) * float64(s.cfg.Heartbeat))
}

// dropRestored drops the restored endpoints of which no replica has received a
// heartbeat. Each endpoint sends its heartbeats to one replica, which propagates changes
// only; so the others are asked first, beginning with the leader, which receives all
// announcements. Nobody is asked if nothing is left to confirm.
func (s *Server) dropRestored(ctx context.Context) {
	_, _, leader := s.replica.Leads(ctx)
	for _, address := range append([]string{leader}, s.otherReplicas()...) {
		if !s.table.HasRestored() {
			return
		}
		if address == "" || address == s.replica.address() {
			continue
		}
		if _, err := s.fetchEndpointsFrom(ctx, address); err != nil {
			s.cfg.Metrics.Counter("spread_failures").Inc(1) // continue with the next replica
		}
	}
	s.dropUnconfirmed()
}

// dropUnconfirmed drops the restored endpoints of which this replica knows no heartbeat.
func (s *Server) dropUnconfirmed() {
	if n := s.table.DropRestored(); n > 0 {
		s.cfg.Log.Event(eventlog.Reloaded, eventlog.Str("what", "endpoints without a heartbeat dropped"), eventlog.Int("count", int64(n)))
	}
}

// saveEndpoints saves the list whenever an endpoint is added or removed. The layers that
// endpoints hold need no save, since restored endpoints are probed.
func (s *Server) saveEndpoints(ctx context.Context) {
	if s.cfg.Folder == "" {
		return
	}
	written := "nothing yet"
	failing := false
	for ctx.Err() == nil {
		changed := s.table.Changed()
		list := usable(s.table.All())
		if ids := joinIDs(list); ids != written {
			err := writeEndpoints(s.cfg.Folder, list, s.cfg.Timer.Now())
			if err != nil && !failing {
				s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the list of endpoints can't be saved; the older one stays"), eventlog.Err(err))
			}
			failing = err != nil
			if !failing {
				written = ids
			}
		}
		if timer.Sleep(ctx, s.cfg.Timer, endpointsWriteInterval) != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// joinIDs joins the ids of a sorted list, to compare lists.
func joinIDs(list []fleet.Endpoint) string {
	var b strings.Builder
	for _, e := range list {
		b.WriteString(e.ID)
		b.WriteByte(' ')
	}
	return b.String()
}

// usable drops endpoints that are leaving or gone, which must not be restored, and those
// without an address.
func usable(list []fleet.Endpoint) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range list {
		if e.Usable() && e.Address != "" {
			out = append(out, e)
		}
	}
	return out
}
