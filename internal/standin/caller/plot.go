package caller

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot writes the latency by quantile to a file; the extension chooses the
// format, such as .png or .svg.
func (r *Report) Plot(path string) error {
	var points plotter.XYs
	for _, b := range r.histogram.CumulativeDistribution() {
		if b.Quantile < 100 {
			points = append(points, plotter.XY{X: 100 / (100 - b.Quantile), Y: float64(b.ValueAt) / 1000})
		}
	}
	if len(points) == 0 {
		return errors.New("there is no answer to plot")
	}
	p := plot.New()
	p.Title.Text = "Latency from the planned time to the answer"
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 1, Label: "0"},
		{Value: 2, Label: "50%"},
		{Value: 10, Label: "90%"},
		{Value: 100, Label: "99%"},
		{Value: 1000, Label: "99.9%"},
		{Value: 10_000, Label: "99.99%"},
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "plotting the latency")
	}
	p.Add(line, plotter.NewGrid())
	return errors.Wrap(p.Save(16*vg.Centimeter, 10*vg.Centimeter, path), "writing the plot")
}
