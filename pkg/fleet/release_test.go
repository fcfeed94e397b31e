package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/larchwinch/larchwinch/pkg/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// commitToWrite names the commit whose fixture is written; docs/design/upgrades.md.
var commitToWrite = os.Getenv("WRITE_RELEASE")

// digests returns what hosts of two builds must compute alike, by name.
func digests() map[string]uint64 {
	parts := quarantine.PartsOf("s", []string{"p1", "p2"})
	return map[string]uint64{
		"endpoints": EndpointsDigest([]Endpoint{
			{ID: "i-1", StartedAt: 5, Service: "s", Address: "10.0.0.1:80", Domain: "d", Slots: 3, Sequence: 4, Kind: "k", Model: "m", Layers: Range{From: 2, To: 7}, Orders: 3, Slowdown: 1.5},
			{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Domain: "d", Leaving: true},
			{ID: "i-3", Service: "t", Address: "10.0.0.3:80", Domain: "e", Loading: true},
		}),
		"addresses":   AddressesDigest([]string{"10.0.0.1:80", "10.0.0.2:80"}),
		"content":     ContentDigest([]byte("configuration 8")),
		"load_key":    uint64(LoadKey("i-1")),
		"fingerprint": uint64(quarantine.FingerprintOf("a", "POST", "/x?y=1", []byte("body"))),
		"part_1":      uint64(parts[0]),
		"part_2":      uint64(parts[1]),
	}
}

// Guards against digests that hosts of two builds compute differently: they would send each
// other whole lists with every call, or take one endpoint, request or part of a prompt for two.
// Each file in testdata is named by the commit that computed it.
var _ = Describe("the digests of an earlier release", func() {
	files, _ := filepath.Glob("testdata/*.json") // the pattern is valid
	It("are there for the last two", func() { Expect(files).To(HaveLen(2)) })
	for _, commit := range []string{"1dd9e90", "c06a9a0"} {
		It("are the same today: "+commit, func() {
			text, err := os.ReadFile(filepath.Join("testdata", commit+".json"))
			Expect(err).NotTo(HaveOccurred())
			was := map[string]uint64{}
			Expect(json.Unmarshal(text, &was)).To(Succeed())
			Expect(digests()).To(Equal(was))
		})
	}

	if commitToWrite != "" {
		It("are written for a release", func() {
			text, err := json.MarshalIndent(digests(), "", "  ")
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(filepath.Join("testdata", commitToWrite+".json"), append(text, '\n'), 0o600)).To(Succeed())
		})
	}
})
