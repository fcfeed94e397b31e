package fleetcmd

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleetcontrol"
	"github.com/larchwinch/larchwinch/pkg/fleetentry"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/larchwinch/larchwinch/platform"
	"github.com/oklog/run"
)

const (
	// reloadInterval is how often the settings file is read again, since it may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// directoryMaxAge is how long callers may cache an answer of the directory. A
	// shorter time costs CPU, a longer one keeps callers at hosts that have left.
	directoryMaxAge  = 2 * time.Second
	controlDrainTime = 300 * time.Millisecond
	// replaceTimeout is how long a control host that stops waits until other replicas need
	// no vote of it. A change of the members takes two syncs of their disks.
	replaceTimeout = time.Second
	// closeTimeout is how long closing a server waits for answers to be sent. A handler that has
	// returned needs less than a millisecond.
	closeTimeout = 50 * time.Millisecond
)

func serveControl(p *process) error {
	cfg := p.cfg.Load()
	if err := cfg.CheckControl(); err != nil {
		return cmdutil.Usage(err)
	}
	m := p.newMonitor()
	s := fleetcontrol.New(fleetcontrol.Config{
		Folder: cfg.Data,
		IP:     cfg.IP,
		Port:   cfg.ControlPort(),
		Bootstrap: fleetcontrol.Bootstrap{
			FirstStart: cfg.FirstStart,
			IPs:        cfg.SeedIPs(),
		},
		SeedIPs:         func() []string { return p.cfg.Load().SeedIPs() },
		ToleratedLosses: cfg.Bounds.ToleratedLosses,
		Heartbeat:       cfg.Bounds.Heartbeat.Or(time.Second),
		Decoder:         platform.Decoder{},
		Orders:          platform.NewEndpointClient(p.endpointClients(m)),
		Reachability:    m,
		Client:          p.client,
		Timer:           p.svc,
		Log:             p.log,
		Metrics:         p.set,
	}, p.group)
	m.SetEndpoints(s)
	p.group.Go(m.Run)
	return p.run([]server{
		{address: cfg.Listen.Control, handler: platform.NewControlHandler(s, p.svc, p.log)},
		{address: net.JoinHostPort(cfg.IP, cfg.ControlPort()), handler: fleetcontrol.Forwarded(s.RPC())},
		{address: net.JoinHostPort(cfg.IP, controlMetricsPort), handler: p.set.Handler()},
	}, s.Run, func(ctx context.Context) {
		replaceCtx, cancel := context.WithTimeout(ctx, replaceTimeout)
		defer cancel()
		s.AnnounceStop(replaceCtx)
		_ = timer.Sleep(ctx, p.svc, controlDrainTime) // calls in progress get their answers
	}, replaceTimeout+controlDrainTime)
}

func serveEntry(p *process) error {
	cfg := p.cfg.Load()
	if err := cfg.CheckEntry(); err != nil {
		return cmdutil.Usage(err)
	}
	m := p.newMonitor()
	f := fleetentry.NewControlClient(fleetentry.ControlClientConfig{
		Name:               cfg.Host,
		Domain:             cfg.Domain,
		CallerAddress:      cfg.Listen.Callers,
		Commit:             version.Commit(),
		RelayPort:          cfg.RelayPort(),
		Isolated:           m.Isolated,
		Seeds:              func() []string { return p.cfg.Load().SeedAddresses() },
		MaxRevocationDelay: cfg.Bounds.MaxRevocationDelay(),
		Decoder:            platform.Decoder{},
		Client:             p.client,
		Timer:              p.svc,
		Log:                p.log,
	})
	budget := gateway.RetryBudget{
		Ratio:  cfg.Bounds.RetryRatio,
		Extra:  cfg.Bounds.RetryExtra,
		Window: cfg.Bounds.RetryWindow.Or(time.Second),
	}
	m.SetEndpoints(f)
	m.EnableIdleQueries()
	g := gateway.New(gateway.Config{
		Domain:       cfg.Domain,
		Endpoints:    platform.NewEndpointClient(p.endpointClients(m)),
		Peers:        platform.NewPeerClient(peerClients(cfg.IP)),
		Reachability: m,
		Source:       f,
		Budget:       budget,
		Timer:        p.svc,
		Log:          p.log,
		Metrics:      p.set,
		AnswerMemory: int(cfg.MemoryMB * answerMemoryRatio * (1 << 20)),
	})
	f.SetSources(fleetentry.Sources{
		Loads:      g.Tracker(),
		Quarantine: g.Quarantine(),
		Backoffs:   g.Backoffs(),
		Permits:    g.Permits(),
		Admission:  g.Admission(),
		Full:       g.FullEndpoints(),
	})
	p.group.Go(m.Run)
	grace := cfg.Bounds.Grace.Or(time.Second)
	host := fleetentry.NewHost(f, grace, p.svc, p.log)
	maxAge := min(directoryMaxAge, cfg.Bounds.DirectoryMaxAge.Or(directoryMaxAge))
	return p.run([]server{
		{address: cfg.Listen.Callers, handler: platform.NewCallerHandler(g, host, p.svc)},
		{address: net.JoinHostPort(cfg.IP, cfg.RelayPort()), handler: platform.NewRelayHandler(g, host, p.svc)},
		{address: cfg.Listen.Ready, handler: platform.NewReadinessHandler(host)},
		{address: cfg.Listen.Directory, handler: platform.NewDirectoryHandler(host, maxAge)},
		{address: net.JoinHostPort(cfg.IP, entryMetricsPort), handler: p.set.Handler()},
	}, func(ctx context.Context) error {
		f.Run(ctx)
		return nil
	}, host.Drain, grace)
}

// run serves until a signal arrives. It then calls drain, which returns once no
// request is in flight, and waits for it at most for grace.
func (p *process) run(servers []server, work func(ctx context.Context) error, drain func(ctx context.Context), grace time.Duration) error {
	g := &run.Group{}
	var opened []*http.Server
	stop := sync.OnceFunc(func() {
		closeServers(opened)
	})
	for _, s := range servers {
		l, srv, err := s.open()
		if err != nil {
			return err
		}
		opened = append(opened, srv)
		g.Add(func() error {
			return ignoreClosed(srv.Serve(l))
		}, func(error) {
			stop()
		})
	}
	p.start()
	defer p.stop()
	cmdutil.AddLoop(g, work)
	cmdutil.AddLoop(g, p.watchSettings)
	cmdutil.AddSignals(g, grace, drain)
	return g.Run()
}

// closeServers closes servers. The answers of handlers that have returned are sent before that.
func closeServers(list []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	g := group.New(ctx)
	for _, srv := range list {
		g.Go(func(ctx context.Context) {
			_ = srv.Shutdown(ctx) // fails while a handler is running
			_ = srv.Close()       // the process is about to exit
		})
	}
	g.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// watchSettings reloads the settings file on SIGHUP, and when a check at every
// reloadInterval finds that it has changed.
func (p *process) watchSettings(ctx context.Context) error {
	ticks := p.svc.Every(reloadInterval)
	defer ticks.Stop()
	last, _ := os.ReadFile(p.file) // it was readable when the process started
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-p.hangups:
			signalled = true
		case <-ticks.C():
		}
		text, err := os.ReadFile(p.file)
		if err != nil {
			p.log.Event(eventlog.Unexpected, eventlog.Str("what", "the settings file can't be read; the old settings stay"), eventlog.Err(err))
			continue
		}
		if !signalled && bytes.Equal(text, last) {
			continue
		}
		last = text
		p.reload()
	}
}

// reload applies the seeds from the settings file. Other changed settings take
// effect only when the process restarts.
func (p *process) reload() {
	next, err := config.ReadFleet(p.file)
	if err != nil {
		p.log.Event(eventlog.Unexpected, eventlog.Str("what", "the settings are wrong; the old ones stay"), eventlog.Err(err))
		return
	}
	old := p.cfg.Load()
	merged := *old
	merged.Seeds = next.Seeds
	p.cfg.Store(&merged)
	p.log.Event(eventlog.Reloaded, eventlog.Str("what", "settings"), eventlog.Int("seeds", int64(len(next.Seeds))))
}
