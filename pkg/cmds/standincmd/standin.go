// Package standincmd is the command line of larchwinch-standin, which runs fakes
// of model engines, of plain services and of the platform's host list.
package standincmd

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/standin/engine"
	"github.com/larchwinch/larchwinch/pkg/standin/hostlist"
	"github.com/larchwinch/larchwinch/pkg/standin/service"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/oklog/run"
	"github.com/spf13/cobra"
)

const exitKilled = 137

// New returns the command.
func New() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "larchwinch-standin",
		Short:   "Run a fake model engine, plain service or host list of the platform",
		Version: version.String(),
	}
	cmd.AddCommand(engineCommand(), serviceCommand(), hostListCommand(), faultCommand(), sessionsCommand())
	return cmd
}

func engineCommand() *cobra.Command {
	cfg := engine.Config{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a fake model engine that holds a range of layers",
		Args:  cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			return serveEngine(cfg)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Address, "address", "", "IP number and port to listen on (required)")
	f.StringVar(&cfg.Model, "model", "", "name of the model (required)")
	f.StringVar(&cfg.ModelVersion, "model-version", "1", "version of the model")
	f.IntVar(&cfg.FirstLayer, "first-layer", 0, "first layer held")
	f.IntVar(&cfg.EndLayer, "end-layer", 0, "one past the last layer held (required)")
	f.StringVar(&cfg.Accelerator, "accelerator", "medium", "kind of accelerator: "+strings.Join(engine.Accelerators(), ", "))
	f.IntVar(&cfg.Slots, "slots", 0, "maximum number of open sessions; 0 for the default")
	f.IntVar(&cfg.Batch, "batch", 0, "maximum number of sequences in one pass; 0 for the default")
	f.DurationVar(&cfg.ReportLag, "report-lag", time.Second, "by how much load reports lag")
	f.Float64Var(&cfg.Scale, "scale", 1, "multiply the time of each pass, to run many engines on one computer")
	f.BoolVar(&cfg.RejectStaleOrders, "checks-orders", true, "reject orders that are not newer than the newest one accepted")
	for _, name := range []string{"address", "model", "end-layer"} {
		_ = cmd.MarkFlagRequired(name) // the flag exists
	}
	return cmd
}

func serveEngine(cfg engine.Config) error {
	if _, ok := engine.CurveOf(cfg.Accelerator); !ok {
		return cmdutil.Usage(errors.Errorf("--accelerator: unknown kind %q; allowed: %s", cfg.Accelerator, strings.Join(engine.Accelerators(), ", ")))
	}
	if cfg.FirstLayer < 0 || cfg.EndLayer <= cfg.FirstLayer {
		return cmdutil.Usage(errors.Errorf("--first-layer %d and --end-layer %d: the range is empty", cfg.FirstLayer, cfg.EndLayer))
	}
	client, err := netutil.NewClient(cfg.Address)
	if err != nil {
		return cmdutil.Usage(err)
	}
	cfg.Client = client
	cfg.Timer = timer.NewSystem()
	cfg.Incarnation = uint64(time.Now().UnixNano())
	cfg.Die = func() {
		os.Exit(exitKilled)
	}
	work := group.New(context.Background())
	defer work.Stop()
	return serve(cfg.Address, engine.New(cfg, work).Handler())
}

func serviceCommand() *cobra.Command {
	var address, name string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a fake plain service that counts how often each call ran",
		Args:  cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			s := service.New(name, uint64(time.Now().UnixNano()), timer.NewSystem())
			return serve(address, s.Handler())
		},
	}
	cmd.Flags().StringVar(&address, "address", "", "IP number and port to listen on (required)")
	cmd.Flags().StringVar(&name, "service", "", "name of the service (required)")
	for _, flag := range []string{"address", "service"} {
		_ = cmd.MarkFlagRequired(flag) // the flag exists
	}
	return cmd
}

func hostListCommand() *cobra.Command {
	var address, file string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "host-list",
		Short: "Run a fake of the platform's host list, which lags",
		Args:  cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			list, err := readList(file)
			if err != nil {
				return cmdutil.Usage(err)
			}
			return serve(address, hostlist.New(timer.NewSystem(), lag, list).Handler())
		},
	}
	cmd.Flags().StringVar(&address, "address", "", "IP number and port to listen on (required)")
	cmd.Flags().StringVar(&file, "hosts", "", "JSON file with the first list (required)")
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "by how much the list lags")
	for _, flag := range []string{"address", "hosts"} {
		_ = cmd.MarkFlagRequired(flag) // the flag exists
	}
	return cmd
}

func readList(file string) (api.HostList, error) {
	list := api.HostList{}
	text, err := os.ReadFile(file)
	if err != nil {
		return list, errors.Wrap(err, "--hosts")
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return list, errors.Wrap(err, "--hosts "+file)
	}
	return list, nil
}

func serve(address string, h http.Handler) error {
	s, err := netutil.Listen(address, h)
	if err != nil {
		return err
	}
	var g run.Group
	cmdutil.AddServer(&g, s)
	cmdutil.AddSignals(&g, time.Second, func(ctx context.Context) {
		_ = s.Shutdown(ctx) // open connections are closed when the process ends
	})
	return g.Run()
}
