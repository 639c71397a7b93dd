// Package result is what a run of the lab found: the summary, its table and its charts.
package result

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/check"
	"ternstage/internal/lab/exp"
)

// Summary is one run, or the sums over several.
type Summary struct {
	Name string `json:"name"`
	Arm  string `json:"arm"`
	Seed uint64 `json:"seed"`
	Mode string `json:"mode"`
	check.Counts
	Changes             int       `json:"changes"`
	Epochs              int       `json:"epochs"`
	Shards              int       `json:"slices_end"`
	MaxVersionsKept     int       `json:"versions_kept_max"`
	PartsInFlight       int       `json:"parts_caught"`   // were out when their slice was retired
	PartsReplaced       int       `json:"parts_replaced"` // went on as parts of other slices
	PartsSplit          int       `json:"parts_split"`
	NotHolder           int       `json:"moved"` // nodes' word that they do not hold a part's districts
	NotHolderSameEpoch  int       `json:"moved_same_epoch"`
	MapsRejected        int       `json:"maps_refused"`
	HintReads           uint64    `json:"hint_reads"`
	StaleRequests       int       `json:"stale_requests"`
	BehindRequests      int       `json:"behind_requests"` // named slices of a newer map than the broker's
	OpenAtEnd           int       `json:"open_at_end"`
	P50Ms               float64   `json:"p50_ms"`
	P99Ms               float64   `json:"p99_ms"`
	EarnedShare         float64   `json:"worth"`
	PartsRejected       int       `json:"busy"`       // parts that nodes turned away; in virtual time
	PartsRejectedShare  float64   `json:"busy_share"` // of those sent
	WarmupUsed          float64   `json:"cold_used"`  // of what cold nodes may be sent: how much they were
	WarmupUsedRejecting float64   `json:"cold_short"` // the same while queries were refused
	Fairness            float64   `json:"fairness"`   // Jain's index over brokers of the share of queries answered
	WallS               float64   `json:"wall_s"`
	SimulatedS          float64   `json:"simulated_s"`
	Notes               []string  `json:"notes,omitempty"`
	Runs                []Summary `json:"runs,omitempty"`
}

// Add adds what a broker counted.
func (s *Summary) Add(m core.ReshardingStats, t shardmap.Stats) {
	s.PartsInFlight += int(m.InFlight)
	s.PartsReplaced += int(m.Replaced)
	s.PartsSplit += int(m.Split)
	s.BehindRequests += int(m.Behind)
	s.NotHolder += int(t.NotHolder)
	s.NotHolderSameEpoch += int(t.SameEpoch)
	s.MapsRejected += int(t.Rejected)
}

// Sum puts runs together: counts are added, worth and latencies are means, weighted by what was taken.
func Sum(runs []Summary) Summary {
	if len(runs) == 1 {
		return runs[0]
	}
	out := Summary{}
	if len(runs) == 0 {
		return out
	}
	out.Name, out.Arm, out.Seed, out.Mode, out.Runs = runs[0].Name, runs[0].Arm, runs[0].Seed, runs[0].Mode, runs
	o := reflect.ValueOf(&out).Elem()
	for _, r := range runs {
		addCounts(o, reflect.ValueOf(r))
		w := float64(r.Received)
		out.EarnedShare += r.EarnedShare * w
		out.P50Ms += r.P50Ms * w
		out.P99Ms += r.P99Ms * w
		out.PartsRejectedShare += r.PartsRejectedShare * w
		out.WarmupUsed, out.WarmupUsedRejecting = out.WarmupUsed+r.WarmupUsed*w, out.WarmupUsedRejecting+r.WarmupUsedRejecting*w
		out.Fairness += r.Fairness * w
		out.WallS += r.WallS
		out.SimulatedS += r.SimulatedS
		out.Notes = append(out.Notes, r.Notes[:min(len(r.Notes), 2)]...)
	}
	out.Notes = out.Notes[:min(len(out.Notes), 40)]
	out.MaxVersionsKept = 0
	for _, r := range runs {
		out.MaxVersionsKept = max(out.MaxVersionsKept, r.MaxVersionsKept)
	}
	if n := float64(max(out.Received, 1)); true {
		out.EarnedShare, out.P50Ms, out.P99Ms = out.EarnedShare/n, out.P50Ms/n, out.P99Ms/n
		out.PartsRejectedShare, out.Fairness = out.PartsRejectedShare/n, out.Fairness/n
		out.WarmupUsed, out.WarmupUsedRejecting = out.WarmupUsed/n, out.WarmupUsedRejecting/n
	}
	return out
}

func addCounts(to, from reflect.Value) {
	for i := range from.NumField() {
		switch f := from.Field(i); f.Kind() {
		case reflect.Int:
			to.Field(i).SetInt(to.Field(i).Int() + f.Int())
		case reflect.Struct:
			addCounts(to.Field(i), f)
		}
		if from.Type().Field(i).Name == "HintReads" {
			to.Field(i).SetUint(to.Field(i).Uint() + from.Field(i).Uint())
		}
	}
}

// Figures are the summary's numbers by name.
func (s Summary) Figures() map[string]float64 {
	s.Runs, s.Notes = nil, nil
	text, _ := json.Marshal(s)
	var all map[string]any
	_ = json.Unmarshal(text, &all)
	out := map[string]float64{}
	for k, v := range all {
		if x, ok := v.(float64); ok {
			out[k] = x
		}
	}
	return out
}

// Judge names the bounds that the summary does not keep, and the rules that were broken.
func (s Summary) CheckBounds(bounds map[string]exp.Bound) (passed int, faults []string) {
	figures := s.Figures()
	if n := s.Violations(); n > 0 {
		faults = append(faults, fmt.Sprintf("rules were broken %d times: %s", n, strings.Join(s.Notes[:min(3,
			len(s.Notes))], "; ")))
	} else {
		passed++
	}
	names := make([]string, 0, len(bounds))
	for name := range bounds {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b := bounds[name]
		x, known := figures[name]
		switch {
		case !known:
			faults = append(faults, fmt.Sprintf("expect: %s is no figure of the summary", name))
		case b.Min != nil && x < *b.Min:
			faults = append(faults, fmt.Sprintf("%s is %v, %v at least", name, x, *b.Min))
		case b.Max != nil && x > *b.Max:
			faults = append(faults, fmt.Sprintf("%s is %v, %v at most", name, x, *b.Max))
		default:
			passed++
		}
	}
	return passed, faults
}

// names are the figures' names in order.
func (s Summary) figureNames() []string {
	var names []string
	for name := range s.Figures() {
		if name != "seed" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Table is the summary as a Markdown table, one row a figure.
func (s Summary) Table() string {
	figures := s.Figures()
	var b strings.Builder
	fmt.Fprintf(&b, "| %s, %s, %s, seed %d | |\n| --- | --- |\n", s.Name, s.Arm, s.Mode, s.Seed)
	for _, name := range s.figureNames() {
		fmt.Fprintf(&b, "| %s | %.8g |\n", name, figures[name])
	}
	return b.String()
}

// Read is the summary that a folder keeps.
func Read(dir string) (s Summary, err error) {
	text, err := os.ReadFile(filepath.Join(dir, "summary.json"))
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%s: %w", dir, err)
	}
	return s, nil
}

// Write keeps a summary in a folder: summary.json and a table in Markdown and CSV.
func Write(dir string, s Summary) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	var csv strings.Builder
	csv.WriteString("figure,value\n")
	for _, line := range strings.Split(strings.TrimSpace(s.Table()), "\n")[2:] {
		f := strings.Split(line, "|")
		fmt.Fprintf(&csv, "%s,%s\n", strings.TrimSpace(f[1]), strings.TrimSpace(f[2]))
	}
	for name, data := range map[string][]byte{"summary.json": append(text, '\n'),
		"summary.md":  []byte(s.Table()),
		"summary.csv": []byte(csv.String())} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return err
		}
	}
	return nil
}
