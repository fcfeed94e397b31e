package netutil

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long sent bytes may stay unacknowledged, or unread by a peer
	// whose buffer is full, before the connection is closed. A peer that works may pause
	// for more than a second.
	ackTimeout = 2500 * time.Millisecond
	// probeInterval is how long a connection may be idle before it is probed, and
	// the time between probes. A second is the shortest time that the system allows.
	// With a user timeout set, the system closes an idle connection at the first probe
	// that is due later than that, whatever the count of probes.
	probeInterval = time.Second
)

// Dialer returns a dialer that dials from an IP address and whose connections fail
// within 3 s once the peer, or the network path to it, delivers nothing any more.
// Nothing else detects a connection that stays open but carries no data.
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
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout limits how long sent bytes may stay unacknowledged to ackTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
