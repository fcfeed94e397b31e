package replica

import (
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// advance processes Readys until there is nothing left to do.
func (n *Node) advance() error {
	for {
		n.core.HeartbeatForReads()
		n.recordRoundStart()
		n.updateTransport()
		rd := n.core.Ready()
		if rd.Empty() {
			n.publishStatus()
			return nil
		}
		if err := n.processReady(rd); err != nil {
			logflags.Error(logflags.Storage, err, "stopping replica after an error")
			return err
		}
	}
}

func (n *Node) processReady(rd raft.Ready) error {
	n.cfg.Transport.Send(rd.Early)
	if rd.Snapshot != nil {
		if err := n.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.HardState != nil || len(rd.Entries) > 0 {
		if err := n.cfg.Store.Save(rd.HardState, rd.Entries); err != nil {
			return err
		}
	}
	if k := len(rd.Entries); k > 0 {
		n.core.Persisted(rd.Entries[k-1].GetIndex(), rd.Entries[k-1].GetTerm())
	}
	n.cfg.Transport.Send(rd.Messages)
	if err := n.apply(rd.Committed); err != nil {
		return err
	}
	n.answerReads(rd.Reads)
	return n.maybeSnapshot()
}

func (n *Node) installSnapshot(file *rpc.SnapshotFile) error {
	if err := n.cfg.Store.SaveSnapshot(file); err != nil {
		return err
	}
	n.applied = file.GetMeta().GetIndex()
	n.failPending(ErrLeadershipLost)
	logflags.Info(logflags.Raft, "installed snapshot", "index", n.applied)
	return n.cfg.StateMachine.Restore(file.GetState())
}

func (n *Node) apply(entries []*rpc.LogEntry) error {
	for _, e := range entries {
		reply, err := n.cfg.StateMachine.Apply(e.GetData())
		if err != nil {
			return err
		}
		n.applied = e.GetIndex()
		if e.GetMembers() != nil {
			logflags.Info(logflags.Raft, "replicas changed", "members", e.GetMembers().String())
		}
		n.answerProposal(e, reply)
	}
	return nil
}

func (n *Node) answerProposal(e *rpc.LogEntry, reply []byte) {
	p, ok := n.proposals[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.proposals, e.GetIndex())
	if p.term != e.GetTerm() {
		p.reply <- result{
			err: ErrLeadershipLost,
		}
		return
	}
	p.reply <- result{
		data: reply,
	}
}

func (n *Node) maybeSnapshot() error {
	if n.cfg.Store.LogBytes() < snapshotThreshold || n.applied <= n.cfg.Store.Snapshot().GetMeta().GetIndex() {
		return nil
	}
	return n.takeSnapshot()
}

// takeSnapshot stores a snapshot of the applied state and compacts the log.
func (n *Node) takeSnapshot() error {
	state, err := n.cfg.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	term, ok := n.core.TermAt(n.applied)
	if !ok {
		return nil
	}
	err = n.cfg.Store.SaveSnapshot(&rpc.SnapshotFile{
		Meta: &rpc.SnapshotMeta{
			Index:   n.applied,
			Term:    term,
			Members: n.core.MembersAt(n.applied),
		},
		State: state,
	})
	if err != nil {
		return err
	}
	if n.applied > retainedEntries {
		n.core.Compact(n.applied - retainedEntries)
	}
	return nil
}

func (n *Node) failPending(err error) {
	for index, p := range n.proposals {
		delete(n.proposals, index)
		p.reply <- result{
			err: err,
		}
	}
	for id, reply := range n.reads {
		delete(n.reads, id)
		reply <- result{
			err: err,
		}
	}
}
