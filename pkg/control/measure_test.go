//go:build measure

package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/gomega"
)

// process is one control host that runs as a program of its own.
type process struct {
	config string
	cmd    *exec.Cmd
}

func (p *process) start() {
	p.cmd = exec.Command("../../bin/larchwinch-control", "--config", p.config, "--new-cluster")
	Expect(p.cmd.Start()).To(Succeed())
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// startPrograms starts three control hosts on loopback addresses of their own,
// with new data folders.
func startPrograms(t *testing.T) []*process {
	var list []*process
	for i := 1; i <= 3; i++ {
		text, err := os.ReadFile(fmt.Sprintf("../../examples/local/control-%d.toml", i))
		Expect(err).NotTo(HaveOccurred())
		dir := t.TempDir()
		changed := strings.NewReplacer("127.0.1.", "127.0.21.", "run/control", filepath.Join(dir, "control")).Replace(string(text))
		file := filepath.Join(dir, "control.toml")
		Expect(os.WriteFile(file, []byte(changed), 0o600)).To(Succeed())
		p := &process{
			config: file,
		}
		p.start()
		list = append(list, p)
	}
	return list
}

// claimer sends claims to whichever control host answers.
type claimer struct {
	clients []rpc.Claims
	n       int
}

func newClaimer() *claimer {
	c := &claimer{}
	client := &http.Client{}
	for i := 1; i <= 3; i++ {
		c.clients = append(c.clients, rpc.NewClaimsProtobufClient(fmt.Sprintf("http://127.0.21.%d:7000", i), client))
	}
	return c
}

// claim claims a new key. It tries the hosts in turn until one grants the claim.
func (c *claimer) claim() {
	c.n++
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		reply, err := c.clients[i%3].Claim(ctx, &rpc.ClaimRequest{
			Account: "a",
			Key:     fmt.Sprint(c.n),
			Entry:   "e",
			Nonce:   uint64(c.n),
		})
		cancel()
		if err == nil && reply.GetState() == rpc.ClaimState_CLAIM_GRANTED {
			return
		}
	}
}

// leaderIndex returns the index of the leader: the host that accepts a heartbeat
// marked as already forwarded.
func leaderIndex() int {
	for {
		for i := 1; i <= 3; i++ {
			req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://127.0.21.%d:7000/twirp/larchwinch.Presence/Beat", i), strings.NewReader(`{"host":{"host":"probe"}}`))
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Larchwinch-Forwarded", "1")
			client := &http.Client{Timeout: 200 * time.Millisecond}
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return i - 1
			}
		}
	}
}

// TestMeasureFailover measures, with real programs, how long no claim is granted
// after the leader is killed or frozen.
func TestMeasureFailover(t *testing.T) {
	RegisterTestingT(t)
	f, err := os.Create("../../docs/measurements/failover.csv")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	fmt.Fprintln(f, "fault,rounds,p50_ms,p90_ms,p99_ms,max_ms")
	const rounds = 25
	for _, fault := range []string{"none", "leader killed", "leader frozen"} {
		h := hdrhistogram.New(1, 60_000_000, 3)
		list := startPrograms(t)
		c := newClaimer()
		for range 20 {
			c.claim()
		}
		for range rounds {
			p := list[leaderIndex()]
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			began := time.Now()
			switch fault {
			case "leader killed":
				p.kill()
			case "leader frozen":
				Expect(p.cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			}
			c.claim()
			_ = h.RecordValue(time.Since(began).Microseconds())
			switch fault {
			case "leader killed":
				p.start()
			case "leader frozen":
				Expect(p.cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
			}
			time.Sleep(700 * time.Millisecond)
		}
		for _, p := range list {
			p.kill()
		}
		fmt.Fprintf(f, "%s,%d,%.1f,%.1f,%.1f,%.1f\n", fault, rounds, quantileMS(h, 50), quantileMS(h, 90), quantileMS(h, 99), float64(h.Max())/1000)
	}
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// TestMeasureClaims measures, with real programs, the claims per second at several
// numbers of concurrent callers.
func TestMeasureClaims(t *testing.T) {
	RegisterTestingT(t)
	f, err := os.Create("../../docs/measurements/claims.csv")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	fmt.Fprintln(f, "callers,claims_per_s,p50_ms,p99_ms")
	list := startPrograms(t)
	newClaimer().claim()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	leader := rpc.NewClaimsProtobufClient(fmt.Sprintf("http://127.0.21.%d:7000", leaderIndex()+1), client)
	const length = 4 * time.Second
	for _, callers := range []int{1, 10, 100, 400} {
		h := hdrhistogram.New(1, 60_000_000, 3)
		var mu sync.Mutex
		g := group.New(context.Background())
		until := time.Now().Add(length)
		for w := range callers {
			g.Go(func(ctx context.Context) {
				for i := 0; time.Now().Before(until); i++ {
					began := time.Now()
					_, err := leader.Claim(ctx, &rpc.ClaimRequest{
						Account: fmt.Sprint("a", w), Key: fmt.Sprint(callers, "-", i), Entry: "e", RunsMs: 1000,
						BodyDigest: strings.Repeat("0", 64),
					})
					if err != nil {
						continue
					}
					mu.Lock()
					_ = h.RecordValue(time.Since(began).Microseconds())
					mu.Unlock()
				}
			})
		}
		g.Wait()
		fmt.Fprintf(f, "%d,%.0f,%.1f,%.1f\n", callers, float64(h.TotalCount())/length.Seconds(), quantileMS(h, 50), quantileMS(h, 99))
	}
	for _, p := range list {
		p.kill()
	}
}
