package netutil

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// resetConn is a connection whose server answers at the first bytes of the request, and then resets
// it. The error of the reset goes to the write, and the read sees a plain end.
type resetConn struct {
	net.Conn // nil: what isn't implemented isn't called
	answer   *strings.Reader
	written  atomic.Int64
	started  chan struct{} // closed once something was written
	reset    chan struct{} // closed once a write failed
	begin    sync.Once
	fail     sync.Once
}

func newResetConn(answer string) *resetConn {
	return &resetConn{answer: strings.NewReader(answer), started: make(chan struct{}), reset: make(chan struct{})}
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.begin.Do(func() { close(c.started) })
	if c.written.Add(int64(len(p))) > 1<<20 {
		c.fail.Do(func() { close(c.reset) })
		return 0, syscall.ECONNRESET
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.started
	if c.answer.Len() > 0 {
		return c.answer.Read(p)
	}
	<-c.reset
	return 0, io.EOF
}

func (*resetConn) Close() error                     { return nil }
func (*resetConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*resetConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*resetConn) SetDeadline(time.Time) error      { return nil }
func (*resetConn) SetReadDeadline(time.Time) error  { return nil }
func (*resetConn) SetWriteDeadline(time.Time) error { return nil }

// A server answered a long upload at once with a 200 that had no length, sent part of its body, and
// reset the connection while the upload was still being written. The caller got that part as a
// complete answer. The reset's error had gone to the write of the upload; the read saw the end.
var _ = Describe("an answer that ends with its connection", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

	read := func(conn net.Conn, size int) (string, error) {
		client := &http.Client{Transport: CheckAnswers(&http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		})}
		resp, err := client.Post("http://10.0.0.1/", "text/plain", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		return string(text), err
	}

	// Guards against a part of an answer that a caller gets as complete.
	It("isn't complete if the connection was reset while the request was being written", func() {
		for range 20 {
			text, err := read(newResetConn(head+"\r\npart"), 3<<20)
			Expect(text).To(Or(Equal("part"), BeEmpty()), "the write's error may come before the head is read")
			Expect(err).To(HaveOccurred())
		}
	})

	It("is complete if the request was written, however late net/http notes that", func() {
		for range 50 {
			conn := newResetConn(head + "\r\nwhole")
			close(conn.reset) // the end of the answer doesn't wait
			text, err := read(conn, 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal("whole"))
		}
	})

	It("is complete by its length or its last chunk, though the rest of the request is lost", func() {
		for _, rest := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
			text, err := read(newResetConn(head+rest), 3<<20)
			if err == nil { // the write's error may come first
				Expect(text).To(Equal("whole"))
			}
		}
	})
})

// rawServer answers each request on a connection with the next of some texts, and closes the
// connection after the last.
type rawServer struct {
	texts       []string
	connections atomic.Int64
}

func (s *rawServer) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	g := group.New(context.Background())
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		g.Stop()
	})
	g.Go(func(context.Context) {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			s.connections.Add(1)
			r := bufio.NewReader(c)
			for _, text := range s.texts {
				if _, err := http.ReadRequest(r); err != nil {
					break
				}
				_, _ = io.WriteString(c, text) // a client that closes fails the spec by itself
			}
			_ = c.Close() // whatever was sent
		}
	})
	return "http://" + l.Addr().String() + "/"
}

var _ = Describe("the head of an answer", func() {
	const body = "Content-Length: 3\r\n\r\nabc"
	rejected := []struct {
		name string
		text string
	}{
		{"status 000", "HTTP/1.1 000 None\r\n" + body},
		{"status 099", "HTTP/1.1 099 Odd\r\n" + body},
		{"status 600", "HTTP/1.1 600 Odd\r\n" + body},
		{"status 999", "HTTP/1.1 999 Odd\r\n" + body},
		{"a status of two digits", "HTTP/1.1 20 OK\r\n" + body},
		{"a status below 0", "HTTP/1.1 -20 OK\r\n" + body},
		{"version 0.9", "HTTP/0.9 200 OK\r\n" + body},
		{"version 1.9", "HTTP/1.9 200 OK\r\n" + body},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + body},
		{"a blank in a field's name", "HTTP/1.1 200 OK\r\nX Y: z\r\n" + body},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + body},
		{"a tab before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding\t: chunked\r\n" + body},
		{"a control byte in a field's name", "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n" + body},
		{"a byte that is no text in a field's name", "HTTP/1.1 200 OK\r\nX\xffY: z\r\n" + body},
		{"a field without a name", "HTTP/1.1 200 OK\r\n: z\r\n" + body},
		{"a control byte in a field's value", "HTTP/1.1 200 OK\r\nX: a\x01b\r\n" + body},
		{"a carriage return in a field's value", "HTTP/1.1 200 OK\r\nX: a\rb\r\n" + body},
		{"a line without a colon", "HTTP/1.1 200 OK\r\nnothing\r\n" + body},
		{"a blank in a field's name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		{"an end within the status line", "HTTP/1.1 200 O"},
		{"an end after the status line", "HTTP/1.1 200 OK\r\n"},
		{"an end within a field's name", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"an end within a field's value", "HTTP/1.1 200 OK\r\nContent-Length: 3"},
		{"an end before the empty line", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
	}
	for _, c := range rejected {
		// Guards against an answer of a server in trouble that a caller gets as one, with the wrong body.
		It("is rejected, and its connection isn't used again: "+c.name, func() {
			for _, text := range []string{c.text, strings.Replace(c.text, body, "Content-Length: 0\r\n\r\n", 1)} {
				s := &rawServer{texts: []string{text, "HTTP/1.1 200 OK\r\n" + body}}
				if strings.Contains(c.name, "an end") {
					s.texts = s.texts[:1]
				}
				url := s.listen()
				transport := &http.Transport{}
				client := &http.Client{Transport: CheckAnswers(transport)}
				for n := range 2 {
					resp, err := client.Post(url, "text/plain", strings.NewReader("x"))
					if err == nil {
						_ = resp.Body.Close()
					}
					Expect(err).To(HaveOccurred())
					Expect(s.connections.Load()).To(BeEquivalentTo(n + 1))
				}
				client.CloseIdleConnections()
			}
		})
	}

	It("is accepted with any fields and statuses that are allowed, and its connection is used again", func() {
		s := &rawServer{}
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 599 Odd\r\n", "HTTP/1.1 200 OK\r\nX-!#$%&'*+.^_`|~9: \xff z\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: \tz \r\n", "HTTP/1.1 200 OK\r\nX:\r\n",
		} {
			s.texts = append(s.texts, head+body)
		}
		url := s.listen()
		client := &http.Client{Transport: CheckAnswers(&http.Transport{})}
		defer client.CloseIdleConnections()
		for range s.texts {
			resp, err := client.Post(url, "text/plain", strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(Equal("abc"))
			Expect(resp.Body.Close()).To(Succeed())
		}
		Expect(s.connections.Load()).To(BeEquivalentTo(1))
	})
})
