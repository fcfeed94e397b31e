package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine, the same on all of them, as the pages' example has them.
const (
	callersPort   = "8227"
	readyPort     = "8220"
	directoryPort = "8224"
	controlPort   = "8229"
	internalPort  = 7340
	firstByte     = 10
)

// The bounds of a small deployment.
const (
	catchUp     = 4 * time.Second
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	grace       = 8 * time.Second
)

// system is the project's programs on the machines of a small deployment.
type system struct {
	repo    string // the repository's root
	folder  string // a temporary folder
	network string // the first three bytes of all addresses
	rec     *record
	runs    map[string][]string // command by role
	tmpl    string
	cut     *cutState // of the servers' connections; nil if there is none

	mu       sync.Mutex
	machines map[int]*machine
	seeds    []int
}

// machine is one machine with a disk, with both roles.
type machine struct {
	n         int
	zone      string
	processes map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newSystem(rec *record) (*system, error) {
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	tmpl, err := os.ReadFile(filepath.Join(repo, "deploy/fleet.toml.tmpl"))
	if err != nil {
		return nil, err
	}
	runs, err := readRuns(filepath.Join(repo, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	return &system{
		repo:     repo,
		folder:   folder,
		network:  network,
		rec:      rec,
		runs:     runs,
		tmpl:     string(tmpl),
		machines: map[int]*machine{},
		seeds:    []int{1, 2, 3},
	}, nil
}

// freeNetwork returns a loopback network in which no address that is used is taken.
func freeNetwork() (string, error) {
	start := os.Getpid() % 200
	for i := range 200 {
		network := fmt.Sprintf("127.81.%d", 20+(start+i)%200)
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network is free")
}

func isFree(network string) bool {
	for n := firstByte + 1; n < firstByte+8; n++ {
		for _, port := range []string{callersPort, controlPort, strconv.Itoa(internalPort), "9190", "9191"} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// readRuns returns the commands of the deploy file by role.
func readRuns(file string) (map[string][]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	runs := map[string][]string{}
	role := ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			runs[role] = strings.Fields(strings.Trim(text, `"`))
		}
	}
	return runs, nil
}

func (s *system) ip(n int) string { return fmt.Sprintf("%s.%d", s.network, firstByte+n) }

func (s *system) address(n int, port string) string { return net.JoinHostPort(s.ip(n), port) }

// controlAddresses returns the addresses of the machines that run, for the operator and
// the servers.
func (s *system) controlAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for n := range 16 {
		if m := s.machines[n]; m != nil {
			list = append(list, s.address(n, controlPort))
		}
	}
	return list
}

// writeSettings renders the settings of a machine from the template of the deploy file.
func (s *system) writeSettings(n int, bootstrap bool) error {
	var seeds []string
	for _, m := range s.seeds {
		seeds = append(seeds, s.address(m, controlPort))
	}
	text := render(s.tmpl, map[string]any{
		"node": fmt.Sprintf("edge-z%d-1", n), "zone": s.zone(n), "ip": s.ip(n),
		"bootstrap": bootstrap, "data_dir": s.disk(n), "seeds": seeds,
		"internal_ports": []int{internalPort, internalPort + 15},
		"limits":         map[string]any{"memory_mb": 284},
		"listen": map[string]any{
			"front": s.address(n, callersPort), "ready": s.address(n, readyPort),
			"directory": s.address(n, directoryPort), "control": s.address(n, controlPort),
		},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{
			"grace_s": 8, "revoke_ms": 5000, "strict_revoke": true, "ttl_max_s": 5,
			"budget_ratio": 0.2, "budget_extra": 206, "budget_window_s": 10,
		},
		"fault_tolerance": map[string]any{"machines": 1},
	})
	return os.WriteFile(s.settings(n), []byte(text), 0o600)
}

func (s *system) zone(n int) string { return fmt.Sprintf("z%d", (n-1)%3+1) }

func (s *system) settings(n int) string { return filepath.Join(s.folder, fmt.Sprintf("m%d.toml", n)) }

func (s *system) disk(n int) string { return filepath.Join(s.folder, fmt.Sprintf("disk%d", n)) }

// start starts a machine: its two processes, with the settings that were written last.
func (s *system) start(n int) error {
	m := &machine{n: n, processes: map[string]*process{}}
	if err := os.MkdirAll(s.disk(n), 0o700); err != nil {
		return err
	}
	for _, role := range []string{"control", "entry"} {
		p, err := s.launch(n, role)
		if err != nil {
			return err
		}
		m.processes[role] = p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[n] = m
	s.rec.note("machine %d (%s) starts", n, s.ip(n))
	return nil
}

func (s *system) launch(n int, role string) (*process, error) {
	run := s.runs[role]
	log, err := os.OpenFile(filepath.Join(s.folder, fmt.Sprintf("%s%d.log", role, n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(s.repo, run[0]), run[1:]...)
	cmd.Dir = s.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + s.settings(n)}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// remove ends the processes of a machine with a signal, waits for their end, and forgets it.
func (s *system) remove(n int, sig syscall.Signal) {
	s.mu.Lock()
	m := s.machines[n]
	delete(s.machines, n)
	s.mu.Unlock()
	if m == nil {
		return
	}
	s.rec.note("machine %d gets signal %v", n, sig)
	for _, p := range m.processes {
		_ = p.cmd.Process.Signal(sig)
	}
	for _, role := range []string{"control", "entry"} {
		p := m.processes[role]
		select {
		case <-p.done:
		case <-time.After(grace):
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		s.rec.note("the %s process of machine %d has ended", role, n)
	}
}

// wipe empties the disk of a machine that doesn't run.
func (s *system) wipe(n int) error {
	s.rec.note("machine %d loses its disk", n)
	return os.RemoveAll(s.disk(n))
}

// stop ends every process, and removes the temporary folder.
func (s *system) stop() {
	s.mu.Lock()
	var list []*machine
	for _, m := range s.machines {
		list = append(list, m)
	}
	s.mu.Unlock()
	for _, m := range list {
		for _, p := range m.processes {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range m.processes {
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
