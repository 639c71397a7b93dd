package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"ternstage/internal/config"
)

// exitFailure is the exit code for an error of any command but `ternstage admin`, whose codes are in admin.go.
const exitFailure = 1

func main() {
	command, err := rootCommand().ExecuteC()
	if err != nil {
		os.Exit(report(command, err))
	}
}

// report prints the error of a command, unless the command has printed its own, and returns the exit code.
func report(command *cobra.Command, err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return int(exit)
	}
	fmt.Fprintln(os.Stderr, "ternstage:", err)
	if errors.Is(err, config.ErrNotConfigured) {
		fmt.Fprintln(os.Stderr, "To try it on an emulated fleet: make try. To serve: BALANCER_CONFIG=FILE ternstage")
	}
	if isAdmin(command) || command.HasParent() && isAdmin(command.Parent()) {
		return exitUsage
	}
	return exitFailure
}

func isAdmin(command *cobra.Command) bool { return command.Name() == "admin" }

// rootCommand returns the command line: without a sub-command it serves, as the platform starts it.
func rootCommand() *cobra.Command {
	var operatorFile string
	runServe := func(*cobra.Command, []string) error { return serve(operatorFile) }
	root := &cobra.Command{
		Use:           "ternstage",
		Short:         "A broker between many teams' services",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          runServe,
	}
	root.PersistentFlags().StringVar(&operatorFile, "operator", "",
		"the operator's file (Jsonnet); "+envOperator+" names it otherwise, and without either none is read")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve, as BALANCER_CONFIG says",
			Args:  cobra.NoArgs,
			RunE:  runServe,
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Say what a configuration and the operator's file do",
			Args:  cobra.ExactArgs(1),
			RunE:  func(c *cobra.Command, args []string) error { return check(c, args[0], operatorFile) },
		},
		&cobra.Command{
			Use:   "version",
			Short: "Say which build this is",
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				c.Println("ternstage", version())
				return nil
			},
		},
		adminCommand(),
	)
	root.SetOut(os.Stdout)
	return root
}

// version returns the commit that was built, as the go command notes it.
func version() string {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := build.Main.Version
	modified := ""
	for _, setting := range build.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " with changes"
		}
	}
	return revision + modified + " " + build.GoVersion
}
