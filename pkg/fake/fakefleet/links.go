package main

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	pollInterval = 5 * time.Millisecond
	// userTimeout is how long a connection that carries nothing lives, as the user timeout of
	// netutil.Dialer makes it.
	userTimeout = 2500 * time.Millisecond
)

// The states of links, as a test writes them into the file. Without one they work.
const (
	silent  = "silent"  // nothing arrives in either direction
	oneWay  = "one way" // nothing arrives from endpoints
	reset   = "reset"   // connections are reset, new ones as soon as they are open
	refused = "refused" // new connections are refused; those that are open work
)

// links is the state of the links between one host and all endpoints.
type links struct {
	file string

	mu    sync.Mutex
	state string
	conns map[*conn]bool
}

// reload reads the state, and resets the open connections if it says so.
func (l *links) reload() {
	text, _ := os.ReadFile(l.file) // without a file the links work
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = strings.TrimSpace(string(text))
	if l.state != reset {
		return
	}
	for c := range l.conns {
		_ = c.TCPConn.SetLinger(0) // fails if the connection is closed
		_ = c.TCPConn.Close()
	}
}

func (l *links) is(states ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range states {
		if l.state == s {
			return true
		}
	}
	return false
}

// awaitDial waits while no connection can be opened.
func (l *links) awaitDial(ctx context.Context) error {
	for l.is(silent, oneWay) {
		if timer.Sleep(ctx, timer.NewSystem(), pollInterval) != nil {
			return syscall.ETIMEDOUT
		}
	}
	if l.is(refused) {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (l *links) add(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &conn{
		TCPConn: c.(*net.TCPConn),
		links:   l,
	}
	l.conns[out] = true
	return out
}

// conn is a connection over links.
type conn struct {
	*net.TCPConn
	links *links

	mu       sync.Mutex
	deadline time.Time // of reads
	closed   bool
}

// await waits while the links are in one of the states, as long as a connection lives then.
func (c *conn) await(states ...string) error {
	began := time.Now()
	for c.links.is(states...) {
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		switch {
		case closed:
			return net.ErrClosed
		case !deadline.IsZero() && time.Now().After(deadline):
			return os.ErrDeadlineExceeded
		case time.Since(began) > userTimeout:
			return syscall.ETIMEDOUT
		}
		_ = timer.Sleep(context.Background(), timer.NewSystem(), pollInterval) // doesn't end early
	}
	if c.links.is(reset) {
		return syscall.ECONNRESET
	}
	return nil
}

// Read returns what arrived once the links work.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if waitErr := c.await(silent, oneWay); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write passes bytes on once the links work.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.await(silent); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
