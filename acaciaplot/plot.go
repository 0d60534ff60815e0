package acaciaplot

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/acaciaroute/acaciaroute/acaciaexperiment"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4.5 * vg.Inch

	directoryMode = 0o755
)

// WriteScenarioPlots writes a PNG file into dir for each scenario of a workload. Each plot
// shows, with a line for each policy, the share of requests within their targets over time.
func WriteScenarioPlots(dir string, workload acaciaexperiment.Workload, rows []acaciaexperiment.Measures) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	scenarios := map[string][]acaciaexperiment.Measures{}
	for _, row := range rows {
		scenarios[row.Scenario] = append(scenarios[row.Scenario], row)
	}
	for scenario, policies := range scenarios {
		path := filepath.Join(dir, fmt.Sprintf("%s_%s.png", workload.Name, scenario))
		if err := writePlot(path, workload.Name+", "+scenario, policies); err != nil {
			return err
		}
	}
	return nil
}

// writePlot draws one scenario, with a line for each policy, and saves it at path.
func writePlot(path, title string, policies []acaciaexperiment.Measures) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time of arrival in seconds"
	p.Y.Label.Text = "share within targets"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	var lines []any
	for _, policy := range policies {
		lines = append(lines, policy.Policy, seriesPoints(policy))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// seriesPoints returns the share within targets over the time of arrival in seconds.
func seriesPoints(row acaciaexperiment.Measures) plotter.XYs {
	xys := make(plotter.XYs, len(row.GoodputSeries))
	for i, share := range row.GoodputSeries {
		xys[i].X = float64(i) * acaciaexperiment.GoodputSeriesStep.Seconds()
		xys[i].Y = share
	}
	return xys
}
