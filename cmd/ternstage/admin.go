package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ternstage/internal/ops/adminclient"
	"ternstage/internal/ops/control"
	"ternstage/internal/ops/maintenance"
)

// Exit codes of the admin commands; for several calls the highest of theirs.
const (
	exitYes      = 0
	exitNo       = 1
	exitNoAnswer = 2
	exitUsage    = 3 // the command line, or what it names, cannot be used: nothing was called
)

// exitError ends the program with a code; what is to be said has been said.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// admin is what all admin commands share.
type admin struct {
	mgmt   string
	within time.Duration
	asJSON bool
}

// adminCommand is the operators' commands against the admin API of one process.
func adminCommand() *cobra.Command {
	a := &admin{}
	root := &cobra.Command{Use: "admin", Short: "Call the admin API of a broker that serves",
		Long: "Call the admin API of a broker that serves. Exit code 0: yes to all; 1: a no; 2: no answer in\n" +
			"time; 3: the command line cannot be used. Each command may be repeated safely.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	f := root.PersistentFlags()
	f.StringVar(&a.mgmt, "mgmt", os.Getenv("BALANCER_MGMT"), "address of the admin API, HOST:PORT")
	f.DurationVar(&a.within, "within", 3*time.Second, "bound on the whole; calls without an answer are repeated")
	f.BoolVar(&a.asJSON, "json", false, "print JSON")
	for _, s := range []struct {
		call  adminclient.Call
		short string
	}{
		{adminclient.Ready, "Whether the process is ready to serve"},
		{adminclient.Drain, "Send clients away; kept connections are served and ended within 4 s"},
		{adminclient.Activate, "Take clients again"},
	} {
		root.AddCommand(&cobra.Command{Use: s.call.Name, Short: s.short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return a.run(c, s.call) }})
	}
	for _, s := range []struct {
		call        func(id string) adminclient.Call
		name, short string
	}{
		{adminclient.Suspend, "suspend", "Take backends out until they are resumed, across restarts and upgrades"},
		{adminclient.Resume, "resume", "Put backends back"},
	} {
		root.AddCommand(&cobra.Command{Use: s.name + " ID...", Short: s.short, Args: cobra.MinimumNArgs(1),
			RunE: func(c *cobra.Command, ids []string) error {
				var calls []adminclient.Call
				for _, id := range ids {
					if !maintenance.ValidID(id) {
						return fmt.Errorf("%q is no backend's id: 1 to 256 letters, digits or any of -_.:", id)
					}
					calls = append(calls, s.call(id))
				}
				return a.run(c, calls...)
			}})
	}
	var dir string
	held := &cobra.Command{Use: "held", Short: "What is suspended or drained, as kept for the next process",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return a.held(c, dir) }}
	held.Flags().StringVar(&dir, "dir", os.TempDir(), "$TMPDIR of the broker")
	root.AddCommand(held)
	return root
}

// run makes calls one after the other within the bound and prints what became of them.
func (a *admin) run(c *cobra.Command, calls ...adminclient.Call) error {
	if a.mgmt == "" {
		return errors.New("no address: say --mgmt HOST:PORT, or set BALANCER_MGMT")
	}
	ctx, end := context.WithTimeout(c.Context(), a.within)
	defer end()
	worst, answers := exitYes, make([]adminclient.Answer, 0, len(calls))
	for _, call := range calls {
		answer, err := adminclient.Do(ctx, a.mgmt, call)
		answers = append(answers, answer)
		switch {
		case err != nil:
			worst = exitNoAnswer
		case !answer.OK:
			worst = max(worst, exitNo)
		}
	}
	if a.asJSON {
		if err := printJSON(c, map[string]any{"mgmt": a.mgmt, "calls": answers, "exit": worst}); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		for _, x := range answers {
			says := "no"
			switch {
			case x.OK:
				says = "yes"
			case x.Status == 0:
				says = "no answer"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", x.Call, x.ID, says, x.Reason)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if worst != exitYes {
		return exitError(worst)
	}
	return nil
}

// held prints what the files in the broker's $TMPDIR keep: there is no call for it.
func (a *admin) held(c *cobra.Command, dir string) error {
	out := struct {
		Suspended []string `json:"suspended"`
		Drained   bool     `json:"drained"`
		Since     string   `json:"drained_since,omitempty"` // RFC 3339
	}{Suspended: []string{}}
	path := filepath.Join(dir, heldFile)
	text, err := os.ReadFile(path)
	if err == nil {
		out.Suspended, err = maintenance.DecodeSuspensions(text)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: %w", path, err)
	}
	text, err = os.ReadFile(control.DrainPath(path))
	if out.Drained = err == nil; err == nil {
		var since float64
		if since, err = maintenance.DecodeDrain(text); err == nil {
			out.Since = time.UnixMilli(int64(since)).UTC().Format(time.RFC3339)
		}
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: %w", control.DrainPath(path), err)
	}
	if a.asJSON {
		return printJSON(c, out)
	}
	for _, id := range out.Suspended {
		c.Println("suspended", id)
	}
	if out.Drained {
		c.Println("drained since", out.Since)
	}
	if len(out.Suspended) == 0 && !out.Drained {
		c.Println("nothing")
	}
	return nil
}

func printJSON(c *cobra.Command, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), string(text))
	return err
}
