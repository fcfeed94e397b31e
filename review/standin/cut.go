package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// cutListener accepts connections of a server. While the caller at an address is cut off, its
// connections stay open and carry nothing in either direction: those that are there, and new ones.
type cutListener struct {
	net.Listener
	cut *cutState
}

// cutState says which caller's connections hang.
type cutState struct {
	mu sync.Mutex
	ip string
}

func (c *cutState) set(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ip = ip
}

func (c *cutState) hangs(remote net.Addr) bool {
	host, _, _ := net.SplitHostPort(remote.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ip != "" && c.ip == host
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, cut: l.cut}, nil
}

// cutConn is a connection whose bytes are lost while its caller is cut off.
type cutConn struct {
	net.Conn
	cut *cutState
}

// Read implements net.Conn. What arrives during the cut is dropped.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.cut.hangs(c.Conn.RemoteAddr()) {
			return n, err
		}
	}
}

// Write implements net.Conn. What is sent during the cut is dropped.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.cut.hangs(c.Conn.RemoteAddr()) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

const (
	// cutTime is how long the machine is cut off: as long as the longest cut of single machines
	// in the site file.
	cutTime = 7 * time.Second
	// triesTime is how long clients send requests, from contact after the cut began.
	triesTime = 3500 * time.Millisecond
)

// hungChannels partitions one machine from all servers for some seconds: its channels to them
// hang. Clients and the other machines still reach it.
func hungChannels(s *system, trouble bool) (bool, error) {
	o := newOperator(s)
	s.cut = &cutState{}
	stop, err := begin(s, o)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	if trouble {
		s.cut.set(s.ip(2))
		s.rec.note("machine 2 is cut off from all servers")
		heal := time.AfterFunc(cutTime, func() {
			s.cut.set("")
			s.rec.note("machine 2 reaches the servers again")
		})
		defer heal.Stop()
	}
	time.Sleep(contact)
	c := newCaller(s)
	var g sync.WaitGroup
	var sent, served [4]atomic.Int64
	until := time.Now().Add(triesTime)
	for k := 0; time.Now().Before(until); k++ {
		n := k%3 + 1
		path := "/safe/x"
		if k%2 == 0 {
			path = "/unsafe/x"
		}
		g.Go(func() {
			sent[n].Add(1)
			if _, status := c.send(n, path); status == 200 {
				served[n].Add(1)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	g.Wait()
	at, rest := share(&served[2], &sent[2]), (share(&served[1], &sent[1])+share(&served[3], &sent[3]))/2
	lost := sent[2].Load() - served[2].Load()
	all := sent[1].Load() + sent[2].Load() + sent[3].Load()
	s.rec.note("first tries served: machine 2 %d of %d, the others %d of %d", served[2].Load(), sent[2].Load(),
		served[1].Load()+served[3].Load(), sent[1].Load()+sent[3].Load())
	return at >= rest*2/3 || float64(lost) <= 10+float64(all)/50, nil
}

func share(part, whole *atomic.Int64) float64 {
	return float64(part.Load()) / float64(max(1, whole.Load()))
}
