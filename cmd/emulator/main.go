// Command emulator runs experiments in virtual time, or live with broker processes on loopback, and writes their
// results.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ternstage/experiments"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/ledger"
	"ternstage/internal/lab/result"
	"ternstage/internal/lab/world"
)

func main() {
	root := &cobra.Command{Use: "emulator", Short: "Runs experiments with brokers, nodes and clients",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), upCommand(), compareCommand(), reportCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

// runCommand returns the command that runs an experiment.
func runCommand() *cobra.Command {
	var seed uint64
	var runs int
	var mode, out, binary, wire string
	var vars []string
	c := &cobra.Command{Use: "run FILE", Short: "Run an experiment and check the rules",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := loadExperiment(args[0], vars)
			if err != nil {
				return err
			}
			var s result.Summary
			var h history
			switch mode {
			case "sim":
				s, h = simulate(c, e, seed, runs)
			case "live":
				if s, h, err = runLive(c, e, seed, binary, wire); err != nil {
					return err
				}
			default:
				return fmt.Errorf("--mode %q: want sim or live", mode)
			}
			if out != "" {
				if err := writeResults(out, s, h); err != nil {
					return err
				}
			}
			return printSummary(c, e, s)
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&runs, "runs", 1, "sim: number of seeds, counted up from --seed")
	c.Flags().StringVar(&mode, "mode", "sim", "sim: virtual time; live: the built broker on loopback")
	c.Flags().StringVar(&binary, "binary", "bin/ternstage", "live: path of the broker")
	c.Flags().StringVar(&wire, "wire", "frames", "live: frames (and HTTP/1.1 to clients) or flight")
	c.Flags().StringVar(&out, "out", "", "directory for summary.json, tables and charts")
	c.Flags().StringArrayVar(&vars, "var", nil, "NAME=VALUE: an external variable of the experiment")
	c.SetOut(os.Stdout)
	return c
}

// writeResults writes the summary, tables and charts of a run into a directory.
func writeResults(dir string, s result.Summary, h history) error {
	if err := errors.Join(result.Write(dir, s), result.WriteRuns(dir, s),
		result.WriteSeries(dir, h.points)); err != nil {
		return err
	}
	if h.ledger != nil {
		return result.WriteFleet(dir, h.ledger)
	}
	return nil
}

// printSummary prints the summary and the result of its checks. It returns an error if a check failed.
func printSummary(c *cobra.Command, e *exp.Experiment, s result.Summary) error {
	c.Print(s.Table())
	passed, failures := s.CheckBounds(e.Expect)
	for _, f := range failures {
		c.Println("FAILED:", f)
	}
	c.Printf("%d passed, %d failed\n", passed, len(failures))
	if len(failures) > 0 {
		return fmt.Errorf("%s: %d of %d checks failed", e.Name, len(failures), passed+len(failures))
	}
	return nil
}

// defaultVars holds the values of external variables that the command line does not set.
var defaultVars = map[string]string{"every": "2000", "arm": "follow", "seconds": "60", "rate": "200",
	"stand": "1", "slow": "1", "vanish": "1", "down": "1", "drain": "1", "broker": "1", "zone_cut": "1",
	"silent": "1", "pause": "1",
	"brokers": "300", "nodes": "200", "join": "1", "herd": "0", "zone": "0", "roll": "0",
	"hot": "1", "idle": "0", "told": "0", "apart": "0", "jump": "0"}

// loadExperiment reads an experiment. vars hold NAME=VALUE.
func loadExperiment(path string, vars []string) (*exp.Experiment, error) {
	values := map[string]string{}
	for name, value := range defaultVars {
		values[name] = value
	}
	for _, v := range vars {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return nil, fmt.Errorf("--var %q: want NAME=VALUE", v)
		}
		values[name] = value
	}
	return exp.Load(path, values)
}

// history is how a run went. It is empty if there are several runs.
type history struct {
	points []result.Point // one for each second
	ledger *ledger.Ledger
}

// simulate runs one or more consecutive seeds in virtual time, in parallel on all cores.
func simulate(c *cobra.Command, e *exp.Experiment, seed uint64, runs int) (_ result.Summary, h history) {
	summaries := make([]result.Summary, max(runs, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots, done := make(chan struct{}, runtime.GOMAXPROCS(0)), 0
	for i := range summaries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			tick := func(second int, r result.Summary) {
				if len(summaries) > 1 {
					return
				}
				if h.points = append(h.points, result.PointOf(second, r)); second%10 == 0 {
					printProgress(c, second, r)
				}
			}
			w := world.New(e, seed+uint64(i))
			s := w.Run(tick)
			if len(summaries) == 1 {
				h.ledger = w.Ledger()
			}
			s.Seed = seed + uint64(i)
			summaries[i] = s
			mu.Lock()
			defer mu.Unlock()
			if done++; len(summaries) > 1 && done%max(1, len(summaries)/10) == 0 {
				c.PrintErrf("%d of %d seeds\n", done, len(summaries))
			}
		}()
	}
	wg.Wait()
	return result.Sum(summaries), h
}

// runLive runs one seed with processes of the built broker.
func runLive(c *cobra.Command, e *exp.Experiment, seed uint64, binary, wire string) (_ result.Summary, h history,
	_ error) {
	if wire != "frames" && wire != "flight" {
		return result.Summary{}, h, fmt.Errorf("--wire %q: want frames or flight", wire)
	}
	dir, err := os.MkdirTemp("", "emulator")
	if err != nil {
		return result.Summary{}, h, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	w := world.New(e, seed)
	s, err := w.RunLive(ctx, world.LiveOptions{Binary: binary, Dir: dir,
		Flight: wire == "flight"},
		func(second int, r result.Summary) {
			if h.points = append(h.points, result.PointOf(second, r)); second%5 == 0 {
				printProgress(c, second, r)
			}
		})
	s.Seed, h.ledger = seed, w.Ledger()
	if err != nil {
		return s, h, fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if s.Violations() > 0 {
		c.PrintErrln("the brokers' logs are in", dir)
		return s, h, nil
	}
	return s, h, os.RemoveAll(dir)
}

// printProgress prints the counts so far on a line.
func printProgress(c *cobra.Command, second int, r result.Summary) {
	c.PrintErrf("%4d s: %d taken, %d answered, %d refused, %d failed, "+
		"p50 %.0f ms, p99 %.0f ms, %d changes, worth %.3f\n",
		second, r.Received, r.Answered, r.Rejected, r.Failed, r.P50Ms, r.P99Ms, r.Changes, r.EarnedShare)
}

// upCommand returns the command that starts a small deployment to try the broker with.
func upCommand() *cobra.Command {
	var binary, wire string
	var seconds float64
	c := &cobra.Command{Use: "up", Short: "Start a fleet and the built broker on loopback, until interrupted",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			e, err := exp.LoadText("up.jsonnet", experiments.Up, nil)
			if err != nil {
				return err
			}
			if seconds > 0 {
				e.Seconds = seconds
			}
			dir, err := os.MkdirTemp("", "emulator")
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			c.Printf("%d nodes, %d brokers, %d slices over %s; configurations and logs are in %s; ctrl-C stops it\n",
				e.Backends, e.Brokers, e.Shards, wire, dir)
			s, err := world.New(e, uint64(time.Now().UnixNano())).RunLive(ctx,
				world.LiveOptions{Binary: binary, Dir: dir, Flight: wire == "flight"},
				func(_ int, r result.Summary) {
					c.Printf("%s answered %d, refused %d, failed %d, p50 %.0f ms, p99 %.0f ms, %d slices at epoch %d, "+
						"%d rules broken\n",
						time.Now().Format(time.TimeOnly), r.Answered, r.Rejected, r.Failed, r.P50Ms, r.P99Ms, r.Shards, r.Epochs,
						r.Violations())
				})
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			if n := s.Violations(); n > 0 {
				return fmt.Errorf("rules were broken %d times: %s", n, strings.Join(s.Notes, "; "))
			}
			return os.RemoveAll(dir)
		}}
	c.Flags().StringVar(&binary, "binary", "bin/ternstage", "path of the broker")
	c.Flags().StringVar(&wire, "wire", "frames", "frames (and HTTP/1.1 to clients) or flight")
	c.Flags().Float64Var(&seconds, "seconds", 0, "run time in seconds; 0: that of the built-in experiment, 7200")
	c.SetOut(os.Stdout)
	return c
}

// compareCommand returns the command that compares the results of two runs.
func compareCommand() *cobra.Command {
	c := &cobra.Command{Use: "compare A B", Short: "Compare the figures of two runs written with --out",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := result.Read(args[0])
			if err != nil {
				return err
			}
			b, err := result.Read(args[1])
			if err != nil {
				return err
			}
			c.Print(result.Compare(a, b))
			return nil
		}}
	c.SetOut(os.Stdout)
	return c
}

// reportCommand returns the command that writes a report of a run.
func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Write report.html for a run written with --out",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return result.Report(args[0]) }}
}
