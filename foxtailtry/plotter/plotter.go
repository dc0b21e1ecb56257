// Package plotter plots goodput by tier over time.
package plotter

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"foxtaillug.org/foxtailtry/tallier"
)

// Size of the plot.
const (
	width  = 9 * vg.Inch
	height = 5 * vg.Inch
)

// Save plots a report to a file, in the format of its extension, such as .svg
// or .png.
func Save(r tallier.Report, path string) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "plot %s", path)
		}
	}()
	p := plot.New()
	p.Title.Text = "Fraction of requests completed in time"
	p.X.Label.Text = "second in which the request was sent"
	p.Y.Label.Text = "fraction"
	p.Y.Min, p.Y.Max = 0, 1.05
	for i, t := range r.Tiers {
		line, err := plotter.NewLine(goodFractions(t))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(t.Tier, line)
	}
	if r.DrainedDomain != "" {
		if err := markDrain(p, r); err != nil {
			return err
		}
	}
	return p.Save(width, height, path)
}

// goodFractions returns the fraction of good requests of a tier by the second
// in which they were sent.
func goodFractions(t tallier.TierReport) plotter.XYs {
	var xys plotter.XYs
	for i, issued := range t.IssuedBySecond {
		if issued > 0 {
			xys = append(xys, plotter.XY{X: float64(i), Y: float64(t.GoodBySecond[i]) / float64(issued)})
		}
	}
	return xys
}

// markDrain draws vertical lines at the start and the end of the drain.
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
