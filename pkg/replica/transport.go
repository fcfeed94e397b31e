package replica

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	sendTimeout = 500 * time.Millisecond
	queueSize   = 1024
	// maxLearned is the maximum number of replicas whose addresses only messages named.
	maxLearned = 9
)

// TwirpTransport sends messages over Twirp. It runs one worker per replica, so
// that an unreachable replica does not delay messages to the others.
//
// Invariant: a replica has at most one worker, which sends to the address that SetReplicas
// named last, or else to the one that Learn did.
type TwirpTransport struct {
	self    uint64
	address string // of this replica, sent with every batch
	client  *http.Client
	group   *group.Group

	mu    sync.Mutex
	peers map[uint64]*peer
	// learned are the peers that only Learn has named, the oldest first.
	learned []uint64
}

type peer struct {
	address string
	queue   chan *rpc.RaftMessage
	cancel  context.CancelFunc
	// refused is set while the address refuses connections.
	refused atomic.Bool
}

// NewTwirpTransport returns the transport of the replica self at address, whose workers
// run in g.
func NewTwirpTransport(self uint64, address string, client *http.Client, g *group.Group) *TwirpTransport {
	return &TwirpTransport{
		self:    self,
		address: address,
		client:  client,
		group:   g,
		peers:   map[uint64]*peer{},
	}
}

// SetReplicas implements Transport.
func (t *TwirpTransport) SetReplicas(replicas []*rpc.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := map[uint64]string{}
	for _, m := range replicas {
		if m.GetId() != t.self {
			wanted[m.GetId()] = m.GetAddress()
		}
	}
	t.learned = slices.DeleteFunc(t.learned, func(id uint64) bool { return wanted[id] != "" })
	for id, p := range t.peers {
		if wanted[id] != p.address && !slices.Contains(t.learned, id) {
			t.stopPeer(id)
		}
	}
	for id, address := range wanted {
		if t.peers[id] == nil {
			t.peers[id] = t.startPeer(address)
		}
	}
}

// Learn records the address of a replica that sent a message or was named by another
// one, unless SetReplicas has named it. The log of a replica that missed changes doesn't
// name the leader, which needs its answers to send it those changes.
func (t *TwirpTransport) Learn(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := slices.Contains(t.learned, id)
	if id == t.self || address == "" || t.peers[id] != nil && (!known || t.peers[id].address == address) {
		return
	}
	if known {
		t.stopPeer(id)
	}
	t.learned = append(slices.DeleteFunc(t.learned, func(one uint64) bool { return one == id }), id)
	t.peers[id] = t.startPeer(address)
	if len(t.learned) > maxLearned {
		t.stopPeer(t.learned[0])
		t.learned = t.learned[1:]
	}
}

// Refused reports whether the last call to a replica found no process at its address.
func (t *TwirpTransport) Refused(id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	return p != nil && p.refused.Load()
}

func (t *TwirpTransport) stopPeer(id uint64) {
	t.peers[id].cancel()
	delete(t.peers, id)
}

func (t *TwirpTransport) startPeer(address string) *peer {
	ctx, cancel := context.WithCancel(t.group.Context())
	p := &peer{
		address: address,
		queue:   make(chan *rpc.RaftMessage, queueSize),
		cancel:  cancel,
	}
	client := rpc.NewReplicaProtobufClient("http://"+address, t.client)
	t.group.Go(func(context.Context) {
		p.run(ctx, client, t.client, t.address)
	})
	return p
}

// Send implements Transport.
func (t *TwirpTransport) Send(messages []*rpc.RaftMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		p := t.peers[m.GetTo()]
		if p == nil {
			continue
		}
		select {
		case p.queue <- m:
		default: // queue full: dropped, as on a network; heartbeats cause it to be sent again
		}
	}
}

func (p *peer) run(ctx context.Context, client rpc.Replica, httpClient *http.Client, sender string) {
	for {
		batch := p.nextBatch(ctx)
		if batch == nil {
			return
		}
		batch.Address = sender
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err := client.Deliver(callCtx, batch)
		cancel()
		p.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		if err != nil {
			// Heartbeats cause a lost batch to be sent again. Other idle
			// connections may be broken as well; close them, since each would
			// cost another timeout.
			httpClient.CloseIdleConnections()
		}
	}
}

// nextBatch waits for a message and returns it with the others in the queue, or
// returns nil if ctx is done.
func (p *peer) nextBatch(ctx context.Context) *rpc.RaftBatch {
	batch := &rpc.RaftBatch{}
	select {
	case <-ctx.Done():
		return nil
	case m := <-p.queue:
		batch.Messages = append(batch.Messages, m)
	}
	for {
		select {
		case m := <-p.queue:
			batch.Messages = append(batch.Messages, m)
		default:
			return batch
		}
	}
}
