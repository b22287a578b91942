package scale

import (
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"wardtray/apierror"
)

// plotted are the figures of the plot, each as a part of its bound.
var plotted = []struct {
	name  string
	value func(run Run) (float64, bool)
	bound float64
}{
	{"daemon: processor", figure("quiet", "daemon.processor", 1), boundProcessor},
	{"daemon: bytes in quiet", figure("quiet", "daemon.bytes_all", 1), boundBytes},
	{"daemon: bytes for changes", added("change", "daemon.bytes_all", "acknowledged.count", aimChanges), boundBytes},
	{"daemon: heap", figure("quiet", "daemon.heap", 1), boundMemory},
	{"head: processor", figure("quiet", "head.processor", 1), boundCoreProcessor},
	{"head: memory", figure("quiet", "head.resident", 1), boundCoreMemory},
}

// Plot draws how the main figures grow with the number of daemons, as parts of their bounds.
func (results Results) Plot(path string) error {
	drawn := plot.New()
	drawn.Title.Text = "Hollow fleets: figures as parts of their bounds"
	drawn.X.Label.Text, drawn.Y.Label.Text = "data daemons", "part of the bound"
	drawn.X.Scale, drawn.Y.Scale = plot.LogScale{}, plot.LogScale{}
	drawn.X.Tick.Marker, drawn.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	drawn.Legend.Top, drawn.Legend.Left = true, true
	var lines []any
	least, most := 1e9, 1.0
	for _, wanted := range plotted {
		var line plotter.XYs
		for _, run := range results.Runs {
			if value, found := wanted.value(run); found && value > 0 {
				size := float64(run.Daemons)
				line = append(line, plotter.XY{X: size, Y: value / wanted.bound})
				least, most = min(least, size), max(most, size)
			}
		}
		sort.Slice(line, func(left, right int) bool { return line[left].X < line[right].X })
		if len(line) > 0 {
			lines = append(lines, wanted.name, line)
		}
	}
	if len(lines) == 0 {
		return apierror.New(apierror.NotFound, "no run has a figure to plot")
	}
	lines = append(lines, "bound", plotter.XYs{{X: least, Y: 1}, {X: max(most, least+1), Y: 1}})
	if err := plotutil.AddLinePoints(drawn, lines...); err != nil {
		return apierror.Wrap(err, apierror.Internal, "plotting")
	}
	return apierror.Wrap(drawn.Save(20*vg.Centimeter, 14*vg.Centimeter, path), apierror.Internal, "writing %s", path)
}
