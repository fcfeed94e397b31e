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

// Each replica keeps the list of usable endpoints on its disk. It is a hint, no
// state that must survive: after a stop of all hosts the endpoints on it are
// asked at once, so that requests need not wait for a heartbeat of each, and
// don't all go to the few that came first.

const (
	endpointsFile = "endpoints"
	// endpointsWriteInterval is the least time between two writes: two syncs of 5 ms each
	// on the users' disks, which the log needs too. An endpoint that leaves must
	// be off the list soon.
	endpointsWriteInterval = 200 * time.Millisecond
	// restoreHeartbeats is how many heartbeat intervals after the start a recalled
	// endpoint may take for its first heartbeat.
	restoreHeartbeats = 3
	// restoreJitter is by how many intervals that differs between replicas.
	restoreJitter = 1.5
	checksumBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errChecksum says that a crash cut a file short, or mixed it with an older one.
var errChecksum = errors.New("the list of endpoints is torn")

// readEndpoints returns the list that the folder holds; none if it has no file.
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

// writeEndpoints makes a list durable.
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

// restoreEndpoints takes the endpoints that the disk tells of, and asks each whether it
// is still there.
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

// restoreTimeout is how long recalled endpoints may take for their first heartbeats. It
// differs from replica to replica, so that they don't all ask the leader for whole
// lists at once: 0.4 MB or so at 3,000 endpoints.
func (s *Server) restoreTimeout() time.Duration {
	return time.Duration((restoreHeartbeats + restoreJitter*rand.Float64()) * float64(s.cfg.Heartbeat))
}

// dropRestored forgets what no heartbeat has borne out, here or at another replica:
// an endpoint sends its heartbeats to one of them, and that one spreads only news. The
// leader is told of all, and is asked first. Who recalled nothing asks nobody.
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
			s.cfg.Metrics.Counter("spread_failures").Inc(1) // the next is asked
		}
	}
	s.dropUnconfirmed()
}

// dropUnconfirmed forgets what no heartbeat that this replica knows of has borne out.
func (s *Server) dropUnconfirmed() {
	if n := s.table.DropRestored(); n > 0 {
		s.cfg.Log.Event(eventlog.Reloaded, eventlog.Str("what", "endpoints without a heartbeat dropped"), eventlog.Int("count", int64(n)))
	}
}

// saveEndpoints writes the list whenever an endpoint has come or gone. What
// they hold needs no write: they are asked.
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

// joinIDs names the endpoints of a sorted list.
func joinIDs(list []fleet.Endpoint) string {
	var b strings.Builder
	for _, e := range list {
		b.WriteString(e.ID)
		b.WriteByte(' ')
	}
	return b.String()
}

// usable leaves out endpoints that leave or have ended: they must not come back.
func usable(list []fleet.Endpoint) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range list {
		if e.Usable() && e.Address != "" {
			out = append(out, e)
		}
	}
	return out
}
