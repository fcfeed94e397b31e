package fleetentry

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// standingTimeout bounds a call to another replica for a large configuration: one
// of 18 KB takes 7 ms over a host's own link of 20 Mbit/s.
const standingTimeout = 600 * time.Millisecond

// errPatch says that a patch doesn't give what it was made of.
var errPatch = errors.New("the patch isn't of the configuration held here")

// received is a configuration that a control host sent.
type received struct {
	index   *fleet.Index
	content []byte
}

// open makes a configuration out of what a control host sent, whole or as a
// patch of the one held; nil if it sent none. It runs without the lock: only
// Run's goroutine changes the content held.
func (f *ControlClient) open(doc *rpc.Document, patch *rpc.DocumentPatch) (*received, error) {
	var content []byte
	var err error
	switch {
	case doc != nil:
		content, err = fleet.Unpack(doc.GetContent())
	case patch != nil:
		content, err = f.patched(patch)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	cfg, err := f.cfg.Decoder.Decode(content)
	if err != nil {
		return nil, err
	}
	return &received{
		index:   fleet.NewIndex(cfg),
		content: content,
	}, nil
}

func (f *ControlClient) patched(patch *rpc.DocumentPatch) ([]byte, error) {
	if f.heldVersion() != patch.GetBase() {
		return nil, errPatch
	}
	content, err := fleet.Patched(f.content, patch.GetPatch())
	if err != nil {
		return nil, err
	}
	if fleet.ContentDigest(content) != patch.GetDigest() {
		return nil, errPatch
	}
	return content, nil
}

// heldVersion returns the configuration's version; 0 if there is none.
func (f *ControlClient) heldVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.index == nil {
		return 0
	}
	return f.index.Version()
}

// install puts a configuration in force if it is newer. The caller holds mu.
func (f *ControlClient) install(r *received, from string) {
	if r == nil || f.index != nil && r.index.Version() <= f.index.Version() {
		return
	}
	f.index = r.index
	f.content = r.content
	f.cfg.Log.Event(eventlog.ConfigInForce, eventlog.Int("version", int64(r.index.Version())), eventlog.Str("from", from))
}

// fetch takes a configuration that the leader didn't send itself from another
// replica: each host begins with one of its own, so that they share the hosts.
func (f *ControlClient) fetch(ctx context.Context, newest uint64) {
	for _, address := range f.replicasInTurn() {
		if f.heldVersion() >= newest || ctx.Err() != nil {
			return
		}
		f.fetchFrom(ctx, address)
	}
	f.askOthers = f.heldVersion() >= newest
}

// replicasInTurn returns the replicas, from the one that this host asks first.
func (f *ControlClient) replicasInTurn() []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.cfg.Name)) // a hash can't fail
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for i := range f.replicas {
		list = append(list, f.replicas[(int(h.Sum32()%uint32(len(f.replicas)))+i)%len(f.replicas)])
	}
	return list[:min(len(list), standingTries)]
}

// standingTries is how many replicas are asked before the leader must send the
// configuration: one may have just lost its disk, or be cut off.
const standingTries = 2

func (f *ControlClient) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, standingTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, f.cfg.Client).Standing(ctx, &rpc.StandingRequest{
		Held: f.heldVersion(),
	})
	var r *received
	if err == nil {
		r, err = f.open(reply.GetDocument(), reply.GetPatch())
	}
	if err != nil {
		f.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "a replica didn't hand out the configuration; the next is asked"),
			eventlog.Str("address", address), eventlog.Err(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.install(r, address)
}
