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
		os.Exit(reportError(command, err))
	}
}

// reportError prints the error of a command, unless it is an exitError, and returns the exit code.
func reportError(command *cobra.Command, err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return int(exit)
	}
	fmt.Fprintln(os.Stderr, "ternstage:", err)
	if errors.Is(err, config.ErrNotConfigured) {
		fmt.Fprintln(os.Stderr, "To try it on an emulated fleet: make try. To serve: BALANCER_CONFIG=FILE ternstage")
	}
	if isAdminCommand(command) || command.HasParent() && isAdminCommand(command.Parent()) {
		return exitUsage
	}
	return exitFailure
}

func isAdminCommand(command *cobra.Command) bool { return command.Name() == "admin" }

// rootCommand returns the command line: without a sub-command it serves, as the platform starts it.
func rootCommand() *cobra.Command {
	var operatorFile string
	runServe := func(*cobra.Command, []string) error { return serve(operatorFile) }
	root := &cobra.Command{
		Use:           "ternstage",
		Short:         "Query broker for sharded and replicated backends",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          runServe,
	}
	root.PersistentFlags().StringVar(&operatorFile, "operator", "",
		"the operator's file (Jsonnet); by default the file that "+envOperator+" names, if it is set")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve with the configuration that BALANCER_CONFIG names",
			Args:  cobra.NoArgs,
			RunE:  runServe,
		},
		&cobra.Command{
			Use:   "check FILE",
			Short: "Print a summary of a configuration and the operator's file",
			Args:  cobra.ExactArgs(1),
			RunE:  func(c *cobra.Command, args []string) error { return check(c, args[0], operatorFile) },
		},
		&cobra.Command{
			Use:   "version",
			Short: "Print the version of this build",
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

// version returns the commit from which the program was built, as recorded by the go command, and the Go version.
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
