// Package controlcmd is the command line of larchwinch-control.
package controlcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/control"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/keys"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/store"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/oklog/run"
	"github.com/spf13/cobra"
)

const drainTimeout = 5 * time.Second

type options struct {
	file  string
	check bool
	start control.Start
}

// New returns the command.
func New() *cobra.Command {
	o := options{}
	cmd := &cobra.Command{
		Use:     "larchwinch-control --config FILE",
		Short:   "Run a replica of larchwinch's own state",
		Version: version.String(),
		Args:    cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			cfg, err := config.ReadControl(o.file)
			if err != nil {
				return cmdutil.Usage(err)
			}
			if o.check {
				fmt.Println(o.file + ": good")
				return nil
			}
			return serve(cfg, o.start)
		},
	}
	cmd.Flags().StringVar(&o.file, "config", "", "settings file (required)")
	cmd.Flags().BoolVar(&o.check, "check", false, "check the settings, and do nothing else")
	cmd.Flags().BoolVar(&o.start.NewCluster, "new-cluster", false, "bootstrap a cluster of the replicas in the settings, if the data folder is empty")
	cmd.Flags().BoolVar(&o.start.Join, "join", false, "start with an empty data folder, as a replica that operators have added")
	_ = cmd.MarkFlagRequired("config") // the flag exists
	return cmd
}

func serve(cfg *config.Control, start control.Start) error {
	if err := logflags.Setup(cfg.Log); err != nil {
		return cmdutil.Usage(err)
	}
	disk, err := store.OpenFolder(cfg.Data)
	if err != nil {
		return err
	}
	defer func() { _ = disk.Close() }()
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
	s, err := control.New(cfg, disk, start, timer.NewSystem(), clients, set, work)
	if err != nil {
		return err
	}
	var g run.Group
	err = cmdutil.AddListeners(&g, []cmdutil.Listener{
		{Address: cfg.RPCAddress, Handler: s.RPC(), Credentials: pair},
		{Address: cfg.AdminAddress, Handler: s.Admin()},
		{Address: cfg.Metrics, Handler: set.Handler()},
	})
	if err != nil {
		return err
	}
	cmdutil.AddLoop(&g, s.Run)
	cmdutil.AddSignals(&g, drainTimeout, func(context.Context) {})
	return g.Run()
}

func newClients(address string, pair *keys.Credentials) (control.Clients, error) {
	platform, err := netutil.NewClient(address)
	if err != nil {
		return control.Clients{}, err
	}
	rpc, err := netutil.NewRPCClient(address, pair)
	return control.Clients{
		Platform: platform,
		RPC:      rpc,
	}, err
}
