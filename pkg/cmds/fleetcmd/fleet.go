// Package fleetcmd is the command line of larchwinch-fleet.
package fleetcmd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/reachability"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/larchwinch/larchwinch/platform"
	"github.com/spf13/cobra"
)

const (
	// gcPercent lets the heap grow to four times the live heap before a
	// collection. Live heaps are a few MB, so this saves CPU for little memory.
	gcPercent = 300
	// memoryLimitRatio is the share of the host's memory that is set as the Go
	// runtime's soft memory limit.
	memoryLimitRatio = 0.4
	// answerMemoryRatio is the share of the host's memory for bytes of endpoints' answers.
	// While an answer is read, the buffer may be twice as long as what it holds.
	answerMemoryRatio = 0.1
	// maxLogLines is the maximum number of log lines a second. A host serves about 7 requests
	// a second, and three times as many in a burst.
	maxLogLines = 200
	// The metrics ports are the same as in deploy/system.toml.
	entryMetricsPort   = "9190"
	controlMetricsPort = "9191"
)

// EndpointDialer returns a dialer for connections to endpoints from the host's IP number.
type EndpointDialer func(ip string, timeout time.Duration) reachability.NetDialer

// New returns the command, whose processes connect to endpoints by dial.
func New(dial EndpointDialer) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "larchwinch-fleet",
		Short:   "Run a host of a deployment whose endpoints announce themselves",
		Version: version.String(),
	}
	cmd.AddCommand(roleCommand("control", "Run a replica of the deployment's state, and place layers", dial, serveControl))
	cmd.AddCommand(roleCommand("entry", "Forward callers' requests to endpoints", dial, serveEntry))
	return cmd
}

func roleCommand(name, short string, dial EndpointDialer, serve func(p *process) error) *cobra.Command {
	file := ""
	check := false
	cmd := &cobra.Command{
		Use:   name + " --config FILE",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hangups := watchHangups()
			if file == "" {
				file = platform.SettingsFile()
			}
			cfg, err := config.ReadFleet(file)
			if err != nil {
				return cmdutil.Usage(err)
			}
			if check {
				cmd.Println(file + ": good")
				return nil
			}
			return serve(newProcess(cfg, file, name, dial, hangups))
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file; by default, the one that the platform names")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings, and do nothing else")
	return cmd
}

// process holds what both roles need.
type process struct {
	cfg    atomic.Pointer[config.Fleet]
	file   string
	role   string
	svc    timer.Service
	log    *eventlog.Log
	set    *metrics.Set
	client *http.Client // for calls to larchwinch's own processes
	dial   EndpointDialer
	group  *group.Group
	// hangups receives SIGHUP, which says that the settings may have changed.
	hangups <-chan os.Signal
}

// watchHangups returns a channel that receives SIGHUP. The signal would end a process that isn't
// registered for it, also while it starts or stops, so it stays registered.
func watchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

func newProcess(cfg *config.Fleet, file, role string, dial EndpointDialer, hangups <-chan os.Signal) *process {
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryLimitRatio * (1 << 20)))
	}
	p := &process{
		file:    file,
		role:    role,
		svc:     timer.NewSystem(),
		set:     metrics.New(),
		client:  rpcClient(cfg.IP),
		dial:    dial,
		group:   group.New(context.Background()),
		hangups: hangups,
	}
	p.cfg.Store(cfg)
	p.log = eventlog.New(os.Stdout, p.svc, cfg.Host, maxLogLines)
	return p
}

const (
	rpcDialTimeout = 400 * time.Millisecond
	rpcIdleTimeout = 30 * time.Second
	// rpcIdleConns is the maximum number of idle connections to one control host.
	rpcIdleConns = 8
)

// rpcClient returns the client for calls to larchwinch's own processes.
func rpcClient(ip string) *http.Client {
	return &http.Client{
		Transport: netutil.CheckAnswers(&http.Transport{
			DialContext:            netutil.Dialer(ip, rpcDialTimeout).DialContext,
			MaxIdleConnsPerHost:    rpcIdleConns,
			IdleConnTimeout:        rpcIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: netutil.MaxResponseHeaderBytes,
		}),
		CheckRedirect: noRedirect,
	}
}

// endpointDialTimeout limits how long connecting to an endpoint may take. An
// endpoint that accepts connections does so in a few ms, and callers expect a
// response within half a second.
const endpointDialTimeout = 400 * time.Millisecond

const (
	// endpointIdleTimeout is how long an idle connection to an endpoint is kept.
	// Endpoints close idle connections after several seconds, and may drop them
	// sooner.
	endpointIdleTimeout = 3 * time.Second
	// streamIdleConns and reportIdleConns limit the idle connections to each
	// endpoint: as many as the streams that one of nine hosts begins there in a
	// second, and one for the status query, of which one is in progress at a time.
	streamIdleConns = 16
	reportIdleConns = 1
)

// endpointClients returns the clients for endpoints, whose connections m observes.
func (p *process) endpointClients(m *reachability.Monitor) platform.Clients {
	d := reachability.NewDialer(p.dial(p.cfg.Load().IP, endpointDialTimeout), m)
	return platform.Clients{
		Requests:    endpointClient(d, 0),
		Streams:     endpointClient(d, streamIdleConns),
		Reports:     endpointClient(d, reportIdleConns),
		Connections: d,
	}
}

const (
	// A check of reachability makes its second attempt after secondConnectDelay, and its
	// verdict connectVerdictDelay later. Endpoints of distant domains accept connections in
	// some ten ms.
	secondConnectDelay  = 30 * time.Millisecond
	connectVerdictDelay = 70 * time.Millisecond
	// maxConnectLateness is by how much the verdict's timer may be late.
	maxConnectLateness = 30 * time.Millisecond
)

// newMonitor returns the monitor of which services this process can reach.
func (p *process) newMonitor() *reachability.Monitor {
	return reachability.New(reachability.Checker{
		Connector: reachability.Probe{
			Dialer: p.dial(p.cfg.Load().IP, endpointDialTimeout),
		},
		Asker:        platform.NewAsker(endpointClient(p.dial(p.cfg.Load().IP, endpointDialTimeout), 0)),
		Timer:        p.svc,
		SecondDelay:  secondConnectDelay,
		VerdictDelay: connectVerdictDelay,
		MaxLateness:  maxConnectLateness,
	}, p.svc, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), p.log, p.set)
}

// endpointClient returns a client that keeps at most idleConns idle connections to
// each address; with 0, every request makes a connection. A new connection costs
// the endpoint about a millisecond.
func endpointClient(d platform.Dialer, idleConns int) *http.Client {
	return &http.Client{
		Transport: netutil.CheckAnswers(&http.Transport{
			DialContext:            d.DialContext,
			DisableCompression:     true,
			DisableKeepAlives:      idleConns == 0,
			MaxIdleConnsPerHost:    idleConns,
			IdleConnTimeout:        endpointIdleTimeout,
			MaxResponseHeaderBytes: netutil.MaxResponseHeaderBytes,
		}),
		CheckRedirect: noRedirect,
	}
}

// peerClients returns the clients for other entry hosts.
func peerClients(ip string) platform.PeerClients {
	d := netutil.Dialer(ip, rpcDialTimeout)
	return platform.PeerClients{
		Requests: endpointClient(d, 0),
		Streams:  endpointClient(d, streamIdleConns),
	}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// start starts the log's writer, which runs until the group stops, and logs the
// process's start.
func (p *process) start() {
	p.group.Go(p.log.Run)
	cfg := p.cfg.Load()
	p.set.Gauge("build", metrics.Label{Name: "commit", Value: version.Commit()}).Update(1)
	p.log.Event(eventlog.Started, eventlog.Str("role", p.role), eventlog.Str("version", version.String()), eventlog.Str("commit", version.Commit()),
		eventlog.Str("domain", cfg.Domain), eventlog.Str("ip", cfg.IP))
}

// stop logs the process's end and waits until the log is written.
func (p *process) stop() {
	p.log.Event(eventlog.Stopped, eventlog.Str("role", p.role), eventlog.Int("lines_left_out", p.log.Dropped()))
	p.group.Stop()
}

// server is an address of the process and the HTTP handler that serves it.
type server struct {
	address string
	handler http.Handler
}

const (
	readHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is more than four times the users' limit for how long a
	// connection is kept idle.
	serverIdleTimeout = 65 * time.Second
	maxHeaderBytes    = 64 << 10
)

func (s server) open() (net.Listener, *http.Server, error) {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, nil, err
	}
	return l, &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, nil
}
