package fleetcmd

import (
	"context"
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
