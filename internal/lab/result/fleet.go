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

// The charts of a fleet.
const (
	warmupChart  = "cold.svg"
	brokersChart = "brokers.svg"
)

// WriteFleet keeps what many brokers did together: moments.csv, nodes.csv (while they were cold) and
// brokers.csv, and charts of what cold nodes might be sent and were, and of how brokers fared.
func WriteFleet(dir string, l *ledger.Ledger) error {
	itoa, ftoa := strconv.Itoa, func(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }
	moments := [][]string{{"at_ms", "for_ms", "cold_may_ms", "cold_sent_ms", "parts_sent", "parts_busy",
		"queries_refused"}}
	for _, m := range l.Intervals {
		moments = append(moments, []string{ftoa(m.StartMs), ftoa(m.DurationMs), ftoa(m.Allowance.Allowed), ftoa(m.Allowance.Used),
			itoa(m.PartsSent), itoa(m.PartsRejected), itoa(m.RequestsRejected)})
	}
	nodes := [][]string{{"node", "may_ms", "sent_ms", "brokers", "parts_busy"}}
	for _, name := range slices.Sorted(maps.Keys(l.Backends)) {
		n := l.Backends[name]
		nodes = append(nodes, []string{name, ftoa(n.Allowed), ftoa(n.Used), itoa(len(n.Brokers)), itoa(n.PartsRejected)})
	}
	brokers := [][]string{{"broker", "parts_sent", "parts_busy", "answered", "refused", "failed"}}
	for i, b := range l.Brokers {
		brokers = append(brokers, []string{itoa(i), itoa(b.PartsSent), itoa(b.PartsRejected), itoa(b.Answered),
			itoa(b.Rejected), itoa(b.Failed)})
	}
	for name, rows := range map[string][][]string{"moments.csv": moments, "nodes.csv": nodes,
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

func writeCSV(path string, rows [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return csv.NewWriter(f).WriteAll(rows)
}

// drawCold draws over time what cold nodes might be sent and were, as cores, and queries refused a second.
func drawWarmup(path string, moments []ledger.Interval) error {
	var may, used, refused plotter.XYs
	for _, m := range moments {
		s := m.StartMs / 1000
		may = append(may, plotter.XY{X: s, Y: m.Allowance.Allowed / m.DurationMs})
		used = append(used, plotter.XY{X: s, Y: m.Allowance.Used / m.DurationMs})
		refused = append(refused, plotter.XY{X: s, Y: float64(m.RequestsRejected) * 1000 / m.DurationMs})
	}
	if len(may) < 2 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Cold nodes", "s"
	p.Y.Label.Text = "ms of work in a ms; queries a second"
	p.Legend.Top = true
	err := plotutil.AddLines(p, "might be sent", may, "were sent", used, "queries refused", refused)
	if err != nil {
		return err
	}
	return p.Save(chartWidth, chartHeight, path)
}

// drawBrokers draws what share of its queries each broker answered, from the least to the most.
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
	for i, x := range shares {
		xy = append(xy, plotter.XY{X: float64(i), Y: x})
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
