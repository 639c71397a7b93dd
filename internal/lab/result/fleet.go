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
	coldChart    = "cold.svg"
	brokersChart = "brokers.svg"
)

// WriteFleet keeps what many brokers did together: moments.csv, nodes.csv (while they were cold) and
// brokers.csv, and charts of what cold nodes might be sent and were, and of how brokers fared.
func WriteFleet(dir string, l *ledger.Ledger) error {
	itoa, ftoa := strconv.Itoa, func(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }
	moments := [][]string{{"at_ms", "for_ms", "cold_may_ms", "cold_sent_ms", "parts_sent", "parts_busy",
		"queries_refused"}}
	for _, m := range l.Moments {
		moments = append(moments, []string{ftoa(m.At), ftoa(m.For), ftoa(m.Cold.May), ftoa(m.Cold.Used),
			itoa(m.Sent), itoa(m.Busy), itoa(m.Refused)})
	}
	nodes := [][]string{{"node", "may_ms", "sent_ms", "brokers", "parts_busy"}}
	for _, name := range slices.Sorted(maps.Keys(l.Nodes)) {
		n := l.Nodes[name]
		nodes = append(nodes, []string{name, ftoa(n.May), ftoa(n.Used), itoa(len(n.Users)), itoa(n.Refused)})
	}
	brokers := [][]string{{"broker", "parts_sent", "parts_busy", "answered", "refused", "failed"}}
	for i, b := range l.Brokers {
		brokers = append(brokers, []string{itoa(i), itoa(b.Sent), itoa(b.Busy), itoa(b.Answered),
			itoa(b.Refused), itoa(b.Without)})
	}
	for name, rows := range map[string][][]string{"moments.csv": moments, "nodes.csv": nodes,
		"brokers.csv": brokers} {
		if err := writeCSV(filepath.Join(dir, name), rows); err != nil {
			return err
		}
	}
	if err := drawCold(filepath.Join(dir, coldChart), l.Moments); err != nil {
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
func drawCold(path string, moments []ledger.Moment) error {
	var may, used, refused plotter.XYs
	for _, m := range moments {
		s := m.At / 1000
		may = append(may, plotter.XY{X: s, Y: m.Cold.May / m.For})
		used = append(used, plotter.XY{X: s, Y: m.Cold.Used / m.For})
		refused = append(refused, plotter.XY{X: s, Y: float64(m.Refused) * 1000 / m.For})
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
	return p.Save(chartWide, chartHigh, path)
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
	return p.Save(chartWide, chartHigh, path)
}
