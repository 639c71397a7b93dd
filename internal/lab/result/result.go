// Package result holds the results of runs of the emulator, reads and writes them, and draws their charts.
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

// Summary holds the results of one run, or the combined results of several runs; see Sum.
type Summary struct {
	Name string `json:"name"`
	Arm  string `json:"arm"`
	Seed uint64 `json:"seed"`
	Mode string `json:"mode"`
	check.Counts
	Changes             int       `json:"changes"`           // of the shard map
	Epochs              int       `json:"epochs"`            // epoch of the authoritative shard map at the end
	Shards              int       `json:"slices_end"`        // at the end
	MaxRetainedVersions int       `json:"versions_kept_max"` // most map versions that a broker kept at once
	PartsInFlight       int       `json:"parts_caught"`      // parts in flight when their shard was retired
	PartsReplaced       int       `json:"parts_replaced"`    // parts replaced by parts of other shards
	PartsSplit          int       `json:"parts_split"`       // of those, parts replaced by more than one
	NotHolder           int       `json:"moved"`             // not-holder replies of backends
	NotHolderSameEpoch  int       `json:"moved_same_epoch"`  // of those, replies at the epoch of the broker's map
	MapsRejected        int       `json:"maps_refused"`      // invalid snapshots and batches of changes
	HintedPolls         uint64    `json:"hint_reads"`        // polls after a report of a newer epoch; virtual time only
	StaleRequests       int       `json:"stale_requests"`    // requests not accepted because of their shards
	BehindRequests      int       `json:"behind_requests"`   // requests rejected as they named shards of a newer map
	OpenAtEnd           int       `json:"open_at_end"`       // requests without a final answer; virtual time only
	P50Ms               float64   `json:"p50_ms"`            // latency of answered requests, client retries included
	P99Ms               float64   `json:"p99_ms"`
	EarnedShare         float64   `json:"worth"`           // share of all priority weight that answers earned
	PartsRejected       int       `json:"busy"`            // by backends
	PartsRejectedShare  float64   `json:"busy_share"`      // of the parts sent
	WarmupUsed          float64   `json:"cold_used"`       // sent share of the work allowed to warming backends
	WarmupUsedRejecting float64   `json:"cold_short"`      // the same over the steps in which requests were rejected
	Fairness            float64   `json:"fairness"`        // Jain's index of the brokers' answered shares
	WallS               float64   `json:"wall_s"`          // duration of the run
	SimulatedS          float64   `json:"simulated_s"`     // virtual duration of the run
	Notes               []string  `json:"notes,omitempty"` // the first violations
	Runs                []Summary `json:"runs,omitempty"`  // if there are several
}

// Add adds the counts of a broker.
func (s *Summary) Add(resharding core.ReshardingStats, shardMap shardmap.Stats) {
	s.PartsInFlight += int(resharding.InFlight)
	s.PartsReplaced += int(resharding.Replaced)
	s.PartsSplit += int(resharding.Split)
	s.BehindRequests += int(resharding.Behind)
	s.NotHolder += int(shardMap.NotHolder)
	s.NotHolderSameEpoch += int(shardMap.SameEpoch)
	s.MapsRejected += int(shardMap.Rejected)
}

// Sum combines runs. Counts and durations are added. Shares, latencies and the fairness index are means, weighted by
// the number of requests received. It keeps the first two notes of each run, at most 40 in all.
func Sum(runs []Summary) Summary {
	if len(runs) == 1 {
		return runs[0]
	}
	out := Summary{}
	if len(runs) == 0 {
		return out
	}
	out.Name, out.Arm, out.Seed, out.Mode, out.Runs = runs[0].Name, runs[0].Arm, runs[0].Seed, runs[0].Mode, runs
	outValue := reflect.ValueOf(&out).Elem()
	for _, r := range runs {
		addCounts(outValue, reflect.ValueOf(r))
		w := float64(r.Received)
		out.EarnedShare += r.EarnedShare * w
		out.P50Ms += r.P50Ms * w
		out.P99Ms += r.P99Ms * w
		out.PartsRejectedShare += r.PartsRejectedShare * w
		out.WarmupUsed += r.WarmupUsed * w
		out.WarmupUsedRejecting += r.WarmupUsedRejecting * w
		out.Fairness += r.Fairness * w
		out.WallS += r.WallS
		out.SimulatedS += r.SimulatedS
		out.Notes = append(out.Notes, r.Notes[:min(len(r.Notes), 2)]...)
	}
	out.Notes = out.Notes[:min(len(out.Notes), 40)]
	out.MaxRetainedVersions = 0 // a maximum, but addCounts has added it up
	for _, r := range runs {
		out.MaxRetainedVersions = max(out.MaxRetainedVersions, r.MaxRetainedVersions)
	}
	if n := float64(max(out.Received, 1)); true {
		out.EarnedShare, out.P50Ms, out.P99Ms = out.EarnedShare/n, out.P50Ms/n, out.P99Ms/n
		out.PartsRejectedShare, out.Fairness = out.PartsRejectedShare/n, out.Fairness/n
		out.WarmupUsed, out.WarmupUsedRejecting = out.WarmupUsed/n, out.WarmupUsedRejecting/n
	}
	return out
}

// addCounts adds the int fields of one summary to those of another, also of embedded structs. Of the unsigned
// fields it adds only HintedPolls, not the seed.
func addCounts(to, from reflect.Value) {
	for i := range from.NumField() {
		switch f := from.Field(i); f.Kind() {
		case reflect.Int:
			to.Field(i).SetInt(to.Field(i).Int() + f.Int())
		case reflect.Struct:
			addCounts(to.Field(i), f)
		}
		if from.Type().Field(i).Name == "HintedPolls" {
			to.Field(i).SetUint(to.Field(i).Uint() + from.Field(i).Uint())
		}
	}
}

// Figures returns the numbers of the summary by their JSON names.
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

// CheckBounds checks that no rule was violated and that the figures are within their bounds. It returns the number of
// checks that passed and a description of each that failed.
func (s Summary) CheckBounds(bounds map[string]exp.Bound) (passed int, failures []string) {
	figures := s.Figures()
	if n := s.Violations(); n > 0 {
		failures = append(failures, fmt.Sprintf("rules were broken %d times: %s", n, strings.Join(s.Notes[:min(3,
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
		value, known := figures[name]
		switch {
		case !known:
			failures = append(failures, fmt.Sprintf("expect: the summary has no figure %q", name))
		case b.Min != nil && value < *b.Min:
			failures = append(failures, fmt.Sprintf("%s is %v, want at least %v", name, value, *b.Min))
		case b.Max != nil && value > *b.Max:
			failures = append(failures, fmt.Sprintf("%s is %v, want at most %v", name, value, *b.Max))
		default:
			passed++
		}
	}
	return passed, failures
}

// figureNames returns the names of the figures in order, without the seed.
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

// Table returns the summary as a Markdown table with one row for each figure.
func (s Summary) Table() string {
	figures := s.Figures()
	var b strings.Builder
	fmt.Fprintf(&b, "| %s, %s, %s, seed %d | |\n| --- | --- |\n", s.Name, s.Arm, s.Mode, s.Seed)
	for _, name := range s.figureNames() {
		fmt.Fprintf(&b, "| %s | %.8g |\n", name, figures[name])
	}
	return b.String()
}

// Read reads the summary from a directory that Write wrote.
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

// Write writes a summary into a directory: summary.json, and its table as summary.md and summary.csv.
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
		cells := strings.Split(line, "|")
		fmt.Fprintf(&csv, "%s,%s\n", strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2]))
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
