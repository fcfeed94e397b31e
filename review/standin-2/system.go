package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine; each machine has a loopback address of its own.
const (
	frontPort     = 18227
	readyPort     = 18220
	controlPort   = 18229
	directoryPort = 18224
	internalFirst = 17340
	internalLast  = 17355
)

// The bounds of the smallest deployments of the pages.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3000 * time.Millisecond
	drain       = 2000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	grace       = 8 * time.Second
)

var zones = []string{"z-a", "z-b", "z-c"}

// machine is one machine of the system, with its two processes.
type machine struct {
	name, zone, ip string
	core           bool // has a disk
	settings       string
	data           string
	processes      map[string]*exec.Cmd // by role
	startedAt      time.Time            // of the last start or kill
	stopped        []chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// system is the machines under test.
type system struct {
	rec      *record
	root     string // of the repository
	folder   string // temporary
	network  string
	machines []*machine
	mu       sync.Mutex
}

// freeNetwork returns the first three bytes of a loopback network in which no port of the
// system is used.
func freeNetwork() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for i := range 6 {
			for _, p := range []int{frontPort, readyPort, controlPort, directoryPort, internalFirst, internalFirst + 1, 9190, 9191} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", n, 10+i, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return "", fmt.Errorf("no loopback network is free")
}

// newSystem prepares perZone machines in each of three zones, of which the first of each zone
// has a disk.
func newSystem(rec *record, root string, perZone int) (*system, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "larchwinch-review")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, root: root, folder: folder, network: network}
	for i := range perZone {
		for k, zone := range zones {
			m := &machine{
				name:      fmt.Sprintf("edge-%s-%d", zone, i+1),
				zone:      zone,
				ip:        fmt.Sprintf("%s.%d", network, 10+i*len(zones)+k),
				core:      i == 0,
				processes: map[string]*exec.Cmd{},
			}
			m.settings = filepath.Join(folder, m.name+".toml")
			if m.core {
				m.data = filepath.Join(folder, "data-"+m.name)
				if err := os.Mkdir(m.data, 0o700); err != nil {
					return nil, err
				}
			}
			s.machines = append(s.machines, m)
		}
	}
	return s, nil
}

// seeds returns the control addresses of the core.
func (s *system) seeds() []any {
	var list []any
	for _, m := range s.machines {
		if m.core {
			list = append(list, m.address(controlPort))
		}
	}
	return list
}

// writeSettings fills the template of the deploy file.
func (s *system) writeSettings(m *machine, bootstrap bool) error {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "fleet.toml.tmpl"))
	if err != nil {
		return err
	}
	fields := map[string]any{
		"node": m.name, "zone": m.zone, "ip": m.ip, "bootstrap": bootstrap, "data_dir": m.data,
		"seeds": s.seeds(), "internal_ports": []any{internalFirst, internalLast},
		"limits": map[string]any{"memory_mb": 284},
		"listen": map[string]any{
			"front": m.address(frontPort), "ready": m.address(readyPort),
			"directory": m.address(directoryPort), "control": m.address(controlPort),
		},
		"heartbeat_ms":    heartbeat.Milliseconds(),
		"fault_tolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{
			"grace_s": int(grace.Seconds()), "revoke_ms": 5000, "strict_revoke": true, "ttl_max_s": 5,
			"budget_ratio": 0.2, "budget_extra": 206, "budget_window_s": 10,
		},
	}
	out, err := fill(string(text), fields, nil, true)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, []byte(out), 0o600)
}

// start starts a role on a machine with the command of the deploy file.
func (s *system) start(m *machine, role string) error {
	out, err := os.OpenFile(filepath.Join(s.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(s.root, "target", "larchwinch-fleet"), role)
	cmd.Dir = s.root
	cmd.Env = []string{names["settings"] + "=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	s.mu.Lock()
	m.processes[role] = cmd
	m.startedAt = time.Now()
	s.mu.Unlock()
	return nil
}

// startAll starts the whole system for the first time.
func (s *system) startAll() error {
	for _, m := range s.machines {
		if err := s.writeSettings(m, true); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		for _, role := range []string{"control", "entry"} {
			if err := s.start(m, role); err != nil {
				return err
			}
		}
	}
	for _, m := range s.machines {
		s.rec.line("machine %s at %s, core %v", m.name, m.ip, m.core)
	}
	return nil
}

// kill kills both processes of machines at the same moment, and waits until they are gone.
func (s *system) kill(list []*machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range list {
		for _, p := range m.processes {
			_ = p.Process.Signal(syscall.SIGKILL)
		}
		m.startedAt = time.Now()
	}
	for _, m := range list {
		for role, p := range m.processes {
			_ = p.Wait()
			delete(m.processes, role)
		}
	}
}

// restart starts both processes of machines again, with their disks.
func (s *system) restart(list []*machine) error {
	for _, m := range list {
		if err := s.writeSettings(m, false); err != nil {
			return err
		}
		for _, role := range []string{"control", "entry"} {
			if err := s.start(m, role); err != nil {
				return err
			}
		}
	}
	return nil
}

// core returns the machines that have a disk, and outer the others.
func (s *system) core() (list []*machine) {
	for _, m := range s.machines {
		if m.core {
			list = append(list, m)
		}
	}
	return list
}

func (s *system) outer() (list []*machine) {
	for _, m := range s.machines {
		if !m.core {
			list = append(list, m)
		}
	}
	return list
}

// calmSince returns when a machine was killed or started last.
func (s *system) calmSince(m *machine) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.startedAt
}

// coreCalmSince returns when a machine of the core was killed or started last.
func (s *system) coreCalmSince() time.Time {
	newest := time.Time{}
	for _, m := range s.core() {
		if at := s.calmSince(m); at.After(newest) {
			newest = at
		}
	}
	return newest
}

// stop ends all processes and removes the folder.
func (s *system) stop() {
	s.kill(s.machines)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
