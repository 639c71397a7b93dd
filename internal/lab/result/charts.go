package result

import (
	"encoding/csv"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Point holds the counts of a run from its start to a second.
type Point struct {
	Second                               int
	Received, Answered, Rejected, Failed int
	Changes                              int
	EarnedShare                          float64 // so far; see Summary
}

// PointOf returns the point of a run's summary so far.
func PointOf(second int, s Summary) Point {
	return Point{second, s.Received, s.Answered, s.Rejected, s.Failed, s.Changes, s.EarnedShare}
}

const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
)

// WriteSeries writes the points of a run into a directory as series.csv. It draws charts of the requests answered,
// rejected and failed in each second and of the earned share so far.
func WriteSeries(dir string, points []Point) error {
	f, err := os.Create(filepath.Join(dir, "series.csv"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	_ = w.Write([]string{"second", "taken", "answered", "refused", "failed", "changes", "worth"})
	for _, p := range points {
		_ = w.Write([]string{strconv.Itoa(p.Second), strconv.Itoa(p.Received), strconv.Itoa(p.Answered),
			strconv.Itoa(p.Rejected), strconv.Itoa(p.Failed), strconv.Itoa(p.Changes),
			strconv.FormatFloat(p.EarnedShare, 'f', 6, 64)})
	}
	if w.Flush(); w.Error() != nil {
		return w.Error()
	}
	if len(points) < 2 {
		return nil
	}
	ends := plot.New()
	ends.Title.Text, ends.X.Label.Text, ends.Y.Label.Text = "Queries that ended in each second", "s", "queries"
	perSecond := func(count func(Point) int) plotter.XYs {
		var xy plotter.XYs
		for i := 1; i < len(points); i++ {
			xy = append(xy, plotter.XY{X: float64(points[i].Second),
				Y: float64(count(points[i]) - count(points[i-1]))})
		}
		return xy
	}
	if err := plotutil.AddLines(ends, "answered", perSecond(func(p Point) int { return p.Answered }),
		"refused", perSecond(func(p Point) int { return p.Rejected }), "failed",
		perSecond(func(p Point) int { return p.Failed }),
		"changes of the map", perSecond(func(p Point) int { return p.Changes })); err != nil {
		return err
	}
	ends.Legend.Top = true
	if err := ends.Save(chartWidth, chartHeight, filepath.Join(dir, "ends.svg")); err != nil {
		return err
	}
	earned := plot.New()
	earned.Title.Text, earned.X.Label.Text, earned.Y.Label.Text = "Worth in time over worth asked, so far", "s",
		"share"
	var xy plotter.XYs
	for _, p := range points {
		xy = append(xy, plotter.XY{X: float64(p.Second), Y: p.EarnedShare})
	}
	if err := plotutil.AddLines(earned, xy); err != nil {
		return err
	}
	earned.Y.Min, earned.Y.Max = 0, 1.02
	return earned.Save(chartWidth, chartHeight, filepath.Join(dir, "worth.svg"))
}

// WriteRuns draws a histogram of the earned share of the runs, if there are several.
func WriteRuns(dir string, s Summary) error {
	var shares plotter.Values
	for _, r := range s.Runs {
		shares = append(shares, r.EarnedShare)
	}
	if len(shares) < 2 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Seeds by their worth", "worth in time over worth asked",
		"seeds"
	histogram, err := plotter.NewHist(shares, min(40, len(shares)))
	if err != nil {
		return err
	}
	p.Add(histogram)
	return p.Save(chartWidth, chartHeight, filepath.Join(dir, "seeds.svg"))
}

// reportTemplate is the page that Report writes.
var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Summary.Name}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}td,th{padding:.1em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#b00}img{max-width:100%}</style></head><body>
<h1>{{.Summary.Name}}: {{.Summary.Arm}}, {{.Summary.Mode}}</h1>
<p{{if .Summary.Violations}} class="bad"{{end}}>
{{if .Summary.Violations}}Rules were broken {{.Summary.Violations}} times.{{else}}No rule was broken.{{end}}
{{.Summary.Received}} queries were taken: {{.Summary.Answered}} answered, {{.Summary.Rejected}} refused,
{{.Summary.Failed}} failed. Worth in time over worth asked: {{printf "%.4f" .Summary.EarnedShare}}.</p>
{{range .Summary.Notes}}<p class="bad">{{.}}</p>{{end}}
{{range .Charts}}<p><img src="{{.}}" alt="{{.}}"></p>{{end}}
<table><tr><th>figure</th><th>value</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Value}}</td></tr>
{{end}}</table>
{{if .Summary.Runs}}<h2>Seeds</h2><table><tr><th>seed</th><th>taken</th><th>answered</th><th>refused</th>
<th>failed</th><th>changes</th><th>p99 ms</th><th>worth</th></tr>
{{range .Summary.Runs}}<tr><td>{{.Seed}}</td><td>{{.Received}}</td><td>{{.Answered}}</td><td>{{.Rejected}}</td>
<td>{{.Failed}}</td><td>{{.Changes}}</td><td>{{printf "%.1f" .P99Ms}}</td><td>{{printf "%.4f" .EarnedShare}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))

// Row is a figure in the table of a report.
type Row struct{ Name, Value string }

// Report writes report.html into a directory, from the summary and the charts that are there.
func Report(dir string) error {
	s, err := Read(dir)
	if err != nil {
		return err
	}
	var charts []string
	for _, name := range []string{"ends.svg", "worth.svg", "seeds.svg", warmupChart, brokersChart} {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			charts = append(charts, name)
		}
	}
	var rows []Row
	for _, name := range s.figureNames() {
		rows = append(rows, Row{name, strconv.FormatFloat(s.Figures()[name], 'g', 8, 64)})
	}
	f, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return reportTemplate.Execute(f, struct {
		Summary Summary
		Charts  []string
		Rows    []Row
	}{s, charts, rows})
}

// Compare returns a Markdown table of the figures of two summaries.
func Compare(a, b Summary) string {
	out := fmt.Sprintf("| figure | %s, %s | %s, %s | difference | ratio |\n| --- | --- | --- | --- | --- |\n",
		a.Name, a.Arm, b.Name, b.Arm)
	x, y := a.Figures(), b.Figures()
	for _, name := range a.figureNames() {
		ratio := "-"
		if x[name] != 0 {
			ratio = strconv.FormatFloat(y[name]/x[name], 'f', 3, 64)
		}
		out += fmt.Sprintf("| %s | %.6g | %.6g | %+.6g | %s |\n", name, x[name], y[name], y[name]-x[name], ratio)
	}
	return out
}
