package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ternstage/internal/control/adminclient"
	"ternstage/internal/decision/maintenance"
)

// Exit codes of the admin commands. A command that makes several calls exits with the highest code of these calls.
const (
	exitYes      = 0
	exitNo       = 1
	exitNoAnswer = 2
	// exitUsage means that the command line, or a file that it names, cannot be used. No call was made.
	exitUsage = 3
)

// defaultTimeout is the time limit for all calls of one command together.
const defaultTimeout = 3 * time.Second

// exitError ends the program with an exit code. No message is printed, since the command has printed its own.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// admin holds the flags that all admin commands share.
type admin struct {
	address string
	timeout time.Duration
	asJSON  bool
}

// adminCommand returns the command with the sub-commands that call the admin API of one process.
func adminCommand() *cobra.Command {
	a := &admin{}
	root := &cobra.Command{
		Use:   "admin",
		Short: "Call the admin API of a running broker",
		Long: "Call the admin API of a running broker. Exit code 0: every answer is yes; 1: an answer is no;\n" +
			"2: no answer in time; 3: the command line cannot be used. Each command may be repeated safely.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.address, "mgmt", os.Getenv("BALANCER_MGMT"), "address of the admin API, HOST:PORT")
	flags.DurationVar(&a.timeout, "within", defaultTimeout, "time limit for all calls; unanswered calls are repeated")
	flags.BoolVar(&a.asJSON, "json", false, "print JSON")
	root.AddCommand(
		a.brokerCommand(adminclient.Ready, "Print whether the process is ready to serve"),
		a.brokerCommand(adminclient.Drain, "Send clients elsewhere; open connections are served and closed within 4 s"),
		a.brokerCommand(adminclient.Activate, "End the drain and accept clients again"),
		a.backendCommand("suspend", "Take backends out of service until resumed, also across restarts and upgrades",
			adminclient.Suspend),
		a.backendCommand("resume", "Put backends back into service", adminclient.Resume),
		a.suspendedCommand("suspended"),
		hiddenAlias(a.suspendedCommand("held")),
	)
	return root
}

// brokerCommand returns the command for a call that concerns the broker itself.
func (a *admin) brokerCommand(call adminclient.Call, short string) *cobra.Command {
	return &cobra.Command{
		Use:   call.Name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return a.runCalls(c, call) },
	}
}

// backendCommand returns the command that makes a call for each backend that its arguments name.
func (a *admin) backendCommand(name, short string, call func(id string) adminclient.Call) *cobra.Command {
	return &cobra.Command{
		Use:   name + " ID...",
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, ids []string) error {
			calls := make([]adminclient.Call, 0, len(ids))
			for _, id := range ids {
				if !maintenance.ValidID(id) {
					return fmt.Errorf("%q is no backend's id: it has 1 to 256 letters, digits or -_.: characters", id)
				}
				calls = append(calls, call(id))
			}
			return a.runCalls(c, calls...)
		},
	}
}

// hiddenAlias returns a command under its earlier name, which the help does not show.
func hiddenAlias(command *cobra.Command) *cobra.Command {
	command.Hidden = true
	return command
}

// runCalls makes calls one after the other and prints their outcomes. It returns an exitError unless all answers are
// yes.
func (a *admin) runCalls(c *cobra.Command, calls ...adminclient.Call) error {
	if a.address == "" {
		return errors.New("no address: use --mgmt HOST:PORT or set BALANCER_MGMT")
	}
	ctx, cancel := context.WithTimeout(c.Context(), a.timeout)
	defer cancel()
	exitCode := exitYes
	answers := make([]adminclient.Answer, 0, len(calls))
	for _, call := range calls {
		answer, err := adminclient.Do(ctx, a.address, call)
		answers = append(answers, answer)
		exitCode = max(exitCode, exitCodeOf(answer, err))
	}
	if err := a.printAnswers(c, answers, exitCode); err != nil {
		return err
	}
	if exitCode != exitYes {
		return exitError(exitCode)
	}
	return nil
}

func exitCodeOf(answer adminclient.Answer, err error) int {
	switch {
	case err != nil:
		return exitNoAnswer
	case !answer.OK:
		return exitNo
	}
	return exitYes
}

func (a *admin) printAnswers(c *cobra.Command, answers []adminclient.Answer, exitCode int) error {
	if a.asJSON {
		return printJSON(c.OutOrStdout(), map[string]any{"mgmt": a.address, "calls": answers, "exit": exitCode})
	}
	const columnPadding = 2
	table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, columnPadding, ' ', 0)
	for _, answer := range answers {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", answer.Call, answer.ID, outcomeText(answer),
			answer.Reason); err != nil {
			return err
		}
	}
	return table.Flush()
}

func outcomeText(answer adminclient.Answer) string {
	switch {
	case answer.OK:
		return "yes"
	case answer.Status == 0:
		return "no answer"
	}
	return "no"
}

func printJSON(w io.Writer, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(text))
	return err
}
