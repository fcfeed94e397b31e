package state

import (
	"os"
	"path/filepath"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// commitToWrite names the commit whose fixture is written; docs/design/upgrades.md.
var commitToWrite = os.Getenv("WRITE_RELEASE")

// releaseCommands returns the commands after which the snapshots in testdata were written.
func releaseCommands() []*rpc.Command {
	return []*rpc.Command{
		{UnixMs: 1000, Kind: &rpc.Command_Document{Document: &rpc.Document{Version: 8, Content: []byte("configuration 8")}}},
		{UnixMs: 2000, Kind: &rpc.Command_Claim{Claim: &rpc.ClaimRequest{Account: "a", Key: "k", BodyDigest: "d", Entry: "h1", Nonce: 5, RunsMs: 9000}}},
		{UnixMs: 3000, Kind: &rpc.Command_Quarantine{Quarantine: &rpc.Quarantine{Fingerprint: 7}}},
		{UnixMs: 703000, Kind: &rpc.Command_Quarantine{Quarantine: &rpc.Quarantine{Fingerprint: 8}}},
		{UnixMs: 703000, Kind: &rpc.Command_Quarantine{Quarantine: &rpc.Quarantine{Fingerprint: 8}}}, // changes nothing: it is in force
		{UnixMs: 703000, Kind: &rpc.Command_Quarantine{Quarantine: &rpc.Quarantine{Fingerprint: 9, Part: true, Shared: true}}},
		{UnixMs: 703000, Kind: &rpc.Command_CrashEvidence{CrashEvidence: releaseEvidence()}},
	}
}

func releaseEvidence() *rpc.CrashEvidence {
	return &rpc.CrashEvidence{
		Requests: []*rpc.RequestCrash{{Fingerprint: 10, Endpoint: 1, BeforeResponse: true, AfterMs: 20}},
		Parts:    []*rpc.PartEvidence{{Part: 11, Survived: true, Crashes: []*rpc.PartCrashEvidence{{Endpoint: 1, Domain: 2}}}},
	}
}

// Guards against a replica that reads or writes a snapshot otherwise than an earlier release. Each
// file in testdata is named by the commit that wrote it, after releaseCommands.
var _ = Describe("the snapshot of an earlier release", func() {
	files, _ := filepath.Glob("testdata/*.snapshot") // the pattern is valid
	It("is there for the last two", func() { Expect(files).To(HaveLen(2)) })
	for _, commit := range []string{"1dd9e90", "c06a9a0"} {
		It("is read whole, and written again as it was: "+commit, func() {
			text, err := os.ReadFile(filepath.Join("testdata", commit+".snapshot"))
			Expect(err).NotTo(HaveOccurred())
			m := New(60000)
			Expect(m.Restore(text)).To(Succeed())
			Expect(m.Document().GetVersion()).To(Equal(uint64(8)))
			Expect(string(m.Document().GetContent())).To(Equal("configuration 8"))
			Expect(m.ClaimRecord("a", "k").GetRequest().GetNonce()).To(Equal(uint64(5)))
			Expect(m.Quarantine()).To(Equal([]QuarantinedRequest{
				{Fingerprint: 7, SinceMS: 3000, UntilMS: 3000 + firstQuarantine.Milliseconds(), Times: 1},
				{Fingerprint: 8, SinceMS: 703000, UntilMS: 703000 + firstQuarantine.Milliseconds(), Times: 1},
				{Fingerprint: 9, SinceMS: 703000, UntilMS: 703000 + sharedPartQuarantine.Milliseconds(), Part: true, Shared: true, Times: 1},
			}))
			Expect(proto.Equal(m.CrashEvidence(), releaseEvidence())).To(BeTrue())
			again, err := m.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(text))
		})
	}

	if commitToWrite != "" {
		It("is written for a release", func() {
			m := New(60000)
			for _, c := range releaseCommands() {
				data, err := proto.Marshal(c)
				Expect(err).NotTo(HaveOccurred())
				_, err = m.Apply(data)
				Expect(err).NotTo(HaveOccurred())
			}
			text, err := m.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(filepath.Join("testdata", commitToWrite+".snapshot"), text, 0o600)).To(Succeed())
		})
	}

	It("is what an earlier release makes of a log with crash evidence: an entry of a kind that a replica doesn't know changes nothing", func() {
		m := New(60000)
		apply(m, 0, &rpc.Quarantine{Fingerprint: 7})
		before, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		data, err := proto.Marshal(&rpc.Command{})
		Expect(err).NotTo(HaveOccurred())
		data = append(data, 0xba, 0x3e, 2, 8, 1) // field 999, a message
		_, err = m.Apply(data)
		Expect(err).NotTo(HaveOccurred())
		after, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
	})
})
