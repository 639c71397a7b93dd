package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ternstage/internal/config"
)

// check reads the files that serve would read and prints what they configure. Scripts may parse the output, so its
// texts must not change.
func check(c *cobra.Command, path, operatorFile string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	cfg, err := config.Parse(text, os.Getenv, false)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	enabled, err := loadFeatures(operatorFile)
	if err != nil {
		return err
	}
	printConfig(c, cfg)
	printFeatures(c, cfg, enabled)
	return nil
}

func printConfig(c *cobra.Command, cfg *config.Config) {
	c.Printf("%s takes queries at %s and asks discovery at %s\n", cfg.Name, cfg.Listen, cfg.Discovery)
	for _, class := range cfg.Contracts.Classes {
		c.Printf("class %s: %s, wanted within %.0f ms, given up at %.0f ms, answered from %.0f%% of its weight\n",
			class.Name, class.Idempotency, class.LatencyObjectiveMs, class.DeadlineMs, 100*class.MinCompleteness)
	}
	for _, tenant := range cfg.Contracts.Tenants {
		c.Printf("tenant %s: %.1f queries a second\n", tenant.Name, tenant.QueriesPerSecond)
	}
}

func printFeatures(c *cobra.Command, cfg *config.Config, enabled *features) {
	if sharding := enabled.file.Sharding; sharding == nil {
		c.Printf("%d shards on %d cells, each on %d; they do not move\n", cfg.Scheduler.Shards, cfg.Scheduler.Cells,
			cfg.Scheduler.CellsPerShard)
	} else {
		c.Printf("slices move, as the catalogue at %s says\n", sharding.Catalogue)
	}
	if enabled.flight.Enabled {
		c.Printf("Flight clients are taken at %s\n", enabled.flight.Listen)
	}
	if enabled.flight.Backends {
		c.Println("rate nodes are asked over Flight")
	}
}
