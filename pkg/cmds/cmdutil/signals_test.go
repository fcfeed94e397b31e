package cmdutil

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// inChild is set in the environment of the child process that receives the signals of a spec. It
// runs no specs, since ginkgo handles signals itself.
const inChild = "CMDUTIL_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(inChild) == "" {
		os.Exit(m.Run())
	}
	if !drainsOnEarlySignal() {
		os.Exit(1)
	}
}

func TestCmdUtil(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmdutil")
}

// drainsOnEarlySignal sends this process SIGTERM before it runs a group with signals, and reports
// whether that drained.
func drainsOnEarlySignal() bool {
	g := &run.Group{}
	drained := false
	AddSignals(g, time.Second, func(context.Context) { drained = true })
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		return false
	}
	return g.Run() == nil && drained
}

var _ = Describe("a run group with signals", func() {
	// Guards against a process that serves already, and that SIGTERM ends without a drain.
	It("drains on a SIGTERM that comes before it runs", func() {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), inChild+"=1")
		out, err := cmd.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})
})
