package netutil

import (
	"net"
	"time"

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
			{level: unix.IPPROTO_TCP, option: unix.TCP_KEEPCNT, want: 2},
			{level: unix.IPPROTO_TCP, option: unix.TCP_USER_TIMEOUT, want: 1000},
		}
		for _, o := range options {
			var got int
			var gerr error
			Expect(raw.Control(func(fd uintptr) { got, gerr = unix.GetsockoptInt(int(fd), o.level, o.option) })).To(Succeed())
			Expect(gerr).NotTo(HaveOccurred())
			Expect(got).To(Equal(o.want))
		}
	})
})
