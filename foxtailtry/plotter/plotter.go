// Package plotter draws goodput by tier over time.
package plotter

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"foxtaillug.org/foxtailtry/tallier"
)

// Size of a plot.
const (
	width  = 9 * vg.Inch
	height = 5 * vg.Inch
)

// Save draws a report to a file, SVG or PNG by its ending.
func Save(r tallier.Report, path string) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "plot %s", path)
		}
	}()
	p := plot.New()
	p.Title.Text = "Part of requests answered whole and in time"
	p.X.Label.Text = "second in which the request came"
	p.Y.Label.Text = "part"
	p.Y.Min, p.Y.Max = 0, 1.05
	for i, t := range r.Tiers {
		line, err := plotter.NewLine(points(t))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(t.Tier, line)
	}
	if r.Drained != "" {
		if err := markDrain(p, r); err != nil {
			return err
		}
	}
	return p.Save(width, height, path)
}

// points returns a tier's part of good requests by second.
func points(t tallier.TierReport) plotter.XYs {
	var xys plotter.XYs
	for i, issued := range t.IssuedBySecond {
		if issued > 0 {
			xys = append(xys, plotter.XY{X: float64(i), Y: float64(t.GoodBySecond[i]) / float64(issued)})
		}
	}
	return xys
}

// markDrain draws lines where a failure domain leaves and returns.
func markDrain(p *plot.Plot, r tallier.Report) error {
	for _, x := range []float64{r.DrainFrom, r.DrainTo} {
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: 1.05}})
		if err != nil {
			return err
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		p.Add(line)
	}
	return nil
}
