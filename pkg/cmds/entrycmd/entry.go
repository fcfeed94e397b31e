// Package entrycmd is the command line of larchwinch-entry.
package entrycmd

import (
	"context"
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/entry"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/keys"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/oklog/run"
	"github.com/spf13/cobra"
)

const defaultDrain = 2 * time.Minute

// New returns the command.
func New() *cobra.Command {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:     "larchwinch-entry --config FILE",
		Short:   "Serve callers on an entry host",
		Version: version.String(),
		Args:    cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			cfg, err := config.ReadEntry(file)
			if err != nil {
				return cmdutil.Usage(err)
			}
			if check {
				fmt.Println(file + ": good")
				return nil
			}
			return serve(cfg)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file (required)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings, and do nothing else")
	_ = cmd.MarkFlagRequired("config") // the flag exists
	return cmd
}

func serve(cfg *config.Entry) error {
	if err := logflags.Setup(cfg.Log); err != nil {
		return cmdutil.Usage(err)
	}
	pair, err := cmdutil.LoadCredentials(cfg.TLS)
	if err != nil {
		return err
	}
	clients, err := newClients(cfg.RPCAddress, pair)
	if err != nil {
		return err
	}
	set := metrics.New()
	work := group.New(context.Background())
	defer work.Stop()
	s, err := entry.New(cfg, timer.NewSystem(), clients, set, work)
	if err != nil {
		return err
	}
	var g run.Group
	err = cmdutil.AddListeners(&g, []cmdutil.Listener{
		{Address: cfg.CallerAddress, Handler: s.Handler()},
		{Address: cfg.RPCAddress, Handler: s.RPC(), Credentials: pair},
		{Address: cfg.Metrics, Handler: set.Handler()},
	})
	if err != nil {
		return err
	}
	cmdutil.AddSignals(&g, cfg.DrainTimeout.Or(defaultDrain), func(ctx context.Context) {
		s.Drain(ctx)
	})
	s.Start()
	return g.Run()
}

func newClients(address string, pair *keys.Credentials) (entry.Clients, error) {
	endpoints, err := netutil.NewClient(address)
	if err != nil {
		return entry.Clients{}, err
	}
	once, err := netutil.NewUnpooledClient(address)
	if err != nil {
		return entry.Clients{}, err
	}
	rpc, err := netutil.NewRPCClient(address, pair)
	return entry.Clients{
		Endpoints: endpoints,
		Once:      once,
		RPC:       rpc,
	}, err
}
