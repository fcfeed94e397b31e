package fleetcmd

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Servers in trouble sent answers whose status was 000, or in whose head the name of a field held a blank
// or a control byte. Callers got them as answers, with that line passed on, or with a body that wasn't the
// server's: net/http passes over a field whose name has a blank, and so over a Transfer-Encoding.
var _ = Describe("a malformed head", func() {
	clients := map[string]*http.Client{
		"requests to endpoints":                 endpointClient(&net.Dialer{}, 0),
		"streams of endpoints":                  endpointClient(&net.Dialer{}, streamIdleConns),
		"status queries":                        endpointClient(&net.Dialer{}, reportIdleConns),
		"requests to other hosts":               peerClients("127.0.0.1").Requests,
		"streams of other hosts":                peerClients("127.0.0.1").Streams,
		"calls between control and entry hosts": rpcClient("127.0.0.1"),
	}
	for name, client := range clients {
		// Guards against a client that believes an answer which is none.
		It("is rejected by the client for "+name, func() {
			for _, head := range []string{
				"HTTP/1.1 000 None\r\n", "HTTP/1.1 999 Odd\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
				"HTTP/1.1 200 OK\r\nX\x02: y\r\n",
			} {
				server := &endlessEndpoint{begin: head + "Content-Length: 3\r\n\r\nabc"}
				server.listen()
				resp, err := client.Post("http://"+server.address, "text/plain", strings.NewReader("x"))
				if err == nil {
					_ = resp.Body.Close() // the spec fails
				}
				Expect(err).To(HaveOccurred(), head)
			}
			client.CloseIdleConnections()
		})
	}

	It("is told from a sound one", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		s, err := netutil.Listen(l.Addr().String(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "abc")
		}))
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		g := group.New(context.Background())
		g.Go(func(context.Context) { _ = s.Serve() }) // ends with Close
		for name, client := range clients {
			resp, err := client.Get("http://" + l.Addr().String())
			Expect(err).NotTo(HaveOccurred(), name)
			text, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred(), name)
			Expect(string(text)).To(Equal("abc"))
			Expect(resp.Body.Close()).To(Succeed())
			client.CloseIdleConnections()
		}
	})
})
