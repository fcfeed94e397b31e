// Package state is the replicated state machine: the chains of bundle
// versions, the claims of requests that must not be repeated, whole
// configurations, and the requests that are kept from endpoints. Applying the
// same commands in the same order gives the same state on every replica; it
// reads no clock, and takes windows from the times inside the commands.
package state

import (
	"sort"
	"sync"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// Machine is the state. It is safe for use by several goroutines; only the
// replica's own applies.
//
// Invariants: revision rises by one with every accepted version and never
// falls; a chain's versions are consecutive and each names the digest of the
// one before; the clock never falls.
type Machine struct {
	mu             sync.Mutex
	revision       uint64
	chains         map[string][]*rpc.BundleVersion
	set            *bundle.Set
	bundleSetProto *rpc.BundleSet
	claims         *claims
	document       *rpc.Document
	// quarantine is the requests that are kept from endpoints.
	quarantine        *quarantine
	quarantineVersion uint64 // rises with every change
	clock             int64
	changed           chan struct{} // closed when revision changes
}

// New returns an empty state that keeps claims for windowMS milliseconds.
func New(windowMS int64) *Machine {
	m := &Machine{
		claims:  newClaims(windowMS),
		changed: make(chan struct{}),
	}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.revision = 0
	m.chains = map[string][]*rpc.BundleVersion{}
	m.set, _ = bundle.NewSet(0, nil)
	m.bundleSetProto = &rpc.BundleSet{}
	m.clock = 0
	m.document = nil
	m.quarantine = newQuarantine(nil)
	m.quarantineVersion++
	m.claims.reset()
}

// Apply carries out one encoded rpc.Command and returns its encoded
// rpc.CommandReply. An entry without data changes nothing.
func (m *Machine) Apply(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	cmd := &rpc.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = max(m.clock, cmd.GetUnixMs())
	reply := &rpc.CommandReply{}
	switch k := cmd.GetKind().(type) {
	case *rpc.Command_Submit:
		reply.Kind = &rpc.CommandReply_Submit{
			Submit: m.submit(k.Submit),
		}
	case *rpc.Command_Claim:
		reply.Kind = &rpc.CommandReply_Claim{
			Claim: m.claims.claim(k.Claim, m.clock),
		}
	case *rpc.Command_Settle:
		reply.Kind = &rpc.CommandReply_Settle{
			Settle: m.claims.settle(k.Settle, m.clock),
		}
	case *rpc.Command_Document:
		reply.Kind = &rpc.CommandReply_Document{
			Document: m.replaceDocument(k.Document),
		}
	case *rpc.Command_Quarantine:
		m.changeQuarantine(k.Quarantine)
	}
	return proto.Marshal(reply)
}

// Revision returns the revision of the set in force.
func (m *Machine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Changed returns a channel that is closed once the revision has changed.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Wire returns the set in force as it is sent. The caller must not change it.
func (m *Machine) Wire() *rpc.BundleSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bundleSetProto
}

// Set returns the set in force.
func (m *Machine) Set() *bundle.Set {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set
}

// Chain returns the versions of the named bundle, oldest first.
func (m *Machine) Chain(name string) []*rpc.BundleVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*rpc.BundleVersion(nil), m.chains[name]...)
}

// Claims returns how many claims are remembered.
func (m *Machine) Claims() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims.len()
}

// Outcome returns what is known of a claim; nil if there is none.
func (m *Machine) Outcome(account, key string) *rpc.ClaimRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims.get(account, key)
}

// Snapshot returns the whole state, encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &rpc.StateSnapshot{
		Revision:    m.revision,
		Claims:      m.claims.records(),
		ClockUnixMs: m.clock,
		Document:    m.document,
		Quarantine:  m.quarantine.sorted(),
	}
	for _, name := range m.chainNames() {
		s.Chains = append(s.Chains, &rpc.BundleChain{
			Name:     name,
			Versions: m.chains[name],
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore replaces the state by an encoded snapshot.
func (m *Machine) Restore(data []byte) error {
	s := &rpc.StateSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	for _, c := range s.GetChains() {
		m.chains[c.GetName()] = c.GetVersions()
	}
	set, err := m.buildSet(s.GetRevision(), nil)
	if err != nil {
		return err
	}
	m.activate(s.GetRevision(), set)
	m.clock = s.GetClockUnixMs()
	m.document = s.GetDocument()
	m.quarantine = newQuarantine(s.GetQuarantine())
	m.claims.restore(s.GetClaims())
	return nil
}

func (m *Machine) chainNames() []string {
	names := make([]string, 0, len(m.chains))
	for name := range m.chains {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
