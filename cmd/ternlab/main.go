// Command ternlab is the lab: it plays experiments in virtual time or live on loopback, and keeps what they found.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/result"
	"ternstage/internal/lab/world"
)

func main() {
	root := &cobra.Command{Use: "ternlab", Short: "Plays experiments with brokers, nodes and clients",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ternlab:", err)
		os.Exit(1)
	}
}

func runCommand() *cobra.Command {
	var seed uint64
	var runs int
	var mode, out, binary, wire string
	var vars []string
	c := &cobra.Command{Use: "run FILE", Short: "Play an experiment and check the rules", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := load(args[0], vars)
			if err != nil {
				return err
			}
			var s result.Summary
			switch mode {
			case "sim":
				s = play(c, e, seed, runs)
			case "live":
				if s, err = playLive(c, e, seed, binary, wire); err != nil {
					return err
				}
			default:
				return fmt.Errorf("--mode %s: sim or live", mode)
			}
			if out != "" {
				if err := result.Write(out, s); err != nil {
					return err
				}
			}
			c.Print(s.Table())
			passed, faults := s.Judge(e.Expect)
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
var defaults = map[string]string{"every": "2000", "arm": "follow", "seconds": "60"}

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

// play plays the seeds side by side, one to a core.
func play(c *cobra.Command, e *exp.Experiment, seed uint64, runs int) result.Summary {
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
				if len(all) == 1 && second%10 == 0 {
					line(c, second, r)
				}
			}
			s := world.New(e, seed+uint64(i)).Run(tick)
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
	return result.Sum(all)
}

// playLive plays one seed against the built program.
func playLive(c *cobra.Command, e *exp.Experiment, seed uint64, binary, wire string) (result.Summary, error) {
	if wire != "frames" && wire != "flight" {
		return result.Summary{}, fmt.Errorf("--wire %s: frames or flight", wire)
	}
	dir, err := os.MkdirTemp("", "ternlab")
	if err != nil {
		return result.Summary{}, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := world.New(e, seed).RunLive(ctx, world.LiveOptions{Binary: binary, Dir: dir, Flight: wire == "flight"},
		func(second int, r result.Summary) {
			if second%5 == 0 {
				line(c, second, r)
			}
		})
	s.Seed = seed
	if err != nil {
		return s, fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if s.Broken() > 0 {
		c.PrintErrln("the brokers' logs are in", dir)
		return s, nil
	}
	return s, os.RemoveAll(dir)
}

// line is a line of progress.
func line(c *cobra.Command, second int, r result.Summary) {
	c.PrintErrf("%4d s: %d taken, %d answered, %d refused, %d failed, p50 %.0f ms, p99 %.0f ms, %d changes, worth %.3f\n",
		second, r.Taken, r.Answered, r.Refused, r.Failed, r.P50, r.P99, r.Changes, r.Worth)
}
