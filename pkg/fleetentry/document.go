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

// fetchTimeout bounds a call to another replica for a large configuration: one
// of 18 KB takes 7 ms over a host's own link of 20 Mbit/s.
const fetchTimeout = 600 * time.Millisecond

// errPatchMismatch says that a patch doesn't give what it was made of.
var errPatchMismatch = errors.New("the patch isn't of the configuration held here")

// receivedConfig is a configuration that a control host sent.
type receivedConfig struct {
	index   *fleet.Index
	content []byte
}

// decodeConfig makes a configuration out of what a control host sent, whole or as a
// patch of the one held; nil if it sent none. It runs without the lock: only
// Run's goroutine changes the content held.
func (c *ControlClient) decodeConfig(doc *rpc.Document, patch *rpc.DocumentPatch) (*receivedConfig, error) {
	var content []byte
	var err error
	switch {
	case doc != nil:
		content, err = fleet.Unpack(doc.GetContent())
	case patch != nil:
		content, err = c.applyPatch(patch)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	cfg, err := c.cfg.Decoder.Decode(content)
	if err != nil {
		return nil, err
	}
	return &receivedConfig{
		index:   fleet.NewIndex(cfg),
		content: content,
	}, nil
}

func (c *ControlClient) applyPatch(patch *rpc.DocumentPatch) ([]byte, error) {
	if c.configVersion() != patch.GetBase() {
		return nil, errPatchMismatch
	}
	content, err := fleet.Patched(c.content, patch.GetPatch())
	if err != nil {
		return nil, err
	}
	if fleet.ContentDigest(content) != patch.GetDigest() {
		return nil, errPatchMismatch
	}
	return content, nil
}

// configVersion returns the configuration's version; 0 if there is none.
func (c *ControlClient) configVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return 0
	}
	return c.index.Version()
}

// installIfNewer puts a configuration in force if it is newer. The caller holds mu.
func (c *ControlClient) installIfNewer(r *receivedConfig, from string) {
	if r == nil || c.index != nil && r.index.Version() <= c.index.Version() {
		return
	}
	c.index = r.index
	c.content = r.content
	c.cfg.Log.Event(eventlog.ConfigInForce, eventlog.Int("version", int64(r.index.Version())), eventlog.Str("from", from))
}

// fetchConfig takes a configuration that the leader didn't send itself from another
// replica: each host begins with one of its own, so that they share the hosts.
func (c *ControlClient) fetchConfig(ctx context.Context, newest uint64) {
	for _, address := range c.replicasToAsk() {
		if c.configVersion() >= newest || ctx.Err() != nil {
			return
		}
		c.fetchConfigFrom(ctx, address)
	}
	c.mayAskReplicas = c.configVersion() >= newest
}

// replicasToAsk returns the replicas, from the one that this host asks first.
func (c *ControlClient) replicasToAsk() []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.cfg.Name)) // a hash can't fail
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for i := range c.replicas {
		list = append(list, c.replicas[(int(h.Sum32()%uint32(len(c.replicas)))+i)%len(c.replicas)])
	}
	return list[:min(len(list), maxFetchAttempts)]
}

// maxFetchAttempts is how many replicas are asked before the leader must send the
// configuration: one may have just lost its disk, or be cut off.
const maxFetchAttempts = 2

func (c *ControlClient) fetchConfigFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, c.cfg.Client).Standing(ctx, &rpc.StandingRequest{
		Held: c.configVersion(),
	})
	var r *receivedConfig
	if err == nil {
		r, err = c.decodeConfig(reply.GetDocument(), reply.GetPatch())
	}
	if err != nil {
		c.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "a replica didn't hand out the configuration; the next is asked"),
			eventlog.Str("address", address), eventlog.Err(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.installIfNewer(r, address)
}
