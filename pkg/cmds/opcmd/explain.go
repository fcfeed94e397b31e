package opcmd

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/larchwinch/larchwinch/pkg/timeline"
	"github.com/spf13/cobra"
)

const stampFormat = "15:04:05.000"

func (o *options) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Explain what happened to a request, from log lines in files or on standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			found := timeline.ForRequest(lines, args[0])
			if len(found) == 0 {
				return &cmdutil.ExitError{
					Code: cmdutil.ExitRefused,
					Err:  errors.Errorf("none of %d log lines mentions request %q", len(lines), args[0]),
				}
			}
			return o.showStory(found)
		},
	}
}

// readLogs reads the named files, or in if no file is named.
func readLogs(in io.Reader, files []string) ([]timeline.Line, error) {
	if len(files) == 0 {
		return timeline.Read(in)
	}
	var all []timeline.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, cmdutil.Usage(err)
		}
		lines, err := timeline.Read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (o *options) showStory(lines []timeline.Line) error {
	t := table{
		header: []string{"TIME", "HOST", "EVENT", "WHAT"},
	}
	var fields []map[string]any
	for i := range lines {
		l := &lines[i]
		t.rows = append(t.rows, []string{l.Time.Format(stampFormat), l.Host, l.Event, l.Text()})
		fields = append(fields, l.Fields)
	}
	return o.show(fields, t)
}
