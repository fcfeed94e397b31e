package load

import (
	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/version"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the cumulative distributions of the time to the first token and of the
// time between tokens, to an SVG file.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.exp.Name + ", larchwinch " + version.Number
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of times below"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	t := r.total()
	err := plotutil.AddLines(p,
		"to the first token", curve(t.firstToken.ValueAtQuantile),
		"between tokens", curve(t.gaps.ValueAtQuantile))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}

func curve(at func(q float64) int64) plotter.XYs {
	var xy plotter.XYs
	for q := 1.0; q <= 99.9; q += 0.3 {
		ms := float64(at(q)) / 1000
		if ms <= 0 {
			continue
		}
		xy = append(xy, plotter.XY{
			X: ms,
			Y: q / 100,
		})
	}
	if len(xy) == 0 {
		xy = plotter.XYs{{X: 1, Y: 0}, {X: 2, Y: 0}}
	}
	return xy
}
