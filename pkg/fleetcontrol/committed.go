package fleetcontrol

import (
	"context"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// maxDirectDocument is the size in bytes up to which the leader sends a host the
// configuration itself. The host gets a larger one from another replica, which spreads
// the traffic over the replicas' links. It is large if there are many routes and the
// host holds no version to patch: 18 KB for each of 300 hosts would fill a link of 100
// Mbit/s for 0.4 s, and delay the heartbeats of the log.
const maxDirectDocument = 4 << 10

// recordCommitted records the configuration that this replica has applied, to make
// patches from it later, and the departures. Every replica does so, since any may lead next.
func (s *Server) recordCommitted() {
	_, machine := s.replica.current()
	if machine == nil {
		return
	}
	s.recordDocument(machine.Document())
	s.applyDepartures(machine)
}

func (s *Server) recordDocument(doc *rpc.Document) {
	if doc == nil {
		return
	}
	if err := s.history.Add(doc.GetVersion(), doc.GetContent()); err != nil {
		s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration that stands can't be unpacked"), eventlog.Err(err))
	}
}

// patchFor returns the patch from the version that a host holds to doc; nil if that
// version is no longer in the history, the full document isn't larger, or the patch can't
// be made.
func (s *Server) patchFor(doc *rpc.Document, held uint64) *rpc.DocumentPatch {
	s.recordDocument(doc)
	patch, digest, err := s.history.Patch(held, doc.GetVersion())
	if err != nil {
		s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration can't be patched"), eventlog.Err(err))
		return nil
	}
	if patch == nil || len(patch) >= len(doc.GetContent()) {
		return nil
	}
	return &rpc.DocumentPatch{
		Version: doc.GetVersion(),
		Base:    held,
		Patch:   patch,
		Digest:  digest,
	}
}

// addDocument adds a newer configuration to the reply, as a patch if possible. A large
// one is left out if the host offers to get it from another replica, and there is one.
func (s *Server) addDocument(q *rpc.SyncRequest, reply *rpc.SyncReply, doc *rpc.Document) {
	patch := s.patchFor(doc, q.GetDocumentVersion())
	size := len(doc.GetContent())
	if patch != nil {
		size = len(patch.GetPatch())
	}
	if q.GetAskOthers() && size > maxDirectDocument && len(reply.GetReplicas()) > 1 {
		return
	}
	reply.Patch = patch
	if patch == nil {
		reply.Document = doc
	}
}

// Standing implements rpc.Fleet. It returns the configuration that this replica has
// applied, if it is newer than the one that the host holds. It was committed, so the host
// may activate it; but only the leader knows whether it is the newest.
func (s *Server) Standing(_ context.Context, q *rpc.StandingRequest) (*rpc.StandingReply, error) {
	_, machine := s.replica.current()
	if machine == nil {
		return nil, errNotOpen
	}
	doc := machine.Document()
	if doc == nil || doc.GetVersion() <= q.GetHeld() {
		return &rpc.StandingReply{}, nil
	}
	if patch := s.patchFor(doc, q.GetHeld()); patch != nil {
		return &rpc.StandingReply{
			Patch: patch,
		}, nil
	}
	return &rpc.StandingReply{
		Document: doc,
	}, nil
}
