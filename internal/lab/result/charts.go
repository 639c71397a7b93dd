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

// Point is where a run stood after so many seconds, counted from its start.
type Point struct {
	Second                               int
	Received, Answered, Rejected, Failed int
	Changes                              int
	EarnedShare                          float64
}

// PointOf is a point of a run's summary so far.
func PointOf(second int, s Summary) Point {
	return Point{second, s.Received, s.Answered, s.Rejected, s.Failed, s.Changes, s.EarnedShare}
}

const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
)

// WriteSeries keeps the course of a run: series.csv, and charts of what was answered, refused and failed in
// each second and of worth so far.
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
	rate := func(of func(Point) int) plotter.XYs {
		var out plotter.XYs
		for i := 1; i < len(points); i++ {
			out = append(out, plotter.XY{X: float64(points[i].Second), Y: float64(of(points[i]) - of(points[i-1]))})
		}
		return out
	}
	if err := plotutil.AddLines(ends, "answered", rate(func(p Point) int { return p.Answered }),
		"refused", rate(func(p Point) int { return p.Rejected }), "failed",
		rate(func(p Point) int { return p.Failed }),
		"changes of the map", rate(func(p Point) int { return p.Changes })); err != nil {
		return err
	}
	ends.Legend.Top = true
	if err := ends.Save(chartWidth, chartHeight, filepath.Join(dir, "ends.svg")); err != nil {
		return err
	}
	worth := plot.New()
	worth.Title.Text, worth.X.Label.Text, worth.Y.Label.Text = "Worth in time over worth asked, so far", "s",
		"share"
	var xy plotter.XYs
	for _, p := range points {
		xy = append(xy, plotter.XY{X: float64(p.Second), Y: p.EarnedShare})
	}
	if err := plotutil.AddLines(worth, xy); err != nil {
		return err
	}
	worth.Y.Min, worth.Y.Max = 0, 1.02
	return worth.Save(chartWidth, chartHeight, filepath.Join(dir, "worth.svg"))
}

// WriteRuns draws the worth of each seed.
func WriteRuns(dir string, s Summary) error {
	var worth plotter.Values
	for _, r := range s.Runs {
		worth = append(worth, r.EarnedShare)
	}
	if len(worth) < 2 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Seeds by their worth", "worth in time over worth asked",
		"seeds"
	h, err := plotter.NewHist(worth, min(40, len(worth)))
	if err != nil {
		return err
	}
	p.Add(h)
	return p.Save(chartWidth, chartHeight, filepath.Join(dir, "seeds.svg"))
}

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

// Row is a figure of a report.
type Row struct{ Name, Value string }

// Report writes report.html from what a folder keeps.
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

// Compare is a table of two summaries' figures.
func Compare(a, b Summary) string {
	out := fmt.Sprintf("| figure | %s, %s | %s, %s | difference | ratio |\n| --- | --- | --- | --- | --- |\n",
		a.Name, a.Arm,
		b.Name, b.Arm)
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
