package reachability

import (
	"context"
	"net"
	"syscall"

	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a probe", func() {
	It("tells an endpoint that accepts a connection from one whose connections are reset", func() {
		for _, resets := range []bool{false, true} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			g := group.New(context.Background())
			g.Go(func(context.Context) {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					if resets {
						_ = c.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
					}
				}
			})
			err = Probe{Dialer: &net.Dialer{}}.Dial(context.Background(), l.Addr().String())
			if resets {
				Expect(err).To(MatchError(syscall.ECONNRESET))
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(l.Close()).To(Succeed())
			g.Stop()
		}
	})
})
