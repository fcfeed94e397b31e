// Package loadcmd is the command line of larchwinch-load.
package loadcmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/load"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/spf13/cobra"
)

type options struct {
	file string
	name string
	csv  string
	svg  string
}

// New returns the command, which prints to out.
func New(out io.Writer) *cobra.Command {
	o := options{}
	cmd := &cobra.Command{
		Use:     "larchwinch-load --experiment FILE",
		Short:   "Send load, check every answer, and report what callers saw",
		Version: version.String(),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd, out)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.file, "experiment", "", "TOML file with the experiment (required)")
	f.StringVar(&o.name, "name", "", "name in the report, in place of the experiment's own")
	f.StringVar(&o.csv, "csv", "", "file to append the figures to")
	f.StringVar(&o.svg, "svg", "", "file for a plot")
	_ = cmd.MarkFlagRequired("experiment") // the flag exists
	cmd.AddCommand(fitCommand(out))
	return cmd
}

func (o options) run(cmd *cobra.Command, out io.Writer) error {
	exp, err := load.Read(o.file)
	if err != nil {
		return cmdutil.Usage(err)
	}
	if o.name != "" {
		exp.Name = o.name
	}
	r := load.New(exp, timer.NewSystem())
	limit, err := r.ThroughputBound(cmd.Context())
	if err != nil {
		return err
	}
	began := time.Now()
	report := r.Run(cmd.Context())
	fmt.Fprintf(out, "%s: %s\n", exp.Name, time.Since(began).Round(time.Second))
	if err := report.WriteCSV(out, limit, true); err != nil {
		return err
	}
	if err := o.writeFiles(report, limit); err != nil {
		return err
	}
	if n, some := report.WrongAnswers(); n > 0 {
		return errors.Errorf("%d answers were wrong: %v", n, some)
	}
	return nil
}

func (o options) writeFiles(report *load.Report, limit float64) error {
	if o.svg != "" {
		if err := report.Plot(o.svg); err != nil {
			return err
		}
	}
	if o.csv == "" {
		return nil
	}
	_, err := os.Stat(o.csv)
	f, openErr := os.OpenFile(o.csv, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if openErr != nil {
		return openErr
	}
	defer func() { _ = f.Close() }()
	return report.WriteCSV(f, limit, os.IsNotExist(err))
}
