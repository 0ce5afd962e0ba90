package reporter

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wagtailcroft/wagtailcroft/bench/replayer"
)

const (
	width  = 16 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// PlotTradeoff draws the completion ratio of large gangs over the mean number of stranded
// accelerators. There is one curve for each of the two deployments, with one point for each
// policy.
func PlotTradeoff(rows []Row, path string) error {
	pl := plot.New()
	pl.Title.Text = "Completion against fragmentation"
	pl.X.Label.Text = "stranded accelerators, mean"
	pl.Y.Label.Text = "completion of large gangs, mean ratio"
	var curves []any
	for _, name := range []string{"Thengola", "Derwent"} {
		points, labels := pointsOf(rows, name)
		curves = append(curves, name, points)
		texts, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: labels})
		if err != nil {
			return eris.Wrap(err, "label the curves")
		}
		pl.Add(texts)
	}
	if err := plotutil.AddLinePoints(pl, curves...); err != nil {
		return eris.Wrap(err, "draw the curves")
	}
	return eris.Wrap(pl.Save(width, height, path), "write the curves")
}

func pointsOf(rows []Row, name string) (plotter.XYs, []string) {
	var points plotter.XYs
	var labels []string
	for _, row := range rows {
		if row.Load.Name == name {
			points = append(points, plotter.XY{X: row.Result.StrandedMean(), Y: replayer.Mean(row.Result.Large)})
			labels = append(labels, row.Policy)
		}
	}
	return points, labels
}
