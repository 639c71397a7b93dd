// Command ternstage is the broker: it wires the fronts, the core with its decision module, the back ends and
// discovery to one loop.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"ternstage/internal/config"
)

func main() {
	if c, err := command().ExecuteC(); err != nil {
		code := exitError(1)
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, "ternstage:", err)
		if errors.Is(err, config.ErrNotConfigured) {
			fmt.Fprintln(os.Stderr,
				"To try it on an emulated fleet: make try. To serve: BALANCER_CONFIG=FILE ternstage")
		}
		if c.Name() == "admin" || c.HasParent() && c.Parent().Name() == "admin" {
			code = exitUsage
		}
		os.Exit(int(code))
	}
}

// command is the command line: without a sub-command it serves, as the platform starts it.
func command() *cobra.Command {
	var file string
	root := &cobra.Command{Use: "ternstage", Short: "A broker between many teams' services",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return serve(file) }}
	root.PersistentFlags().StringVar(&file, "operator", "",
		"the operator's file (Jsonnet); "+envOperator+" names it otherwise, and without either none is read")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as BALANCER_CONFIG says", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(file) }},
		&cobra.Command{Use: "check FILE", Short: "Say what a configuration and the operator's file do",
			Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
				return check(c, args[0],
					file)
			}},
		&cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				c.Println("ternstage", version())
				return nil
			}},
		adminCommand())
	root.SetOut(os.Stdout)
	return root
}

// version is the commit that was built, as the go command notes it.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out, dirty := b.Main.Version, ""
	for _, s := range b.Settings {
		switch {
		case s.Key == "vcs.revision":
			out = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " with changes"
		}
	}
	return out + dirty + " " + b.GoVersion
}

// check reads what serve would read and says what it would do.
func check(c *cobra.Command, path, operatorFile string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	cfg, err := config.Parse(text, os.Getenv, false)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	x, err := loadExtras(operatorFile)
	if err != nil {
		return err
	}
	c.Printf("%s takes queries at %s and asks discovery at %s\n", cfg.Name, cfg.Listen, cfg.Discovery)
	for _, k := range cfg.Contracts.Classes {
		c.Printf("class %s: %s, wanted within %.0f ms, given up at %.0f ms, answered from %.0f%% of its weight\n",
			k.Name, k.Idempotency, k.LatencyObjectiveMs, k.DeadlineMs, 100*k.MinCompleteness)
	}
	for _, t := range cfg.Contracts.Tenants {
		c.Printf("tenant %s: %.1f queries a second\n", t.Name, t.QueriesPerSecond)
	}
	switch s := x.file.Sharding; s {
	case nil:
		c.Printf("%d shards on %d cells, each on %d; they do not move\n", cfg.Scheduler.Shards, cfg.Scheduler.Cells,
			cfg.Scheduler.CellsPerShard)
	default:
		c.Printf("slices move, as the catalogue at %s says\n", s.Catalogue)
	}
	if x.flight.Enabled {
		c.Printf("Flight clients are taken at %s\n", x.flight.Listen)
	}
	if x.flight.Backends {
		c.Println("rate nodes are asked over Flight")
	}
	return nil
}
