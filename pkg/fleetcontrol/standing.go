package fleetcontrol

import (
	"context"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// maxDirectDocument is how many bytes of a configuration the leader sends a host
// itself. A larger one, as when routes are many and the host holds nothing to
// patch, comes from another replica, so that it costs each link its share: 18 KB
// for each of 300 hosts take a link of 100 Mbit/s 0.4 s, in which the log's
// heartbeats would wait.
const maxDirectDocument = 4 << 10

// recordCommitted keeps the configuration that this replica has applied, to patch
// from it later; every replica does, since each may lead next.
func (s *Server) recordCommitted() {
	_, machine := s.replica.current()
	if machine == nil {
		return
	}
	s.recordDocument(machine.Document())
}

func (s *Server) recordDocument(doc *rpc.Document) {
	if doc == nil {
		return
	}
	if err := s.history.Note(doc.GetVersion(), doc.GetContent()); err != nil {
		s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration that stands can't be unpacked"), eventlog.Err(err))
	}
}

// patchFor returns what makes doc out of the version that a host holds; nil if
// that version isn't known here any more, or the whole is smaller.
func (s *Server) patchFor(doc *rpc.Document, held uint64) *rpc.DocumentPatch {
	s.recordDocument(doc)
	patch, digest, err := s.history.Since(held, doc.GetVersion())
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

// addDocument adds a newer configuration: its patch, or the whole, unless the
// host can take a large one elsewhere.
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

// Standing implements rpc.Fleet. What a replica has applied was committed, so a
// host may put it in force; only the leader can tell that it is the newest.
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
