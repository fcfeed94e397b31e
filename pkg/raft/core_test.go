package raft_test

import (
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRaft(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "raft")
}

const electionTicks = 10

// fixedSnapshot always returns the same snapshot.
type fixedSnapshot struct {
	meta  *rpc.SnapshotMeta
	state []byte
}

func (f fixedSnapshot) LatestSnapshot() (*rpc.SnapshotMeta, []byte) {
	return f.meta, f.state
}

func threeMembers() *rpc.Members { return membersUpTo(3) }

// membersUpTo returns the replicas 1 to n.
func membersUpTo(n uint64) *rpc.Members {
	m := &rpc.Members{}
	for id := uint64(1); id <= n; id++ {
		m.List = append(m.List, &rpc.Member{
			Id: id,
		})
	}
	return m
}

// newCore returns replica 1 of three. Its log holds the members entry, followed
// by one entry for each of the given terms.
func newCore(snap fixedSnapshot, term uint64, terms ...uint64) *raft.Core {
	d := raft.Bootstrap(threeMembers())
	d.HardState.Term = term
	for i, t := range terms {
		d.Entries = append(d.Entries, &rpc.LogEntry{
			Index: uint64(i + 2),
			Term:  t,
			Data:  []byte{byte(t)},
		})
	}
	return raft.New(raft.Config{
		ID:             1,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: 2,
		MaxAppendBytes: 1,
		ChunkBytes:     4,
		Rand:           rand.New(rand.NewPCG(1, 1)),
		Snapshots:      snap,
	}, d)
}

// persist takes the Ready, reports its entries as persisted and returns it.
func persist(c *raft.Core) raft.Ready {
	rd := c.Ready()
	if n := len(rd.Entries); n > 0 {
		c.Persisted(rd.Entries[n-1].GetIndex(), rd.Entries[n-1].GetTerm())
	}
	return rd
}

// elect makes the replica the leader of the next term with the vote of replica
// 2.
func elect(c *raft.Core) {
	for c.Role() != raft.PreCandidate {
		c.Tick()
	}
	persist(c)
	c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_PRE_VOTE_REPLY, From: 2, Term: c.Term() + 1})
	persist(c)
	c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_VOTE_REPLY, From: 2, Term: c.Term()})
	persist(c)
	Expect(c.Role()).To(Equal(raft.Leader))
}

// ack delivers follower 2's acknowledgement of entries up to index and of a
// heartbeat round.
func ack(c *raft.Core, index, round uint64) raft.Ready {
	c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND_REPLY, From: 2, Term: c.Term(), LogIndex: index, Round: round})
	return persist(c)
}

var _ = Describe("Core", func() {
	It("commits an entry of an earlier term only with one of the current term", func() {
		c := newCore(fixedSnapshot{}, 3, 2)
		elect(c)
		ack(c, 2, 0)
		Expect(c.Commit()).To(Equal(uint64(1)), "entry 2 is on a majority, but may still be replaced")
		ack(c, 3, 0)
		Expect(c.Commit()).To(Equal(uint64(3)))
	})

	It("confirms a read only by a heartbeat round that started after it", func() {
		c := newCore(fixedSnapshot{}, 1)
		elect(c)
		ack(c, 2, c.Round())
		Expect(c.ReadIndex(7)).To(Succeed())
		Expect(persist(c).Reads).To(BeEmpty())
		old := c.Round()
		c.HeartbeatForReads()
		Expect(ack(c, 2, old).Reads).To(BeEmpty(), "an answer to an earlier round must not confirm the read")
		Expect(ack(c, 2, c.Round()).Reads).To(HaveLen(1))
	})

	It("confirms a read only once an entry of the current term is committed", func() {
		c := newCore(fixedSnapshot{}, 3, 2)
		elect(c)
		Expect(c.ReadIndex(7)).To(Succeed())
		c.HeartbeatForReads()
		Expect(ack(c, 2, c.Round()).Reads).To(BeEmpty(), "the new leader may not know the latest commit index yet")
		Expect(ack(c, 3, c.Round()).Reads).To(HaveLen(1))
	})

	It("accepts one membership change at a time", func() {
		c := newCore(fixedSnapshot{}, 1)
		elect(c)
		ack(c, 2, 0)
		four := threeMembers()
		four.List = append(four.List, &rpc.Member{Id: 4})
		_, _, err := c.ProposeMembers(four)
		Expect(err).NotTo(HaveOccurred())
		five := threeMembers()
		five.List = append(five.List, &rpc.Member{Id: 4}, &rpc.Member{Id: 5})
		_, _, err = c.ProposeMembers(five)
		Expect(err).To(MatchError(raft.ErrMembersPending))
		_, _, err = newLeader().ProposeMembers(five)
		Expect(err).To(HaveOccurred(), "a change must not add two replicas")
	})

	// Guards against a new replica that counts for a majority before it holds the log.
	It("sends the log to a learner, which counts neither for commits nor for reads", func() {
		c := newCore(fixedSnapshot{}, 1)
		c.SetLearners([]uint64{4})
		elect(c)
		persist(c)
		learner := func(index uint64) raft.Ready {
			c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND_REPLY, From: 4, Term: c.Term(), LogIndex: index, Round: c.Round()})
			return persist(c)
		}
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND_REPLY, From: 4, Term: c.Term(), Reject: true, LogIndex: 1})
		Expect(lastTo(persist(c), 4).GetEntries()).NotTo(BeEmpty())
		Expect(c.ReadIndex(7)).To(Succeed())
		c.HeartbeatForReads()
		Expect(learner(c.LastIndex()).Reads).To(BeEmpty())
		Expect(c.Commit()).To(Equal(uint64(1)))
		Expect(c.QuorumRound()).To(BeZero())
		Expect(c.Match(4)).To(Equal(c.LastIndex()))
		Expect(ack(c, 2, c.Round()).Reads).To(HaveLen(1))
	})

	It("keeps what is known of a learner that becomes a member", func() {
		c := newCore(fixedSnapshot{}, 1)
		c.SetLearners([]uint64{4})
		elect(c)
		ack(c, 2, 0)
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND_REPLY, From: 4, Term: c.Term(), LogIndex: 2, Round: c.Round()})
		_, _, err := c.ProposeMembers(membersUpTo(4))
		Expect(err).NotTo(HaveOccurred())
		c.SetLearners(nil)
		Expect(c.Match(4)).To(Equal(uint64(2)))
		persist(c)
		ack(c, 3, 0)
		Expect(c.Commit()).To(Equal(uint64(2)), "three of the four members must hold the change")
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND_REPLY, From: 4, Term: c.Term(), LogIndex: 3})
		Expect(c.Commit()).To(Equal(uint64(3)))
	})

	// Guards against elections that are split among all followers of a lost leader, whose votes
	// a majority needs.
	It("lets the followers of a lost leader campaign one after the other", func() {
		for _, n := range []uint64{3, 5} {
			for seed := range uint64(200) {
				var began []int
				for id := uint64(1); id < n; id++ {
					c := raft.New(raft.Config{
						ID:             id,
						ElectionTicks:  electionTicks,
						HeartbeatTicks: 2,
						MaxAppendBytes: 1,
						ChunkBytes:     4,
						Rand:           rand.New(rand.NewPCG(seed, id)),
						Snapshots:      fixedSnapshot{},
					}, raft.Bootstrap(membersUpTo(n)))
					c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND, From: n, Term: 1, LogIndex: 1, LogTerm: 1})
					ticks := 0
					for c.Role() != raft.PreCandidate {
						c.Tick()
						ticks++
					}
					began = append(began, ticks)
				}
				sort.Ints(began)
				Expect(began[0]).To(BeNumerically(">", electionTicks), "later than the promise to the leader")
				Expect(began[len(began)-1]).To(BeNumerically("<", 2*electionTicks))
				for i := range began[1:] {
					Expect(began[i+1]-began[i]).To(BeNumerically(">=", 2), "%d members, seed %d: %v", n, seed, began)
				}
			}
		}
	})

	It("refuses votes while a leader's lease may be valid", func() {
		c := newCore(fixedSnapshot{}, 1)
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND, From: 2, Term: 1, LogIndex: 1, LogTerm: 1})
		persist(c)
		for range electionTicks - 1 {
			c.Tick()
		}
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_VOTE, From: 3, Term: 2, LogIndex: 9, LogTerm: 1})
		Expect(persist(c).Messages).To(BeEmpty())
		Expect(c.Term()).To(Equal(uint64(1)))
		c.Tick()
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_VOTE, From: 3, Term: 2, LogIndex: 9, LogTerm: 1})
		Expect(persist(c).Messages).To(HaveLen(1))
	})

	It("refuses its vote to a candidate whose log is behind its own", func() {
		c := newCore(fixedSnapshot{}, 1, 1, 1)
		for range electionTicks - 1 {
			c.Tick()
		}
		c.Tick()
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_VOTE, From: 3, Term: 2, LogIndex: 2, LogTerm: 1})
		Expect(persist(c).Messages[0].GetReject()).To(BeTrue())
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_VOTE, From: 2, Term: 2, LogIndex: 3, LogTerm: 1})
		Expect(persist(c).Messages[0].GetReject()).To(BeFalse())
	})

	It("refuses votes right after a start, since a leader's lease may rely on it", func() {
		c := newCore(fixedSnapshot{}, 1)
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_VOTE, From: 3, Term: 2, LogIndex: 9, LogTerm: 1})
		Expect(persist(c).Messages).To(BeEmpty())
	})

	It("assembles snapshot chunks in order and ignores duplicates", func() {
		c := newCore(fixedSnapshot{}, 1)
		chunk := func(offset int, text string, last bool) {
			c.Step(&rpc.RaftMessage{
				Kind: rpc.RaftKind_RAFT_SNAPSHOT, From: 2, Term: 1, ChunkOffset: uint64(offset), Chunk: []byte(text), ChunkLast: last,
				Snapshot: &rpc.SnapshotMeta{Index: 9, Term: 1, Members: threeMembers()},
			})
		}
		chunk(0, "abcd", false)
		chunk(8, "ij", true)
		chunk(0, "abcd", false)
		chunk(4, "efgh", false)
		chunk(4, "efgh", false)
		Expect(c.Ready().Snapshot).To(BeNil())
		chunk(8, "ij", true)
		Expect(string(c.Ready().Snapshot.GetState())).To(Equal("abcdefghij"))
	})

	It("sends the snapshot in chunks to a follower that needs compacted entries", func() {
		c := newCore(fixedSnapshot{meta: &rpc.SnapshotMeta{Index: 3, Term: 2}, state: []byte("abcdefghij")}, 3, 2, 2)
		elect(c)
		ack(c, 4, 0)
		c.Compact(3)
		c.Step(&rpc.RaftMessage{Kind: rpc.RaftKind_RAFT_APPEND_REPLY, From: 3, Term: c.Term(), Reject: true, LogIndex: 3, Hint: 1})
		got := ""
		for range 3 {
			m := lastTo(c.Ready(), 3)
			Expect(m.GetKind()).To(Equal(rpc.RaftKind_RAFT_SNAPSHOT))
			got += string(m.GetChunk())
			c.Step(&rpc.RaftMessage{
				Kind: rpc.RaftKind_RAFT_SNAPSHOT_REPLY, From: 3, Term: c.Term(), Snapshot: m.GetSnapshot(), ChunkOffset: uint64(len(got)),
			})
		}
		Expect(got).To(Equal("abcdefghij"))
	})
})

func newLeader() *raft.Core {
	c := newCore(fixedSnapshot{}, 1)
	elect(c)
	ack(c, 2, 0)
	return c
}

func lastTo(rd raft.Ready, id uint64) *rpc.RaftMessage {
	var latest *rpc.RaftMessage
	for _, m := range rd.Early {
		if m.GetTo() == id {
			latest = m
		}
	}
	return latest
}
