package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is one run: its record, its temporary folder, and what has to be ended with it.
type world struct {
	start   time.Time
	trouble bool
	dir     string // temporary folder
	root    string // root of the repository

	mu      sync.Mutex
	record  *os.File
	broken  []string // breaks of the rule
	brokers []*broker
}

// newWorld opens record.txt in the folder of the case.
func newWorld(folder string) *world {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	root, err := os.Getwd()
	check(err)
	return &world{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, record: record}
}

// at returns the milliseconds since the start of the run.
func (w *world) at(t time.Time) float64 { return float64(t.Sub(w.start).Microseconds()) / 1000 }

// note writes one line, with the time of the run in ms, to the record.
func (w *world) note(format string, values ...any) {
	line := fmt.Sprintf("%9.1f ", w.at(time.Now())) + fmt.Sprintf(format, values...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

// breaks records a break of the rule.
func (w *world) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	w.note("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// end ends the processes, writes the result and returns the exit code.
func (w *world) end() int {
	for _, b := range w.brokers {
		b.kill()
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	broken := len(w.broken)
	w.mu.Unlock()
	result := "held"
	if broken > 0 {
		result = fmt.Sprintf("broken %d times", broken)
	}
	w.note("the rule was %s (trouble: %v)", result, w.trouble)
	fmt.Printf("the rule was %s (trouble: %v)\n", result, w.trouble)
	for i, text := range w.broken {
		if i < 5 {
			fmt.Println("  " + text)
		}
	}
	if broken > 0 {
		return 1
	}
	return 0
}

// cannotRun is the panic of a run whose preconditions were not met.
type cannotRun struct{ text string }

func giveUp(format string, values ...any) { panic(cannotRun{fmt.Sprintf(format, values...)}) }

func check(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// longest is the longest time of a run; a case needs 24 s at most.
const longest = 110 * time.Second

// cases are the cases of this review by name.
var cases = map[string]func(*world){}

func run(play func(*world), folder string) (code int) {
	w := newWorld(folder)
	time.AfterFunc(longest, func() {
		w.note("could not run: not done within %v", longest)
		for _, b := range w.brokers {
			_ = b.command.Process.Kill()
		}
		os.Exit(2)
	})
	defer func() {
		if failure := recover(); failure != nil {
			w.end()
			why, ok := failure.(cannotRun)
			if !ok {
				panic(failure)
			}
			w.note("could not run: %s", why.text)
			fmt.Println("could not run:", why.text)
			code = 2
		}
	}()
	play(w)
	return w.end()
}

// waitFor waits until a condition holds, and gives the run up after a limit.
func waitFor(limit time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			giveUp("%s: not within %v", what, limit)
		}
	}
}
