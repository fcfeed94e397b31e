package store_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/fake/fakedisk"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/store"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

func entry(index, term uint64) *rpc.LogEntry {
	return &rpc.LogEntry{
		Index: index,
		Term:  term,
		Data:  []byte{byte(index), byte(term)},
	}
}

// withStore calls f with a fake disk and a store on it that holds n entries.
func withStore(n uint64, f func(d *fakedisk.Disk, s *store.Store)) {
	d := fakedisk.New(rand.New(rand.NewPCG(1, 1)))
	s, err := store.Open(d)
	Expect(err).NotTo(HaveOccurred())
	for i := uint64(1); i <= n; i++ {
		Expect(s.Save(&rpc.HardState{Term: 1, Commit: i - 1}, []*rpc.LogEntry{entry(i, 1)})).To(Succeed())
	}
	f(d, s)
}

func logName(d *fakedisk.Disk) string {
	names, err := d.Names()
	Expect(err).NotTo(HaveOccurred())
	return names[0]
}

func snapshot(index uint64) *rpc.SnapshotFile {
	return &rpc.SnapshotFile{
		Meta: &rpc.SnapshotMeta{
			Index: index,
			Term:  1,
		},
		State: []byte("state"),
	}
}

var _ = Describe("Store", func() {
	It("loads what was saved, and replaces conflicting entries", func() {
		withStore(5, func(d *fakedisk.Disk, s *store.Store) {
			Expect(s.Save(&rpc.HardState{Term: 2, Vote: 3}, []*rpc.LogEntry{entry(4, 2)})).To(Succeed())
			again, err := store.Open(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.HardState().GetVote()).To(Equal(uint64(3)))
			Expect(again.Entries()).To(HaveLen(4))
			Expect(again.Entries()[3].GetTerm()).To(Equal(uint64(2)))
		})
	})

	It("keeps the entries after a snapshot and drops the old files", func() {
		withStore(5, func(d *fakedisk.Disk, s *store.Store) {
			Expect(s.SaveSnapshot(snapshot(3))).To(Succeed())
			again, err := store.Open(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Snapshot().GetMeta().GetIndex()).To(Equal(uint64(3)))
			Expect(again.Entries()).To(HaveLen(2))
			names, _ := d.Names()
			Expect(names).To(HaveLen(2))
		})
	})

	It("keeps what it acknowledged after a crash at any operation", func() {
		for crash := 1; crash < 60; crash++ {
			d := fakedisk.New(rand.New(rand.NewPCG(uint64(crash), 2)))
			acked := uint64(0)
			d.CrashIn(crash)
			if s, err := store.Open(d); err == nil {
				for i := uint64(1); i <= 12; i++ {
					if s.Save(&rpc.HardState{Term: 1, Commit: i - 1}, []*rpc.LogEntry{entry(i, 1)}) != nil {
						break
					}
					acked = i
					if i == 6 && s.SaveSnapshot(snapshot(5)) != nil {
						break
					}
				}
			}
			d.Crash()
			d.Restart()
			again, err := store.Open(d)
			Expect(err).NotTo(HaveOccurred(), "crash at %d", crash)
			last := again.Snapshot().GetMeta().GetIndex() + uint64(len(again.Entries()))
			Expect(last).To(BeNumerically(">=", acked), "crash at %d", crash)
		}
	})

	It("recovers from a crash between storing an installed snapshot and its log file", func() {
		for crash := 1; crash < 20; crash++ {
			d := fakedisk.New(rand.New(rand.NewPCG(uint64(crash), 3)))
			s, err := store.Open(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Save(&rpc.HardState{Term: 1, Commit: 1}, []*rpc.LogEntry{entry(1, 1)})).To(Succeed())
			d.CrashIn(crash)
			_ = s.SaveSnapshot(snapshot(5)) // may fail by the crash
			d.Crash()
			d.Restart()
			s, err = store.Open(d)
			Expect(err).NotTo(HaveOccurred())
			base := s.Snapshot().GetMeta().GetIndex() + uint64(len(s.Entries()))
			Expect(s.Save(&rpc.HardState{Term: 1, Commit: base + 1}, []*rpc.LogEntry{entry(base+1, 1)})).To(Succeed())
			again, err := store.Open(d)
			Expect(err).NotTo(HaveOccurred(), "crash at %d", crash)
			Expect(again.HardState().GetCommit()).To(Equal(base + 1))
		}
	})

	It("removes a truncated last record and reports its size", func() {
		withStore(5, func(d *fakedisk.Disk, _ *store.Store) {
			name := logName(d)
			content, _ := d.Read(name)
			d.SetData(name, content[:len(content)-3])
			again, err := store.Open(d)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Entries()).To(HaveLen(4))
			Expect(again.TruncatedBytes()).To(BeNumerically(">", 0))
		})
	})

	It("reports corruption, not truncation, for any flipped bit", func() {
		withStore(5, func(d *fakedisk.Disk, _ *store.Store) {
			name := logName(d)
			content, _ := d.Read(name)
			for i := range content {
				d.SetData(name, append([]byte(nil), content...))
				d.Flip(name, i)
				_, err := store.Open(d)
				Expect(err).To(HaveOccurred(), "bit at byte %d", i)
			}
		})
	})

	It("refuses a file of a newer release", func() {
		withStore(1, func(d *fakedisk.Disk, _ *store.Store) {
			name := logName(d)
			content, _ := d.Read(name)
			content[4] = 9
			d.SetData(name, content)
			_, err := store.Open(d)
			var newer *store.FormatError
			Expect(err).To(BeAssignableToTypeOf(newer))
			Expect(err.Error()).To(ContainSubstring("format 9"))
		})
	})

	It("refuses all writes after a failed sync or write", func() {
		cases := []struct {
			name string
			fail func(d *fakedisk.Disk, on bool)
		}{
			{name: "sync", fail: (*fakedisk.Disk).SetBadSync},
			{name: "full", fail: (*fakedisk.Disk).SetFull},
		}
		for _, c := range cases {
			withStore(2, func(d *fakedisk.Disk, s *store.Store) {
				c.fail(d, true)
				Expect(s.Save(nil, []*rpc.LogEntry{entry(3, 1)})).NotTo(Succeed(), c.name)
				c.fail(d, false)
				Expect(s.Save(nil, []*rpc.LogEntry{entry(3, 1)})).To(MatchError(ContainSubstring("permanently")), c.name)
			})
		}
	})

	It("refuses a log from which committed entries are missing", func() {
		withStore(3, func(d *fakedisk.Disk, s *store.Store) {
			Expect(s.Save(&rpc.HardState{Term: 1, Commit: 9}, nil)).To(Succeed())
			_, err := store.Open(d)
			Expect(err).To(MatchError(ContainSubstring("committed entries are missing")))
		})
	})
})

var _ = Describe("Folder", func() {
	It("is locked against a second process and keeps its data", func() {
		path := filepath.Join(GinkgoT().TempDir(), "data")
		f, err := store.OpenFolder(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.OpenFolder(path)
		var locked *store.LockedError
		Expect(err).To(BeAssignableToTypeOf(locked))
		s, err := store.Open(f)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Save(&rpc.HardState{Term: 7}, []*rpc.LogEntry{entry(1, 7)})).To(Succeed())
		Expect(s.Close()).To(Succeed())
		Expect(f.Close()).To(Succeed())
		f, err = store.OpenFolder(path)
		Expect(err).NotTo(HaveOccurred())
		again, err := store.Open(f)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.HardState().GetTerm()).To(Equal(uint64(7)))
		Expect(f.Close()).To(Succeed())
	})

	It("reports why the folder cannot be created", func() {
		file := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
		_, err := store.OpenFolder(filepath.Join(file, "data"))
		Expect(err).To(MatchError(ContainSubstring("make data folder")))
	})
})
