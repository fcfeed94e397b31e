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

// fetchTimeout bounds a call that fetches a large configuration from a control replica.
// One of 18 KB takes 7 ms over a host's link of 20 Mbit/s.
const fetchTimeout = 600 * time.Millisecond

// errPatchMismatch is returned when a patch has another base version than the configuration
// held, or when its result doesn't have the expected digest.
var errPatchMismatch = errors.New("the patch doesn't apply to the configuration held")

// receivedConfig is a decoded configuration and the content that it was decoded from.
type receivedConfig struct {
	index   *fleet.Index
	content []byte
}

// decodeConfig decodes the configuration that a control host sent in full or as a patch
// of the one held. It returns nil if neither was sent. It reads content without holding
// mu, since only Run's goroutine changes it.
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
	content, err := fleet.ApplyPatch(c.content, patch.GetPatch())
	if err != nil {
		return nil, err
	}
	if fleet.ContentDigest(content) != patch.GetDigest() {
		return nil, errPatchMismatch
	}
	return content, nil
}

// configVersion returns the version of the active configuration, or 0 if there is none.
func (c *ControlClient) configVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return 0
	}
	return c.index.Version()
}

// installIfNewer makes a configuration the active one if its version is higher than the
// active one's. The caller holds mu.
func (c *ControlClient) installIfNewer(r *receivedConfig, from string) {
	if r == nil || c.index != nil && r.index.Version() <= c.index.Version() {
		return
	}
	c.index = r.index
	c.content = r.content
	c.cfg.Log.Event(eventlog.ConfigInForce, eventlog.Int("version", int64(r.index.Version())), eventlog.Str("from", from))
}

// fetchConfig fetches a configuration that the leader didn't send itself from the control
// replicas. The entry host's name selects the first of them, which spreads the transfers.
// If no replica returns the version newest, the next Sync asks the leader for it.
func (c *ControlClient) fetchConfig(ctx context.Context, newest uint64) {
	for _, address := range c.replicasToAsk() {
		if c.configVersion() >= newest || ctx.Err() != nil {
			return
		}
		c.fetchConfigFrom(ctx, address)
	}
	c.mayAskReplicas = c.configVersion() >= newest
}

// replicasToAsk returns at most maxFetchAttempts replicas, beginning at a position derived
// from this host's name.
func (c *ControlClient) replicasToAsk() []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.cfg.Name)) // a hash's Write never fails
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for i := range c.replicas {
		list = append(list, c.replicas[(int(h.Sum32()%uint32(len(c.replicas)))+i)%len(c.replicas)])
	}
	return list[:min(len(list), maxFetchAttempts)]
}

// maxFetchAttempts is how many replicas are asked before the leader must send the
// configuration. One replica may have lost its disk or be unreachable.
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
