package fleetcontrol

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// commitToWrite names the commit whose fixture is written; docs/design/upgrades.md.
var commitToWrite = os.Getenv("WRITE_RELEASE")

// withOnlyReplica runs f on the only control host of a deployment, which keeps its state in folder.
func withOnlyReplica(folder string, firstStart bool, f func(s *Server)) {
	const ip = "127.0.0.1"
	g := group.New(context.Background())
	defer g.Stop()
	s := New(Config{
		Folder: folder,
		IP:     ip,
		Port:   "1",
		Bootstrap: Bootstrap{
			FirstStart: firstStart,
			IPs:        []string{ip},
		},
		SeedIPs:      func() []string { return []string{ip} },
		Heartbeat:    time.Second,
		Decoder:      jsonDecoder{},
		Orders:       fakeEndpoints{},
		Reachability: reachesAll{},
		Client:       &http.Client{},
		Timer:        timer.NewSystem(),
		Metrics:      metrics.New(),
	}, g)
	g.Go(func(ctx context.Context) { _ = s.Run(ctx) }) // ends with ctx
	f(s)
}

// Guards against a replica that can't read what an earlier release wrote to its disk. Each
// folder in testdata is named by the commit whose control host wrote it: the only replica of a
// deployment, which acknowledged the versions 3, 5 and 8 and wasn't stopped.
var _ = Describe("the data folder of an earlier release", func() {
	folders, _ := filepath.Glob("testdata/*") // the pattern is valid
	It("is there for the last two", func() { Expect(folders).To(HaveLen(2)) })
	for _, folder := range folders {
		It("is read whole: "+filepath.Base(folder), func() {
			copied, err := os.MkdirTemp("", "release")
			Expect(err).NotTo(HaveOccurred())
			defer func() { Expect(os.RemoveAll(copied)).To(Succeed()) }()
			Expect(os.CopyFS(copied, os.DirFS(folder))).To(Succeed())
			withOnlyReplica(copied, false, func(s *Server) {
				Eventually(func() uint64 {
					d, err := s.Newest(context.Background(), &rpc.Empty{})
					if err != nil {
						return 0
					}
					return d.GetVersion()
				}, "10s", "20ms").Should(Equal(uint64(8)))
			})
		})
	}

	if commitToWrite != "" {
		It("is written for a release", func() {
			folder, err := os.MkdirTemp("", "release")
			Expect(err).NotTo(HaveOccurred())
			defer func() { Expect(os.RemoveAll(folder)).To(Succeed()) }()
			withOnlyReplica(folder, true, func(s *Server) {
				for _, version := range []uint64{3, 5, 8} {
					Eventually(func() error {
						return s.Replace(context.Background(), document(version, "r"))
					}, "10s", "20ms").Should(Succeed())
				}
				Expect(os.CopyFS(filepath.Join("testdata", commitToWrite), os.DirFS(folder))).To(Succeed())
			})
		})
	}
})
