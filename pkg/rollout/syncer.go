// Package rollout keeps the set of bundles that is active on an entry host. It fetches newer
// sets from control replicas or from other entry hosts, verifies every signature itself, and
// never goes back to an older revision.
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
	// longPollWait is how long a control replica holds a call open while there is nothing
	// newer. It bounds the age of a confirmation when nothing changes.
	longPollWait = 4 * time.Second
	fetchTimeout = longPollWait + 2*time.Second
	retryPause   = 250 * time.Millisecond
	peerTimeout  = time.Second
	// maxInitialConfirmationAge is how old the first confirmation that this host accepts after
	// its start may be. The host may have served a newer set before it was restarted, and
	// lost it if it has no disk; an older confirmation may be about an older set than that.
	maxInitialConfirmationAge = 10 * time.Second
)

// Syncer holds the active set of this host, and fetches newer ones.
//
// Invariants: the revision never falls; a set is installed completely or not at all;
// confirmedAt is a time at which the installed revision was the newest that a majority of the
// control replicas had accepted.
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
	nextControl int // index of the control replica to ask next
}

// New returns a syncer without a set. peers returns the addresses of other entry hosts.
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

// Set returns the active set.
func (s *Syncer) Set() *bundle.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Changed returns a channel that is closed once a newer set is active.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed reports whether the set was confirmed to be the newest since this process started,
// and how long ago it last was.
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

// fetchControl asks one control replica, and reports whether it confirmed the set.
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

// fetchPeers asks the other entry hosts in turn, so that sets are distributed even if no
// control replica can be reached.
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

// apply installs the set in a reply, and records its confirmation. sent is when the call was
// made: the reply describes some moment after it.
func (s *Syncer) apply(reply *rpc.FetchReply, sent time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := reply.GetSet(); set != nil && set.GetRevision() > s.set.Revision() {
		if err := s.install(set); err != nil {
			s.metrics.Counter("rollout_refused").Inc(1)
			logflags.Error(logflags.Rollout, err, "bundle set rejected", "revision", set.GetRevision())
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

// install makes a newer set active: the versions in the set replace the held ones of the same
// bundles, and the other held versions stay. The caller must hold mu.
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
	logflags.Info(logflags.Rollout, "bundle set active", "revision", set.GetRevision())
	return nil
}

// verify checks a version by itself: its digest, its signatures, and that it isn't older than
// the one held.
func (s *Syncer) verify(v *rpc.BundleVersion) error {
	if bundle.Digest(v.GetContent()) != v.GetDigest() {
		return errors.Errorf("bundle %q: content doesn't match its digest", v.GetName())
	}
	if held := s.versions[v.GetName()]; held != nil && v.GetVersion() < held.GetVersion() {
		return errors.Errorf("bundle %q: version %d is older than version %d, which is active", v.GetName(), v.GetVersion(), held.GetVersion())
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
