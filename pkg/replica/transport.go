package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const (
	sendTimeout = 500 * time.Millisecond
	queueSize   = 1024
)

// TwirpTransport sends messages over Twirp. It runs one worker per replica, so
// that an unreachable replica does not delay messages to the others.
type TwirpTransport struct {
	self   uint64
	client *http.Client
	group  *group.Group

	mu    sync.Mutex
	peers map[uint64]*peer
}

type peer struct {
	address string
	queue   chan *rpc.RaftMessage
	cancel  context.CancelFunc
}

// NewTwirpTransport returns a transport whose workers run in g.
func NewTwirpTransport(self uint64, client *http.Client, g *group.Group) *TwirpTransport {
	return &TwirpTransport{
		self:   self,
		client: client,
		group:  g,
		peers:  map[uint64]*peer{},
	}
}

// SetMembers implements Transport.
func (t *TwirpTransport) SetMembers(members *rpc.Members) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := map[uint64]string{}
	for _, m := range members.GetList() {
		if m.GetId() != t.self {
			wanted[m.GetId()] = m.GetAddress()
		}
	}
	for id, p := range t.peers {
		if wanted[id] != p.address {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, address := range wanted {
		if t.peers[id] == nil {
			t.peers[id] = t.startPeer(address)
		}
	}
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
		p.run(ctx, client, t.client)
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

func (p *peer) run(ctx context.Context, client rpc.Replica, httpClient *http.Client) {
	for {
		batch := p.nextBatch(ctx)
		if batch == nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err := client.Deliver(callCtx, batch)
		cancel()
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
