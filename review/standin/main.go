// Command standin plays the cases of the review: it starts the program under test with the command of the deploy file
// and takes the place of its clients, leafs, discovery and operators. All sockets are on loopback.
//
// Usage: standin CASE ROOT RECORD. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// longestPlay is the time after which a play is given up.
const longestPlay = 112 * time.Second

// play is one play of a case.
type play struct {
	rec     *record
	root    string // of the repository
	dir     string // temporary
	trouble bool

	mu      sync.Mutex
	brokers []*broker // that were started
	over    bool      // no further process is started
}

// startProcess starts the process of a broker, unless the play is over.
func (p *play) startProcess(b *broker) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return errors.New("the play is over")
	}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	p.brokers = append(p.brokers, b)
	return nil
}

// stopAll ends every process that the play started.
func (p *play) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	for _, b := range p.brokers {
		b.stop()
	}
	p.brokers = nil
}

var cases = map[string]func(p *play) (broken bool, err error){
	"flood":              playFlood,
	"suspend-in-outage":  playSuspendInOutage,
	"spoilt-over-flight": playSpoiltOverFlight,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(notPlayed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(playCase func(p *play) (bool, error), root, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer os.RemoveAll(dir)
	p := &play{rec: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.say("began at %s, trouble %v", time.Now().UTC().Format(time.RFC3339), p.trouble)
	defer p.stopAll()
	broken, err := withinTime(p, playCase)
	switch {
	case err != nil:
		rec.say("not played: %v", err)
		return notPlayed
	case broken:
		rec.say("the rule is broken")
		return ruleBroken
	}
	rec.say("the rule is kept")
	return ruleHeld
}

// withinTime plays a case, but gives it up after longestPlay or when this process is told to end.
func withinTime(p *play, playCase func(p *play) (bool, error)) (bool, error) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := playCase(p)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		return r.broken, r.err
	case <-ended:
		return false, errors.New("told to end")
	case <-time.After(longestPlay):
		return false, errors.New("given up after the longest time of a play")
	}
}
