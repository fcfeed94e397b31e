package fleetcontrol

import (
	"context"
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

// Guards against a replica that can't read what an earlier release wrote to its disk. Each
// folder in testdata is named by the commit whose larchwinch-fleet control wrote it: the only
// replica of a deployment, which acknowledged the versions 3, 5 and 8 and was killed.
var _ = Describe("the data folder of an earlier release", func() {
	folders, _ := filepath.Glob("testdata/*") // the pattern is valid
	It("is there for the last two", func() { Expect(folders).To(HaveLen(2)) })
	for _, folder := range folders {
		It("is read whole: "+filepath.Base(folder), func() {
			copied, err := os.MkdirTemp("", "release")
			Expect(err).NotTo(HaveOccurred())
			defer func() { Expect(os.RemoveAll(copied)).To(Succeed()) }()
			Expect(os.CopyFS(copied, os.DirFS(folder))).To(Succeed())
			g := group.New(context.Background())
			defer g.Stop()
			s := New(Config{
				Folder:       copied,
				IP:           "127.0.0.1",
				Port:         "1",
				SeedIPs:      func() []string { return []string{"127.0.0.1"} },
				Heartbeat:    time.Second,
				Decoder:      jsonDecoder{},
				Orders:       fakeEndpoints{},
				Reachability: reachesAll{},
				Timer:        timer.NewSystem(),
				Metrics:      metrics.New(),
			}, g)
			g.Go(func(ctx context.Context) { _ = s.Run(ctx) }) // ends with ctx
			Eventually(func() uint64 {
				d, err := s.Newest(context.Background(), &rpc.Empty{})
				if err != nil {
					return 0
				}
				return d.GetVersion()
			}, "10s", "20ms").Should(Equal(uint64(8)))
		})
	}
})
