// Package state implements the replicated state machine: the chains of bundle
// versions, the claims of requests that must not be executed more than once, the
// full configuration, the quarantined requests, and the endpoints that left.
// Applying the same commands in the same order gives the same state on every
// replica: the state machine reads no clock, and takes the time from the
// commands.
package state

import (
	"sort"
	"sync"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// Machine is the state machine. It is safe for concurrent use; only the
// goroutine of the replica calls Apply.
//
// Invariants: revision increases by one with every accepted version and never
// decreases; the versions in a chain are consecutive, and each names the digest
// of its parent; the clock never decreases.
type Machine struct {
	mu                sync.Mutex
	revision          uint64
	chains            map[string][]*rpc.BundleVersion
	set               *bundle.Set
	bundleSetProto    *rpc.BundleSet
	claims            *claims
	document          *rpc.Document
	quarantine        *quarantine
	quarantineVersion uint64 // increases with every change
	crashEvidence     *rpc.CrashEvidence
	departures        *departures
	departuresVersion uint64 // increases with every change
	clock             int64
	changed           chan struct{} // closed when the bundles, the document, the quarantine or the departures change
}

// New returns an empty state machine that keeps claims for windowMS
// milliseconds.
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
	m.crashEvidence = nil
	m.quarantineVersion++
	m.departures = newDepartures(nil)
	m.departuresVersion++
	m.claims.reset()
}

// Apply applies an encoded rpc.Command and returns the encoded rpc.CommandReply.
// An entry without data changes nothing.
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
	case *rpc.Command_CrashEvidence:
		m.crashEvidence = k.CrashEvidence
	case *rpc.Command_Departures:
		m.recordDepartures(k.Departures)
	}
	return proto.Marshal(reply)
}

// Revision returns the revision of the active bundle set.
func (m *Machine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Changed returns a channel that is closed at the next change of the bundles,
// the document, the quarantine or the departures.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// BundleSetProto returns the active bundle set as a protobuf message. The caller must not
// modify it.
func (m *Machine) BundleSetProto() *rpc.BundleSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bundleSetProto
}

// BundleSet returns the active bundle set.
func (m *Machine) BundleSet() *bundle.Set {
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

// ClaimCount returns the number of claims that are kept.
func (m *Machine) ClaimCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims.len()
}

// ClaimRecord returns the record of a claim, or nil if there is none.
func (m *Machine) ClaimRecord(account, key string) *rpc.ClaimRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims.get(account, key)
}

// Snapshot returns the full state, encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &rpc.StateSnapshot{
		Revision:    m.revision,
		Claims:      m.claims.records(),
		ClockUnixMs: m.clock,
		Document:    m.document,
		Quarantine:  m.quarantine.sorted(),

		CrashEvidence: m.crashEvidence,
		Departures:    m.departures.list,
	}
	for _, name := range m.chainNames() {
		s.Chains = append(s.Chains, &rpc.BundleChain{
			Name:     name,
			Versions: m.chains[name],
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore replaces the state by that of an encoded snapshot.
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
	m.crashEvidence = s.GetCrashEvidence()
	m.departures = newDepartures(s.GetDepartures())
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
