package loadcmd

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
)

// fitCommand returns a command that fits a straight line through two columns of a
// CSV file and prints the line's value at a size that was not measured.
func fitCommand(out io.Writer) *cobra.Command {
	var at float64
	cmd := &cobra.Command{
		Use:   "fit FILE X Y",
		Short: "Fit a line through columns X and Y of a CSV file",
		Args:  cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			x, y, err := columns(args[0], args[1], args[2])
			if err != nil {
				return cmdutil.Usage(err)
			}
			intercept, slope := stat.LinearRegression(x, y, nil, false)
			r2 := stat.RSquared(x, y, nil, intercept, slope)
			_, err = fmt.Fprintf(out, "%s = %.4g + %.4g * %s over %d sizes, R^2 %.4f; at %g: %.4g\n",
				args[2], intercept, slope, args[1], len(x), r2, at, intercept+slope*at)
			return err
		},
	}
	cmd.Flags().Float64Var(&at, "at", 0, "size at which to evaluate the line")
	return cmd
}

func columns(file, nameX, nameY string) (x, y []float64, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) < 2 {
		return nil, nil, errors.Errorf("%s: no CSV table with a header and at least one row: %v", file, err)
	}
	columnX, columnY := indexOf(rows[0], nameX), indexOf(rows[0], nameY)
	if columnX < 0 || columnY < 0 {
		return nil, nil, errors.Errorf("%s has no columns %q and %q; it has %v", file, nameX, nameY, rows[0])
	}
	for _, row := range rows[1:] {
		vx, errX := strconv.ParseFloat(row[columnX], 64)
		vy, errY := strconv.ParseFloat(row[columnY], 64)
		if errX != nil || errY != nil {
			return nil, nil, errors.Errorf("%s: row %v has no numbers in the chosen columns", file, row)
		}
		x = append(x, vx)
		y = append(y, vy)
	}
	return x, y, nil
}

func indexOf(list []string, name string) int {
	for i, s := range list {
		if s == name {
			return i
		}
	}
	return -1
}
