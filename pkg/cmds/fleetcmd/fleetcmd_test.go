package fleetcmd

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleetCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetcmd")
}

// inChild is set in the environment of the child process that receives the signals of a spec.
const inChild = "FLEETCMD_TEST_CHILD"

// settledTime is how long a signal needs to end a process that isn't registered for it.
const settledTime = 50 * time.Millisecond

var _ = Describe("a process that starts", func() {
	// Guards against a process that a change of its settings ends while it starts.
	It("isn't ended by SIGHUP once it has begun to read its settings", func() {
		if os.Getenv(inChild) == "" {
			cmd := exec.Command(os.Args[0], "-ginkgo.focus", "isn't ended by SIGHUP")
			cmd.Env = append(os.Environ(), inChild+"=1")
			out, err := cmd.CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(out))
			return
		}
		// The settings are read from a pipe, so that the command waits for them.
		file := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
		done := make(chan error, 1)
		cmd := New(nil)
		cmd.SetArgs([]string{"entry", "--config", file})
		cmd.SilenceUsage = true
		group.New(context.Background()).Go(func(context.Context) { done <- cmd.Execute() })
		w, err := os.OpenFile(file, os.O_WRONLY, 0) // once the command has opened it
		Expect(err).NotTo(HaveOccurred())
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		time.Sleep(settledTime)
		_, _ = w.WriteString("not settings")
		Expect(w.Close()).To(Succeed())
		Eventually(done, "5s").Should(Receive(HaveOccurred()))
	})
})

var _ = Describe("a server of a process", func() {
	// Guards against time-outs that end a connection on which a whole request was read.
	It("has time-outs only for the head of a request, and for an idle connection", func() {
		l, srv, err := server{address: "127.0.0.1:0"}.open()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		Expect(srv.ReadTimeout).To(BeZero())
		Expect(srv.WriteTimeout).To(BeZero())
		Expect(srv.ReadHeaderTimeout).To(BeNumerically(">", 0))
		Expect(srv.IdleTimeout).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a process that has drained", func() {
	// Guards against an answer that is lost because its connection is closed after the handler
	// has returned and before the answer is sent.
	It("closes a connection only once a finished answer is sent, and waits for no other", func() {
		s := server{}
		finished, sent := make(chan bool), make(chan bool)
		s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/endless" {
				finished <- true
				<-sent
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, "answer")
			finished <- true
			<-sent // stands for the time until the answer is sent
		})
		s.address = "127.0.0.1:0"
		l, srv, err := s.open()
		Expect(err).NotTo(HaveOccurred())
		g := group.New(context.Background())
		defer g.Stop()
		g.Go(func(context.Context) { _ = srv.Serve(l) })
		client := &http.Client{Transport: &http.Transport{}}
		answers := make(chan string, 2)
		for _, path := range []string{"/endless", "/whole"} {
			g.Go(func(context.Context) {
				text := ""
				if resp, err := client.Get("http://" + l.Addr().String() + path); err == nil {
					body, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					text = string(body)
				}
				answers <- path + " " + text
			})
			Eventually(finished, "5s").Should(Receive())
		}
		began := time.Now()
		g.Go(func(context.Context) {
			time.Sleep(closeTimeout / 10)
			close(sent)
		})
		closeServers([]*http.Server{srv})
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Eventually(answers, "5s").Should(Receive(Equal("/whole answer")))
		Eventually(answers, "5s").Should(Receive(Equal("/endless ")))
	})
})
