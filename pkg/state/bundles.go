package state

import (
	"fmt"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// maxVersionsWithContent is how many versions of a bundle keep their content.
// Older versions keep only digests and signatures, and versions beyond
// maxVersions are dropped, so that the size of the state is bounded.
const (
	maxVersionsWithContent = 100
	maxVersions            = 1000
)

// submit accepts or refuses a version. Signatures are checked before the version
// is proposed, since the settings that name the signers are not replicated.
func (m *Machine) submit(v *rpc.BundleVersion) *rpc.SubmitReply {
	chain := m.chains[v.GetName()]
	if old := versionAt(chain, v.GetVersion()); old != nil {
		return m.answerResubmission(v, old, chain)
	}
	if refused := m.checkParent(v, chain); refused != nil {
		return refused
	}
	b, err := bundle.Parse(v.GetName(), v.GetContent())
	if err != nil {
		return m.refuse(failure.BundleInvalid, nil, "%v", err)
	}
	if b.Name != v.GetName() || b.Version != v.GetVersion() || b.Parent != v.GetParent() {
		return m.refuse(failure.BundleInvalid, nil, "the text names another bundle, version or parent than the request")
	}
	set, err := m.buildSet(m.revision+1, b)
	if err != nil {
		return m.refuse(failure.BundleInvalid, nil, "%v", err)
	}
	v.Revision = m.revision + 1
	v.AcceptedUnixMs = m.clock
	m.chains[v.GetName()] = trimVersions(append(chain, v))
	m.activate(v.GetRevision(), set)
	return &rpc.SubmitReply{
		Standing: v,
		Revision: v.GetRevision(),
	}
}

// answerResubmission answers the submission of a version number that was
// accepted before: with the same reply as the first time if the content is the
// same, and otherwise with a refusal that contains the accepted version.
func (m *Machine) answerResubmission(v, old *rpc.BundleVersion, chain []*rpc.BundleVersion) *rpc.SubmitReply {
	if old.GetDigest() == v.GetDigest() {
		return &rpc.SubmitReply{
			Standing: old,
			Revision: old.GetRevision(),
		}
	}
	head := chain[len(chain)-1]
	return m.refuse(failure.VersionConflict, old,
		"version %d of bundle %q stands with digest %.12s; rebase: set version = %d and parent = %q",
		old.GetVersion(), old.GetName(), old.GetDigest(), head.GetVersion()+1, head.GetDigest())
}

func (m *Machine) checkParent(v *rpc.BundleVersion, chain []*rpc.BundleVersion) *rpc.SubmitReply {
	next := uint64(1)
	digest := ""
	var head *rpc.BundleVersion
	if len(chain) > 0 {
		head = chain[len(chain)-1]
		next = head.GetVersion() + 1
		digest = head.GetDigest()
	}
	if v.GetVersion() == next && v.GetParent() == digest {
		return nil
	}
	return m.refuse(failure.ParentConflict, head,
		"the next version of bundle %q is %d with parent %q; rebase on it", v.GetName(), next, digest)
}

func (m *Machine) refuse(k failure.Kind, standing *rpc.BundleVersion, format string, args ...any) *rpc.SubmitReply {
	return &rpc.SubmitReply{
		Failure:  k.String(),
		Detail:   fmt.Sprintf(format, args...),
		Standing: standing,
		Revision: m.revision,
	}
}

// buildSet returns the set of the latest versions of all bundles, with b, if not
// nil, in place of the latest version of its bundle.
func (m *Machine) buildSet(revision uint64, b *bundle.Bundle) (*bundle.Set, error) {
	var all []*bundle.Bundle
	if b != nil {
		all = append(all, b)
	}
	for _, name := range m.chainNames() {
		if b != nil && name == b.Name {
			continue
		}
		chain := m.chains[name]
		parsed, err := m.parsedBundle(chain[len(chain)-1])
		if err != nil {
			return nil, errors.Wrap(err, "bundle "+name)
		}
		all = append(all, parsed)
	}
	return bundle.NewSet(revision, all)
}

// parsedBundle returns the bundle of v from the active set, or parses it if the
// set does not contain it.
func (m *Machine) parsedBundle(v *rpc.BundleVersion) (*bundle.Bundle, error) {
	for _, b := range m.set.Bundles() {
		if b.Name == v.GetName() && b.Version == v.GetVersion() {
			return b, nil
		}
	}
	return bundle.Parse(v.GetName(), v.GetContent())
}

func (m *Machine) activate(revision uint64, set *bundle.Set) {
	m.revision = revision
	m.set = set
	msg := &rpc.BundleSet{
		Revision: revision,
	}
	for _, name := range m.chainNames() {
		chain := m.chains[name]
		msg.Bundles = append(msg.Bundles, chain[len(chain)-1])
	}
	m.bundleSetProto = msg
	m.notify()
}

// versionAt returns the version with that number, or nil if the chain does not
// hold it.
func versionAt(chain []*rpc.BundleVersion, version uint64) *rpc.BundleVersion {
	if len(chain) == 0 || version < chain[0].GetVersion() {
		return nil
	}
	i := version - chain[0].GetVersion()
	if i >= uint64(len(chain)) {
		return nil
	}
	return chain[i]
}

func trimVersions(chain []*rpc.BundleVersion) []*rpc.BundleVersion {
	if len(chain) > maxVersions {
		chain = append([]*rpc.BundleVersion(nil), chain[1:]...)
	}
	if len(chain) <= maxVersionsWithContent {
		return chain
	}
	i := len(chain) - maxVersionsWithContent - 1
	chain[i] = withoutContent(chain[i])
	return chain
}

func withoutContent(v *rpc.BundleVersion) *rpc.BundleVersion {
	return &rpc.BundleVersion{
		Name:           v.GetName(),
		Version:        v.GetVersion(),
		Parent:         v.GetParent(),
		Digest:         v.GetDigest(),
		Signatures:     v.GetSignatures(),
		Revision:       v.GetRevision(),
		AcceptedUnixMs: v.GetAcceptedUnixMs(),
	}
}

// notify wakes the goroutines that wait for a change.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
