// Package rollout keeps, on an entry host, the set of bundles in force. It
// takes newer sets from control replicas or from other entry hosts, verifies
// every signature itself, and never goes back.
package rollout

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// longPollWait is for how long a control replica holds a call when nothing
	// is newer. It bounds the age of a confirmation when nothing changes.
	longPollWait = 4 * time.Second
	fetchTimeout = longPollWait + 2*time.Second
	retryPause   = 250 * time.Millisecond
	peerTimeout  = time.Second
	// maxInitialConfirmationAge is how old a confirmation may be to make this host sure for
	// the first time. A host that starts without a disk may have served a
	// newer set in its last life than an old confirmation speaks of.
	maxInitialConfirmationAge = 10 * time.Second
)

// Syncer holds the set in force on this host.
//
// Invariants: the revision never falls; a set is installed whole or not at
// all; confirmedAt is a time at which the installed revision was the newest
// that a control majority had accepted.
type Syncer struct {
	host    string
	control []string
	peers   func() []string
	trust   *bundle.Trust
	svc     timer.Service
	client  *http.Client
	metrics *metrics.Set

	mu          sync.Mutex
	versions    map[string]*rpc.BundleVersion
	set         *bundle.Set
	confirmed   bool
	confirmedAt time.Time
	changed     chan struct{}
	nextControl int // the control replica to ask next
}

// New returns a keeper that holds no set yet. peers gives the addresses of
// other entry hosts.
func New(host string, control []string, peers func() []string, trust *bundle.Trust, svc timer.Service, client *http.Client, set *metrics.Set) *Syncer {
	empty, _ := bundle.NewSet(0, nil)
	return &Syncer{
		host:     host,
		control:  control,
		peers:    peers,
		trust:    trust,
		svc:      svc,
		client:   client,
		metrics:  set,
		versions: map[string]*rpc.BundleVersion{},
		set:      empty,
		changed:  make(chan struct{}),
	}
}

// Set returns the set in force.
func (s *Syncer) Set() *bundle.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Changed returns a channel that is closed once a newer set is in force.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed reports whether the set was ever confirmed to be the newest since
// this process started, and how long ago the last time was.
func (s *Syncer) Confirmed() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed, s.svc.Now().Sub(s.confirmedAt)
}

// Run fetches newer sets until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.fetchControl(ctx) {
			continue
		}
		s.fetchPeers(ctx)
		if timer.Sleep(ctx, s.svc, retryPause) != nil {
			return
		}
	}
}

// fetchControl asks one control replica, and reports whether it confirmed.
func (s *Syncer) fetchControl(ctx context.Context) bool {
	s.mu.Lock()
	address := s.control[s.nextControl%len(s.control)]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := s.svc.Now()
	reply, err := rpc.NewRolloutProtobufClient("http://"+address, s.client).Fetch(ctx, s.request(longPollWait))
	if err == nil {
		err = s.apply(reply, sent)
	}
	if err == nil && reply.GetConfirmed() {
		return true
	}
	s.metrics.Counter("rollout_fetch_failures").Inc(1)
	s.mu.Lock()
	s.nextControl++
	s.mu.Unlock()
	return false
}

func (s *Syncer) request(wait time.Duration) *rpc.FetchRequest {
	r := &rpc.FetchRequest{
		Host:          s.host,
		KnownRevision: s.Set().Revision(),
		WaitMs:        uint32(wait.Milliseconds()),
	}
	if ok, _ := s.Confirmed(); !ok {
		r.WaitMs = 0
	}
	return r
}

// fetchPeers asks the other entry hosts in turn, so that a set gets through
// where no control replica can be reached.
func (s *Syncer) fetchPeers(ctx context.Context) {
	for _, address := range s.peers() {
		if s.fetchPeer(ctx, address) {
			return
		}
	}
}

func (s *Syncer) fetchPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := s.svc.Now()
	reply, err := rpc.NewRolloutProtobufClient("http://"+address, s.client).Fetch(ctx, s.request(0))
	if err != nil {
		return false
	}
	return s.apply(reply, sent) == nil && reply.GetConfirmed()
}

// apply installs what a reply brings and notes what it confirms. sent is when
// the call was made: the answer is true of some moment after it.
func (s *Syncer) apply(reply *rpc.FetchReply, sent time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := reply.GetSet(); set != nil && set.GetRevision() > s.set.Revision() {
		if err := s.install(set); err != nil {
			s.metrics.Counter("rollout_refused").Inc(1)
			logflags.Error(logflags.Rollout, err, "a set was refused", "revision", set.GetRevision())
			return err
		}
	}
	if !reply.GetConfirmed() || reply.GetRevision() != s.set.Revision() {
		return nil
	}
	at := sent.Add(-time.Duration(reply.GetConfirmedAgeMs()) * time.Millisecond)
	if !s.confirmed && s.svc.Now().Sub(at) > maxInitialConfirmationAge {
		return nil
	}
	if !s.confirmed || at.After(s.confirmedAt) {
		s.confirmed = true
		s.confirmedAt = at
	}
	return nil
}

// install puts a newer set in force: the versions held, with those that
// changed in their places.
func (s *Syncer) install(set *rpc.BundleSet) error {
	next := map[string]*rpc.BundleVersion{}
	for name, v := range s.versions {
		next[name] = v
	}
	for _, v := range set.GetBundles() {
		if err := s.verify(v); err != nil {
			return err
		}
		next[v.GetName()] = v
	}
	var bundles []*bundle.Bundle
	for name, v := range next {
		b, err := bundle.Parse(name, v.GetContent())
		if err != nil {
			return err
		}
		bundles = append(bundles, b)
	}
	built, err := bundle.NewSet(set.GetRevision(), bundles)
	if err != nil {
		return err
	}
	s.versions = next
	s.set = built
	close(s.changed)
	s.changed = make(chan struct{})
	s.metrics.Gauge("revision").Update(int64(set.GetRevision()))
	logflags.Info(logflags.Rollout, "set in force", "revision", set.GetRevision())
	return nil
}

// verify checks a version by itself: its digest, its signatures, and that it
// doesn't go back behind the one held.
func (s *Syncer) verify(v *rpc.BundleVersion) error {
	if bundle.Digest(v.GetContent()) != v.GetDigest() {
		return errors.Errorf("bundle %q: the text doesn't have the digest it came with", v.GetName())
	}
	if held := s.versions[v.GetName()]; held != nil && v.GetVersion() < held.GetVersion() {
		return errors.Errorf("bundle %q: version %d came after version %d", v.GetName(), v.GetVersion(), held.GetVersion())
	}
	return s.trust.Verify(v)
}

// Fetch implements rpc.Rollout for other entry hosts.
func (s *Syncer) Fetch(_ context.Context, r *rpc.FetchRequest) (*rpc.FetchReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &rpc.FetchReply{
		Revision:  s.set.Revision(),
		Confirmed: s.confirmed,
	}
	if s.confirmed {
		reply.ConfirmedAgeMs = uint32(s.svc.Now().Sub(s.confirmedAt).Milliseconds())
	}
	if s.set.Revision() <= r.GetKnownRevision() {
		return reply, nil
	}
	reply.Set = &rpc.BundleSet{
		Revision: s.set.Revision(),
	}
	for _, v := range s.versions {
		if v.GetRevision() > r.GetKnownRevision() {
			reply.Set.Bundles = append(reply.Set.Bundles, v)
		}
	}
	return reply, nil
}
