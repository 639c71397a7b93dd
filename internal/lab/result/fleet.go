package result

import (
	"cmp"
	"encoding/csv"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"ternstage/internal/lab/ledger"
)

// Files of the charts that WriteFleet draws.
const (
	warmupChart  = "cold.svg"
	brokersChart = "brokers.svg"
)

// WriteFleet writes the counts of a ledger into a directory: moments.csv with the intervals, nodes.csv with the
// backends that warmed up, and brokers.csv. It draws charts of the work of warming backends and of the brokers'
// shares of answered requests.
func WriteFleet(dir string, l *ledger.Ledger) error {
	itoa, ftoa := strconv.Itoa, func(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }
	intervals := [][]string{{"at_ms", "for_ms", "cold_may_ms", "cold_sent_ms", "parts_sent", "parts_busy",
		"queries_refused"}}
	for _, i := range l.Intervals {
		intervals = append(intervals, []string{ftoa(i.StartMs), ftoa(i.DurationMs), ftoa(i.Allowance.Allowed),
			ftoa(i.Allowance.Used), itoa(i.PartsSent), itoa(i.PartsRejected), itoa(i.RequestsRejected)})
	}
	backends := [][]string{{"node", "may_ms", "sent_ms", "brokers", "parts_busy"}}
	for _, name := range slices.Sorted(maps.Keys(l.Backends)) {
		b := l.Backends[name]
		backends = append(backends, []string{name, ftoa(b.Allowed), ftoa(b.Used), itoa(len(b.Brokers)),
			itoa(b.PartsRejected)})
	}
	brokers := [][]string{{"broker", "parts_sent", "parts_busy", "answered", "refused", "failed"}}
	for i, b := range l.Brokers {
		brokers = append(brokers, []string{itoa(i), itoa(b.PartsSent), itoa(b.PartsRejected), itoa(b.Answered),
			itoa(b.Rejected), itoa(b.Failed)})
	}
	for name, rows := range map[string][][]string{"moments.csv": intervals, "nodes.csv": backends,
		"brokers.csv": brokers} {
		if err := writeCSV(filepath.Join(dir, name), rows); err != nil {
			return err
		}
	}
	if err := drawWarmup(filepath.Join(dir, warmupChart), l.Intervals); err != nil {
		return err
	}
	return drawBrokers(filepath.Join(dir, brokersChart), l.Brokers)
}

// writeCSV writes rows to a CSV file.
func writeCSV(path string, rows [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return csv.NewWriter(f).WriteAll(rows)
}

// drawWarmup draws over time the work that warming backends may be sent and were sent, in ms per ms, and the rejected
// requests per second.
func drawWarmup(path string, intervals []ledger.Interval) error {
	var allowed, used, rejected plotter.XYs
	for _, i := range intervals {
		second := i.StartMs / 1000
		allowed = append(allowed, plotter.XY{X: second, Y: i.Allowance.Allowed / i.DurationMs})
		used = append(used, plotter.XY{X: second, Y: i.Allowance.Used / i.DurationMs})
		rejected = append(rejected, plotter.XY{X: second, Y: float64(i.RequestsRejected) * 1000 / i.DurationMs})
	}
	if len(allowed) < 2 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Cold nodes", "s"
	p.Y.Label.Text = "ms of work in a ms; queries a second"
	p.Legend.Top = true
	err := plotutil.AddLines(p, "might be sent", allowed, "were sent", used, "queries refused", rejected)
	if err != nil {
		return err
	}
	return p.Save(chartWidth, chartHeight, path)
}

// drawBrokers draws the share of answered requests of each broker, in ascending order.
func drawBrokers(path string, brokers []ledger.Broker) error {
	var shares []float64
	for _, b := range brokers {
		if n := b.Ended(); n > 0 {
			shares = append(shares, float64(b.Answered)/float64(n))
		}
	}
	if len(shares) < 2 {
		return nil
	}
	slices.SortFunc(shares, func(a, b float64) int { return cmp.Compare(a, b) })
	var xy plotter.XYs
	for i, share := range shares {
		xy = append(xy, plotter.XY{X: float64(i), Y: share})
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Brokers by the share of their queries answered", "brokers"
	p.Y.Label.Text = "share"
	if err := plotutil.AddLines(p, xy); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, 1.02
	return p.Save(chartWidth, chartHeight, path)
}
