package netutil

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

var _ = Describe("a dialed connection", func() {
	It("has keep-alive and user timeouts that close it within 3 s of the peer's silence", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(l.Close()).To(Succeed()) }()
		c, err := Dialer("127.0.0.1", time.Second).Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(c.Close()).To(Succeed()) }()
		raw, err := c.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		options := []struct {
			level  int
			option int
			want   int
		}{
			{level: unix.SOL_SOCKET, option: unix.SO_KEEPALIVE, want: 1},
			{level: unix.IPPROTO_TCP, option: unix.TCP_KEEPIDLE, want: 1},
			{level: unix.IPPROTO_TCP, option: unix.TCP_KEEPINTVL, want: 1},
			{level: unix.IPPROTO_TCP, option: unix.TCP_USER_TIMEOUT, want: 2500},
		}
		for _, o := range options {
			var got int
			var gerr error
			Expect(raw.Control(func(fd uintptr) { got, gerr = unix.GetsockoptInt(int(fd), o.level, o.option) })).To(Succeed())
			Expect(gerr).NotTo(HaveOccurred())
			Expect(got).To(Equal(o.want))
		}
	})

	// Guards against a request that is lost because its endpoint, which works, paused for a
	// second or so. A peer that doesn't read makes the system's timers run as one that doesn't
	// acknowledge.
	It("outlives a pause of its peer, and ends within 3.5 s of silence", func() {
		cases := []struct {
			pause    time.Duration
			survives bool
		}{
			{pause: 1800 * time.Millisecond, survives: true},
			{pause: 6 * time.Second},
		}
		for _, one := range cases {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			g := group.New(context.Background())
			g.Go(func(context.Context) {
				c, err := l.Accept()
				if err != nil {
					return
				}
				time.Sleep(one.pause)
				_, _ = io.Copy(io.Discard, c) // ends with the connection
				_ = c.Close()
			})
			c, err := Dialer("127.0.0.1", time.Second).Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			_, err = c.Write(make([]byte, 64<<20))
			took := time.Since(began)
			if one.survives {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(syscall.ETIMEDOUT))
				Expect(took).To(BeNumerically("<", 3500*time.Millisecond))
			}
			Expect(c.Close()).To(Succeed())
			Expect(l.Close()).To(Succeed())
			g.Stop()
		}
	})
})
