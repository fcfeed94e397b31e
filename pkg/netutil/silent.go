package netutil

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long bytes may stay without the peer's acknowledgement
	// before a connection counts as lost: five retransmissions on a link of a few
	// ms, and half of what a caller waits for the next event of a stream.
	ackTimeout = time.Second
	// probeInterval is how often a connection at rest is probed, and how long nothing
	// may come back: a second is the least that the system takes.
	probeInterval = time.Second
	// probeCount is how many probes may stay without an answer.
	probeCount = 2
)

// Dialer returns a dialer from an IP number whose connections end by themselves,
// within 3 s, when their peer or the path to it has gone silent: nothing else tells
// of a connection that stays open and carries nothing any more.
func Dialer(ip string, timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(ip),
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets how long sent bytes may stay without an acknowledgement.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
