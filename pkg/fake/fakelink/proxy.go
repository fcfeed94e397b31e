// Package fakelink stands in for a path between two hosts whose open connections
// can go silent for good, without a reset, while new ones work.
package fakelink

import (
	"context"
	"net"
	"sync"

	"github.com/larchwinch/larchwinch/pkg/group"
)

// Way is a direction of a connection.
type Way int

// The ways that can go silent.
const (
	Forth Way = iota // from who connected
	Back
	Both
)

// Proxy carries connections to a target. It is safe for use by several goroutines.
type Proxy struct {
	listener net.Listener
	target   string
	group    *group.Group

	mu    sync.Mutex
	links []*link
}

// link is one connection through a proxy.
type link struct {
	mu         sync.Mutex
	blackholed [2]bool // by way
	conns      [2]net.Conn
}

// New returns a proxy on a loopback address, which carries until Close.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: l,
		target:   target,
		group:    group.New(context.Background()),
	}
	p.group.Go(func(context.Context) { p.accept() })
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close ends every connection.
func (p *Proxy) Close() {
	_ = p.listener.Close() // accept ends with it
	p.mu.Lock()
	for _, l := range p.links {
		l.close()
	}
	p.mu.Unlock()
	p.group.Stop()
}

// Silence makes every connection that is open now carry nothing any more in a
// way. Neither end is told.
func (p *Proxy) Silence(direction Way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.blackholed[Forth] = l.blackholed[Forth] || direction != Back
		l.blackholed[Back] = l.blackholed[Back] || direction != Forth
		l.mu.Unlock()
	}
}

// Opened returns how many connections were made through the proxy.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close() // the target is gone, and so is this
			continue
		}
		l := &link{
			conns: [2]net.Conn{from, to},
		}
		p.mu.Lock()
		p.links = append(p.links, l)
		p.mu.Unlock()
		p.group.Go(func(context.Context) { l.forward(Forth) })
		p.group.Go(func(context.Context) { l.forward(Back) })
	}
}

// forward moves bytes one way until either end closes. A silent way still takes what
// is sent, and loses it.
func (l *link) forward(direction Way) {
	defer l.close()
	buf := make([]byte, 32<<10)
	from, to := l.conns[direction], l.conns[1-direction]
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.isBlackholed(direction) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) isBlackholed(direction Way) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed[direction]
}

func (l *link) close() {
	for _, c := range l.conns {
		_ = c.Close() // it may be closed already
	}
}
