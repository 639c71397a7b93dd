package result_test

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/check"
	"ternstage/internal/lab/ledger"
	"ternstage/internal/lab/result"
)

// The directories of testdata/golden are results that the build of commit aa8ad37 wrote, and are never written anew.
// follow, naive and mass come from `ternlab run --out`; every comes from result.Write of a summary in which each
// figure has a different value. Those of testdata/golden/refused are damaged by hand.

// golden returns the path of a directory of testdata/golden.
func golden(dir string) string { return filepath.Join("testdata", "golden", dir) }

// readText returns the contents of a file.
func readText(t *testing.T, path ...string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(path...))
	require.NoError(t, err)
	return string(b)
}

// readRows returns the rows of a golden CSV file after its header, which must be as given.
func readRows(t *testing.T, header, dir, name string) [][]string {
	t.Helper()
	all, err := csv.NewReader(strings.NewReader(readText(t, golden(dir), name))).ReadAll()
	require.NoError(t, err)
	require.Equal(t, header, strings.Join(all[0], ","), name)
	return all[1:]
}

func parseInt(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	require.NoError(t, err)
	return n
}

func parseFloat(t *testing.T, s string) float64 {
	t.Helper()
	x, err := strconv.ParseFloat(s, 64)
	require.NoError(t, err)
	return x
}

// goldenSummaries holds the contents of the summary.json files.
var goldenSummaries = map[string]result.Summary{
	"every": {Name: "mass", Arm: "sighup", Seed: 103, Mode: "live",
		Counts: check.Counts{Received: 106, Answered: 107, Rejected: 108, Failed: 109, Lost: 110, RanTwice: 111,
			Overlaps: 112, FalselyComplete: 113, BelowMinCompleteness: 114, WrongValues: 115, CountedTwice: 116,
			SentAfterDrain: 117, WarmingOverloaded: 118},
		Changes: 119, Epochs: 120, Shards: 121, MaxRetainedVersions: 122, PartsInFlight: 123, PartsReplaced: 124,
		PartsSplit: 125, NotHolder: 126,
		NotHolderSameEpoch: 127, MapsRejected: 128, HintedPolls: 129, StaleRequests: 130, BehindRequests: 131,
		OpenAtEnd: 132, P50Ms: 133.25, P99Ms: 134.25,
		EarnedShare: 135.25, PartsRejected: 136, PartsRejectedShare: 137.25, WarmupUsed: 138.25,
		WarmupUsedRejecting: 139.25, Fairness: 140.25,
		WallS: 141.25, SimulatedS: 142.25, Notes: []string{"q00000917: lost", "s-1: drain"}},
	"follow": {Name: "reshard", Arm: "follow", Seed: 4, Mode: "sim",
		Counts:  check.Counts{Received: 859, Answered: 849, Rejected: 8, Failed: 1},
		Changes: 70, Epochs: 71, Shards: 27, MaxRetainedVersions: 5, PartsInFlight: 21, NotHolder: 47, MapsRejected: 1,
		HintedPolls: 5, BehindRequests: 1,
		P50Ms: 29.279, P99Ms: 276.479, EarnedShare: 0.988373, WarmupUsed: 0.19131654662786834,
		WarmupUsedRejecting: 0.09881719432262286, Fairness: 0.9999743696945055,
		WallS: 0.194568941, SimulatedS: 22.992404328758944},
	"mass": {Name: "mass", Arm: "follow", Seed: 1, Mode: "sim",
		Counts: check.Counts{Received: 758, Answered: 549, Rejected: 209}, Epochs: 1, Shards: 8, MaxRetainedVersions: 1,
		P50Ms: 56.927,
		P99Ms: 679.423, EarnedShare: 0.832674, WarmupUsed: 0.20332013344056166, WarmupUsedRejecting: 0.20332013344056166,
		Fairness: 0.9994714048949503, WallS: 0.458450379, SimulatedS: 17.247052450411488},
	"naive": {Name: "reshard", Arm: "naive", Seed: 3, Mode: "sim",
		Counts:  check.Counts{Received: 3028, Answered: 884, Rejected: 2144, RanTwice: 2},
		Changes: 159, Epochs: 161, Shards: 59, MaxRetainedVersions: 1, BehindRequests: 2138, P50Ms: 16.959,
		P99Ms: 289.03043989431967, EarnedShare: 0.5263775931307795, WarmupUsed: 0.03379728481816663,
		WarmupUsedRejecting: 0.025337664296146194, Fairness: 0.9958312917491314, WallS: 0.7699354389999999, SimulatedS: 40,
		Notes: []string{"q00000917: districts 0-16 ran again at node-1",
			"q00000339: districts 0-16 ran again at node-0"},
		Runs: []result.Summary{
			{Name: "reshard", Arm: "naive", Seed: 3, Mode: "sim",
				Counts:  check.Counts{Received: 1416, Answered: 456, Rejected: 960, RanTwice: 1},
				Changes: 82, Epochs: 83, Shards: 26, MaxRetainedVersions: 1, BehindRequests: 959, P50Ms: 16.959,
				P99Ms: 293.119, EarnedShare: 0.562021,
				Fairness: 0.9999230591675003, WallS: 0.390561801, SimulatedS: 20,
				Notes: []string{"q00000917: districts 0-16 ran again at node-1"}},
			{Name: "reshard", Arm: "naive", Seed: 4, Mode: "sim",
				Counts:  check.Counts{Received: 1612, Answered: 428, Rejected: 1184, RanTwice: 1},
				Changes: 77, Epochs: 78, Shards: 33, MaxRetainedVersions: 1, BehindRequests: 1179, P50Ms: 16.959,
				P99Ms: 285.439, EarnedShare: 0.495068,
				WarmupUsed: 0.06348522235074971, WarmupUsedRejecting: 0.047594570402438384, Fairness: 0.9922370345131449,
				WallS: 0.379373638, SimulatedS: 20,
				Notes: []string{"q00000339: districts 0-16 ran again at node-0"}}}},
}

// TestGoldenSummaries: a summary of an earlier build must be read in full and written again byte for byte the same.
func TestGoldenSummaries(t *testing.T) {
	for name, want := range goldenSummaries {
		t.Run(name, func(t *testing.T) {
			s, err := result.Read(golden(name))
			require.NoError(t, err)
			require.Equal(t, want, s)
			dir := filepath.Join(t.TempDir(), "written")
			require.NoError(t, result.Write(dir, s))
			for _, file := range []string{"summary.json", "summary.md", "summary.csv"} {
				assert.Equal(t, readText(t, golden(name), file), readText(t, dir, file), file)
			}

			// All numbers at the top level of the file are figures, with the names that they have there.
			var all map[string]any
			require.NoError(t, json.Unmarshal([]byte(readText(t, golden(name), "summary.json")), &all))
			figures := map[string]float64{}
			for k, v := range all {
				if x, ok := v.(float64); ok {
					figures[k] = x
				}
			}
			assert.Len(t, figures, 38)
			assert.Equal(t, figures, s.Figures())
			if len(s.Runs) > 0 {
				assert.Equal(t, s, result.Sum(s.Runs), "the sum of its seeds")
			}
		})
	}
}

// TestGoldenSeries: the points of a run of an earlier build must be written byte for byte the same.
func TestGoldenSeries(t *testing.T) {
	for name, n := range map[string]int{"follow": 22, "mass": 17, "naive": 0} {
		var points []result.Point
		for _, r := range readRows(t, "second,taken,answered,refused,failed,changes,worth", name, "series.csv") {
			points = append(points, result.Point{Second: parseInt(t, r[0]), Received: parseInt(t, r[1]),
				Answered: parseInt(t, r[2]), Rejected: parseInt(t, r[3]), Failed: parseInt(t, r[4]),
				Changes: parseInt(t, r[5]), EarnedShare: parseFloat(t, r[6])})
		}
		require.Len(t, points, n, name)
		if n > 0 {
			last, s := points[n-1], goldenSummaries[name]
			s.EarnedShare = last.EarnedShare
			assert.Equal(t, result.PointOf(last.Second, s), last, "%s: the last point agrees with the summary", name)
		}
		dir := t.TempDir()
		require.NoError(t, result.WriteSeries(dir, points))
		assert.Equal(t, readText(t, golden(name), "series.csv"), readText(t, dir, "series.csv"), name)
	}
}

// TestGoldenFleet: the CSV files of a ledger of an earlier build must be written byte for byte the same.
func TestGoldenFleet(t *testing.T) {
	for name, n := range map[string][3]int{"follow": {2, 2, 150}, "mass": {4, 2, 120}} {
		l := ledger.New(0)
		for i, r := range readRows(t, "broker,parts_sent,parts_busy,answered,refused,failed", name, "brokers.csv") {
			require.Equal(t, i, parseInt(t, r[0]))
			l.Brokers = append(l.Brokers, ledger.Broker{PartsSent: parseInt(t, r[1]), PartsRejected: parseInt(t, r[2]),
				Answered: parseInt(t, r[3]), Rejected: parseInt(t, r[4]), Failed: parseInt(t, r[5])})
		}
		for _, r := range readRows(t, "node,may_ms,sent_ms,brokers,parts_busy", name, "nodes.csv") {
			c := &ledger.Backend{Allowance: ledger.Allowance{Allowed: parseFloat(t, r[1]), Used: parseFloat(t, r[2])},
				Brokers:       map[int]bool{},
				PartsRejected: parseInt(t, r[4])}
			for i := range parseInt(t, r[3]) {
				c.Brokers[i] = true
			}
			l.Backends[r[0]] = c
		}
		for _, r := range readRows(t, "at_ms,for_ms,cold_may_ms,cold_sent_ms,parts_sent,parts_busy,queries_refused", name,
			"moments.csv") {
			l.Intervals = append(l.Intervals, ledger.Interval{StartMs: parseFloat(t, r[0]), DurationMs: parseFloat(t, r[1]),
				Allowance: ledger.Allowance{Allowed: parseFloat(t, r[2]), Used: parseFloat(t, r[3])},
				PartsSent: parseInt(t, r[4]), PartsRejected: parseInt(t, r[5]), RequestsRejected: parseInt(t, r[6])})
		}
		require.Equal(t, n, [3]int{len(l.Brokers), len(l.Backends), len(l.Intervals)}, name)
		answered := 0
		for _, b := range l.Brokers {
			answered += b.Answered
		}
		assert.Equal(t, goldenSummaries[name].Answered, answered, "%s: brokers and summary agree", name)
		dir := t.TempDir()
		require.NoError(t, result.WriteFleet(dir, l))
		for _, file := range []string{"brokers.csv", "nodes.csv", "moments.csv"} {
			assert.Equal(t, readText(t, golden(name), file), readText(t, dir, file), "%s %s", name, file)
		}
	}
}

// TestGoldenCompare: the comparison of two runs must show each figure by its name in the files.
func TestGoldenCompare(t *testing.T) {
	a, err := result.Read(golden("follow"))
	require.NoError(t, err)
	b, err := result.Read(golden("every"))
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(result.Compare(a, b)), "\n")
	assert.Contains(t, lines[0], "| reshard, follow | mass, sighup |")
	x, y := a.Figures(), b.Figures()
	delete(x, "seed")
	var want []string
	for _, name := range slices.Sorted(maps.Keys(x)) {
		ratio := "-"
		if x[name] != 0 {
			ratio = fmt.Sprintf("%.3f", y[name]/x[name])
		}
		want = append(want, fmt.Sprintf("| %s | %.6g | %.6g | %+.6g | %s |", name, x[name], y[name], y[name]-x[name],
			ratio))
	}
	assert.Equal(t, want, lines[2:])
	assert.Contains(t, want, "| taken | 859 | 106 | -753 | 0.123 |")
}

// TestGoldenReport: the report of a run of an earlier build must show its charts, figures, notes and seeds.
func TestGoldenReport(t *testing.T) {
	for name, charts := range map[string][]string{
		"mass":   {"ends.svg", "worth.svg", "cold.svg", "brokers.svg"},
		"naive":  {"seeds.svg"},
		"follow": nil, // without the drawings
	} {
		dir := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.CopyFS(dir, os.DirFS(golden(name))))
		require.NoError(t, result.Report(dir))
		page := readText(t, dir, "report.html")
		at := 0
		for _, c := range charts {
			i := strings.Index(page[at:], fmt.Sprintf(`<img src="%s"`, c))
			require.GreaterOrEqual(t, i, 0, "%s shows %s, in this order", name, c)
			at += i
		}
		assert.Equal(t, len(charts), strings.Count(page, "<img "), name)
		for figure, x := range goldenSummaries[name].Figures() {
			if figure != "seed" {
				assert.Contains(t, page, fmt.Sprintf("<td>%s</td><td>%.8g</td>", figure, x), name)
			}
		}
		for _, n := range goldenSummaries[name].Notes {
			assert.Contains(t, page, n)
		}
		for _, r := range goldenSummaries[name].Runs {
			assert.Contains(t, page, fmt.Sprintf("<tr><td>%d</td><td>%d</td><td>%d</td><td>%d</td>", r.Seed, r.Received,
				r.Answered, r.Rejected))
		}
	}
}

// TestDamagedSummaryIsRejected: reading a summary that is truncated, empty or of the wrong type must fail with an
// error that names its directory, and a directory without a summary must fail with fs.ErrNotExist.
func TestDamagedSummaryIsRejected(t *testing.T) {
	for _, name := range []string{"torn", "empty", "text-for-a-number", "a-list"} {
		dir := golden("refused/" + name)
		_, err := result.Read(dir)
		require.ErrorContains(t, err, dir)
		require.NotErrorIs(t, err, fs.ErrNotExist, "the golden file is missing")
		require.Error(t, result.Report(dir), name)
		assert.NoFileExists(t, filepath.Join(dir, "report.html"))
	}
	_, err := result.Read(golden("refused"))
	require.ErrorIs(t, err, fs.ErrNotExist)
}
