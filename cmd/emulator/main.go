// Command emulator is the lab: it plays experiments in virtual time or live on loopback, and keeps what they
// found.
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
	root := &cobra.Command{Use: "emulator", Short: "Plays experiments with brokers, nodes and clients",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), upCommand(), compareCommand(), reportCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

func runCommand() *cobra.Command {
	var seed uint64
	var runs int
	var mode, out, binary, wire string
	var vars []string
	c := &cobra.Command{Use: "run FILE", Short: "Play an experiment and check the rules",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := load(args[0], vars)
			if err != nil {
				return err
			}
			var s result.Summary
			var of course
			switch mode {
			case "sim":
				s, of = play(c, e, seed, runs)
			case "live":
				if s, of, err = playLive(c, e, seed, binary, wire); err != nil {
					return err
				}
			default:
				return fmt.Errorf("--mode %s: sim or live", mode)
			}
			if out != "" {
				if err := errors.Join(result.Write(out, s), result.WriteRuns(out, s),
					result.WriteSeries(out, of.points)); err != nil {
					return err
				}
				if of.fleet != nil {
					if err := result.WriteFleet(out, of.fleet); err != nil {
						return err
					}
				}
			}
			c.Print(s.Table())
			passed, faults := s.CheckBounds(e.Expect)
			for _, f := range faults {
				c.Println("FAILED:", f)
			}
			c.Printf("%d passed, %d failed\n", passed, len(faults))
			if len(faults) > 0 {
				return fmt.Errorf("%s: %d bounds or rules did not hold", e.Name, len(faults))
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&runs, "runs", 1, "so many seeds, from the first on")
	c.Flags().StringVar(&mode, "mode", "sim", "sim: virtual time; live: the built broker on loopback")
	c.Flags().StringVar(&binary, "binary", "bin/ternstage", "live: the broker")
	c.Flags().StringVar(&wire, "wire", "frames", "live: frames (and HTTP/1.1 to clients) or flight")
	c.Flags().StringVar(&out, "out", "", "folder for summary.json, tables and charts")
	c.Flags().StringArrayVar(&vars, "var", nil, "NAME=VALUE: an external variable of the experiment")
	c.SetOut(os.Stdout)
	return c
}

// defaults are the external variables where none are given.
var defaults = map[string]string{"every": "2000", "arm": "follow", "seconds": "60", "rate": "200",
	"stand": "1", "slow": "1", "vanish": "1", "down": "1", "drain": "1", "broker": "1", "zone_cut": "1",
	"silent": "1", "pause": "1",
	"brokers": "300", "nodes": "200", "join": "1", "herd": "0", "zone": "0", "roll": "0",
	"hot": "1", "idle": "0", "told": "0", "apart": "0", "jump": "0"}

func load(path string, vars []string) (*exp.Experiment, error) {
	all := map[string]string{}
	for k, v := range defaults {
		all[k] = v
	}
	for _, v := range vars {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return nil, fmt.Errorf("--var %s: NAME=VALUE", v)
		}
		all[name] = value
	}
	return exp.Load(path, all)
}

// course is how a single run went; several have none.
type course struct {
	points []result.Point
	fleet  *ledger.Ledger
}

// play plays the seeds side by side, one to a core.
func play(c *cobra.Command, e *exp.Experiment, seed uint64, runs int) (_ result.Summary, of course) {
	all := make([]result.Summary, max(runs, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots, done := make(chan struct{}, runtime.GOMAXPROCS(0)), 0
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			tick := func(second int, r result.Summary) {
				if len(all) > 1 {
					return
				}
				if of.points = append(of.points, result.PointOf(second, r)); second%10 == 0 {
					line(c, second, r)
				}
			}
			w := world.New(e, seed+uint64(i))
			s := w.Run(tick)
			if len(all) == 1 {
				of.fleet = w.Ledger()
			}
			s.Seed = seed + uint64(i)
			all[i] = s
			mu.Lock()
			defer mu.Unlock()
			if done++; len(all) > 1 && done%max(1, len(all)/10) == 0 {
				c.PrintErrf("%d of %d seeds\n", done, len(all))
			}
		}()
	}
	wg.Wait()
	return result.Sum(all), of
}

// playLive plays one seed against the built program.
func playLive(c *cobra.Command, e *exp.Experiment, seed uint64, binary, wire string) (_ result.Summary,
	of course, _ error) {
	if wire != "frames" && wire != "flight" {
		return result.Summary{}, of, fmt.Errorf("--wire %s: frames or flight", wire)
	}
	dir, err := os.MkdirTemp("", "emulator")
	if err != nil {
		return result.Summary{}, of, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	w := world.New(e, seed)
	s, err := w.RunLive(ctx, world.LiveOptions{Binary: binary, Dir: dir,
		Flight: wire == "flight"},
		func(second int, r result.Summary) {
			if of.points = append(of.points, result.PointOf(second, r)); second%5 == 0 {
				line(c, second, r)
			}
		})
	s.Seed, of.fleet = seed, w.Ledger()
	if err != nil {
		return s, of, fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if s.Violations() > 0 {
		c.PrintErrln("the brokers' logs are in", dir)
		return s, of, nil
	}
	return s, of, os.RemoveAll(dir)
}

// line is a line of progress.
func line(c *cobra.Command, second int, r result.Summary) {
	c.PrintErrf("%4d s: %d taken, %d answered, %d refused, %d failed, "+
		"p50 %.0f ms, p99 %.0f ms, %d changes, worth %.3f\n",
		second, r.Received, r.Answered, r.Rejected, r.Failed, r.P50Ms, r.P99Ms, r.Changes, r.EarnedShare)
}

// upCommand is the first thing a new user runs.
func upCommand() *cobra.Command {
	var binary, wire string
	var seconds float64
	c := &cobra.Command{Use: "up", Short: "Start a fleet and the built broker on loopback, until it is ended",
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
			c.Printf("%d nodes, %d brokers, %d slices over %s; configurations and logs are in %s; ctrl-C ends it\n",
				e.Backends,
				e.Brokers, e.Shards, wire, dir)
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
	c.Flags().StringVar(&binary, "binary", "bin/ternstage", "the broker")
	c.Flags().StringVar(&wire, "wire", "frames", "frames (and HTTP/1.1 to clients) or flight")
	c.Flags().Float64Var(&seconds, "seconds", 0, "end after so long; 0: when it is told to")
	c.SetOut(os.Stdout)
	return c
}

func compareCommand() *cobra.Command {
	c := &cobra.Command{Use: "compare A B", Short: "Put the figures of two kept runs side by side",
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

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Write report.html from what a kept run holds",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return result.Report(args[0]) }}
}
