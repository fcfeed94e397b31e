// Package opcmd is the operators' command line. It has no access to the control
// hosts other than the administration API.
package opcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/opclient"
	"github.com/larchwinch/larchwinch/pkg/version"
	"github.com/spf13/cobra"
)

// options holds the flags and the output that all commands share.
type options struct {
	admin  []string
	key    string
	output string
	out    io.Writer
}

const (
	adminVariable = "LARCHWINCH_ADMIN"
	keyVariable   = "LARCHWINCH_KEY"
	outputTable   = "table"
	outputJSON    = "json"
)

// New returns the command, which prints to out.
func New(out io.Writer) *cobra.Command {
	o := &options{
		out: out,
	}
	cmd := &cobra.Command{
		Use:   "larchwinch",
		Short: "Declare what larchwinch serves, and show its status",
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != outputTable && o.output != outputJSON {
				return cmdutil.Usage(errors.Errorf("--output: %q; allowed: table, json", o.output))
			}
			return nil
		},
	}
	f := cmd.PersistentFlags()
	f.StringSliceVar(&o.admin, "admin", split(os.Getenv(adminVariable)), "administration addresses of control hosts ($"+adminVariable+")")
	f.StringVar(&o.key, "key", os.Getenv(keyVariable), "operator's key, or a caller's for ask ($"+keyVariable+")")
	f.StringVarP(&o.output, "output", "o", outputTable, "table or json")
	cmd.AddCommand(o.bundleCommand(), o.rolloutCommand(), o.statusCommand(), o.replicaCommand(), o.keyCommand(), o.askCommand(), o.explainCommand(), o.versionCommand())
	cmd.SetOut(out)
	return cmd
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// client returns a client of the administration API.
func (o *options) client() (*opclient.Client, error) {
	if len(o.admin) == 0 {
		return nil, cmdutil.Usage(errors.New("no control host: give --admin or set " + adminVariable))
	}
	if o.key == "" {
		return nil, cmdutil.Usage(errors.New("no key: give --key or set " + keyVariable))
	}
	return opclient.New(o.admin, o.key), nil
}

// withExitCode adds the exit code to a failure that the API returned.
func withExitCode(err error) error {
	var f *failure.Error
	if !errors.As(err, &f) {
		return err
	}
	code := cmdutil.ExitRefused
	if f.RetryAfter() > 0 {
		code = cmdutil.ExitRetryLater
	}
	return &cmdutil.ExitError{
		Code: code,
		Err:  err,
	}
}

// table is a command's output in table form.
type table struct {
	header []string
	rows   [][]string
}

// show prints v as JSON, or t as a table.
func (o *options) show(v any, t table) error {
	if o.output == outputJSON {
		enc := json.NewEncoder(o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		fmt.Fprintln(w, strings.Join(t.header, "\t"))
	}
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (o *options) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return o.show(version.String(), table{
				rows: [][]string{{version.String()}},
			})
		},
	}
}
