package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// writeBalance writes one JSON line per run, one CSV line per scenario and
// phase with means over the seeds, and the plots.
func writeBalance(directory string, summaries []summary, results []*result) error {
	if err := writeFile(directory, "balance.jsonl", func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		for _, s := range summaries {
			if err := encoder.Encode(s); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return err
	}
	rows := averages(summaries)
	if err := writeFile(directory, "balance.csv", func(w io.Writer) error { return writeRows(w, rows) }); err != nil {
		return err
	}
	if err := writeFile(directory, "timeline.csv", func(w io.Writer) error { return writeTimeline(w, results) }); err != nil {
		return err
	}
	if err := plotBounds(filepath.Join(directory, "balance_bound.png"), rows); err != nil {
		return err
	}
	return plotTimeline(filepath.Join(directory, "timeline.png"), results)
}

func writeFile(directory, name string, write func(io.Writer) error) error {
	f, err := os.Create(filepath.Join(directory, name))
	if err != nil {
		return errors.Wrap(err, "create a result file")
	}
	err = write(f)
	return errors.Wrapf(errors.CombineErrors(err, f.Close()), "write %s", name)
}

// row is a scenario and phase with means over the seeds.
type row struct {
	summary
	phase string
	runs  int
	values
}

// values are the columns that are averaged, in the order of columnNames.
type values [len(columnNames)]float64

var columnNames = [...]string{
	"sessions_mean", "sessions_p99", "sessions_max", "above_1_05", "above_1_15",
	"in_progress_window", "in_progress_phase", "recorded_mean", "recorded_max",
	"seconds_to_1_05", "seconds_to_1_15", "above_later_1_05", "above_later_1_15", "rush", "newcomer_peak",
}

// The columns that the plots show.
const (
	columnSessionsP99  = 1
	columnRecordedMean = 7
)

func columns(s *summary, phase string) values {
	p := s.Phases[phase]
	v := values{
		p.SessionsMean, p.SessionsP99, p.SessionsMax, p.Above105, p.Above115,
		p.InProgressWindow, p.InProgressPhase, p.RecordedMean, p.RecordedMax,
	}
	if phase == phaseNames[1] {
		copy(v[9:], []float64{s.SecondsTo105, s.SecondsTo115, s.AboveLater105, s.AboveLater115, s.Rush, s.NewcomerPeak})
	}
	return v
}

// averages joins the runs that differ only by their seed, which follow each
// other in the input.
func averages(summaries []summary) []row {
	var rows []row
	for i := range summaries {
		s := &summaries[i]
		for _, name := range phaseNames {
			j := slices.IndexFunc(rows, func(r row) bool {
				return r.phase == name && r.Policy == s.Policy && r.Hosts == s.Hosts && r.Targets == s.Targets && r.Sessions == s.Sessions &&
					r.Lifetime == s.Lifetime
			})
			if j < 0 {
				j = len(rows)
				rows = append(rows, row{summary: *s, phase: name})
			}
			r := &rows[j]
			r.runs++
			for c, v := range columns(s, name) {
				r.values[c] += (v - r.values[c]) / float64(r.runs)
			}
		}
	}
	return rows
}

func writeRows(w io.Writer, rows []row) error {
	out := csv.NewWriter(w)
	header := append([]string{"policy", "hosts", "targets", "sessions", "lifetime", "phase", "runs"}, columnNames[:]...)
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range rows {
		record := []string{
			r.Policy, strconv.Itoa(r.Hosts), strconv.Itoa(r.Targets), strconv.Itoa(r.Sessions),
			fmt.Sprint(r.Lifetime), r.phase, strconv.Itoa(r.runs),
		}
		for _, v := range r.values {
			record = append(record, strconv.FormatFloat(v, 'f', 4, 64))
		}
		if err := out.Write(record); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// timelineResults returns the first run of each policy in the scenario that
// the time line shows.
func timelineResults(results []*result) []*result {
	var list []*result
	for _, r := range results {
		selected := r.hosts == timelineHosts && r.targets == timelineTargets && r.sessions == timelineSessions &&
			r.lifetime == timelineLifetime
		known := slices.ContainsFunc(list, func(o *result) bool { return o.policy.name == r.policy.name })
		if selected && !known {
			list = append(list, r)
		}
	}
	return list
}

// timelineStep is the number of samples between two lines of the time line.
const timelineStep = 5

func writeTimeline(w io.Writer, results []*result) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"policy", "seconds_after_join", "imbalance", "newcomer_over_mean"}); err != nil {
		return err
	}
	for _, r := range timelineResults(results) {
		for i := 0; i < len(r.timeline); i += timelineStep {
			p := r.timeline[i]
			if err := out.Write([]string{
				r.policy.name, fmt.Sprint((p.at - r.joinAt()).Seconds()),
				strconv.FormatFloat(p.imbalance, 'f', 4, 64), strconv.FormatFloat(p.newcomer, 'f', 4, 64),
			}); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}

// plotBounds draws, over the balance bound, the imbalance by sessions above
// and the share of recorded flows below, both in the steady phase.
func plotBounds(path string, rows []row) error {
	var plots [][]*plot.Plot
	for _, c := range []struct {
		column int
		label  string
	}{{columnSessionsP99, "imbalance by sessions (p99)"}, {columnRecordedMean, "share of recorded flows"}} {
		p := plot.New()
		p.X.Label.Text = "balance_bound"
		p.Y.Label.Text = c.label
		p.Y.Tick.Marker = plot.TickerFunc(decimals)
		p.Legend.Top = true
		p.Add(plotter.NewGrid())
		var lines []any
		var names []string
		points := make(map[string]plotter.XYs)
		for _, r := range rows {
			if r.Bound == 0 || r.phase != phaseNames[0] || r.Hosts != timelineHosts || r.Lifetime != timelineLifetime.Seconds() {
				continue
			}
			name := fmt.Sprintf("%d targets, %d sessions", r.Targets, r.Sessions)
			if points[name] == nil {
				names = append(names, name)
			}
			points[name] = append(points[name], plotter.XY{X: r.Bound, Y: r.values[c.column]})
		}
		for _, name := range names {
			lines = append(lines, name, points[name])
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return errors.Wrap(err, "plot the bounds")
		}
		// Space for the legend above the lines.
		p.Y.Max += (p.Y.Max - p.Y.Min) / 2
		plots = append(plots, []*plot.Plot{p})
	}
	return savePlots(path, plots)
}

// plotTimeline draws the imbalance by sessions over time around the join and
// the drain.
func plotTimeline(path string, results []*result) error {
	p := plot.New()
	p.X.Label.Text = "seconds after the join"
	p.Y.Label.Text = "imbalance by sessions"
	p.Y.Tick.Marker = plot.TickerFunc(decimals)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, r := range timelineResults(results) {
		// Random placement and the wide bounds would hide the others.
		if r.policy.home == nil || r.policy.bound > goals[1] {
			continue
		}
		var points plotter.XYs
		for _, sample := range r.timeline {
			points = append(points, plotter.XY{X: (sample.at - r.joinAt()).Seconds(), Y: sample.imbalance})
		}
		lines = append(lines, r.policy.name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot the time line")
	}
	return savePlots(path, [][]*plot.Plot{{p}})
}

// decimals labels the ticks with three decimals. The default rounds values such
// as 1.05 and 1.10 to the same label.
func decimals(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'f', 3, 64)
		}
	}
	return ticks
}

// savePlots writes plots in rows below each other.
func savePlots(path string, plots [][]*plot.Plot) error {
	image := vgimg.New(9*vg.Inch, vg.Length(len(plots))*4.5*vg.Inch)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Millimeter * 4}
	for i, canvases := range plot.Align(plots, tiles, draw.New(image)) {
		plots[i][0].Draw(canvases[0])
	}
	return writeFile(filepath.Dir(path), filepath.Base(path), func(w io.Writer) error {
		_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(w)
		return err
	})
}
