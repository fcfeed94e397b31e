// Package fakelink is a fake network path between two hosts. Its open connections
// can be made to drop all data without a reset, while new connections work.
package fakelink

import (
	"context"
	"net"
	"sync"

	"github.com/larchwinch/larchwinch/pkg/group"
)

// Direction is a direction of a connection.
type Direction int

// The directions in which data can be dropped.
const (
	ToTarget Direction = iota // from the side that connected to the target
	FromTarget
	Both
)

// Proxy forwards connections to a target. It is safe for concurrent use.
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
	blackholed [2]bool // by direction
	conns      [2]net.Conn
}

// New returns a proxy on a loopback address, which forwards until Close.
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

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close ends every connection.
func (p *Proxy) Close() {
	_ = p.listener.Close() // accept returns once the listener is closed
	p.mu.Lock()
	for _, l := range p.links {
		l.close()
	}
	p.mu.Unlock()
	p.group.Stop()
}

// Blackhole makes every connection that is open now drop all further data in a
// direction. Neither end is notified.
func (p *Proxy) Blackhole(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.blackholed[ToTarget] = l.blackholed[ToTarget] || direction != FromTarget
		l.blackholed[FromTarget] = l.blackholed[FromTarget] || direction != ToTarget
		l.mu.Unlock()
	}
}

// Opened returns how many connections have been made through the proxy.
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
			_ = from.Close() // the target doesn't accept connections
			continue
		}
		l := &link{
			conns: [2]net.Conn{from, to},
		}
		p.mu.Lock()
		p.links = append(p.links, l)
		p.mu.Unlock()
		p.group.Go(func(context.Context) { l.forward(ToTarget) })
		p.group.Go(func(context.Context) { l.forward(FromTarget) })
	}
}

// forward copies bytes in one direction until either end closes. A blackholed
// direction still accepts data and drops it.
func (l *link) forward(direction Direction) {
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

func (l *link) isBlackholed(direction Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed[direction]
}

func (l *link) close() {
	for _, c := range l.conns {
		_ = c.Close() // it may be closed already
	}
}
