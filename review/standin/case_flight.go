package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// spoiltEvery is the number of runs at a leaf of which one comes spoilt.
const spoiltEvery = 4

// playSpoiltOverFlight asks the leafs over Arrow Flight. Some answers come spoilt after the part has run. No part of a
// bind may run twice.
func playSpoiltOverFlight(p *play) (broken bool, err error) {
	spoils := func(nth int) bool { return p.trouble && nth%spoiltEvery == 1 }
	var leafs []*flightLeaf
	var members []member
	for cell := range 4 {
		l, err := startFlightLeaf(p.rec, fmt.Sprintf("s-%08x", 0x5be2a000+cell), spoils)
		if err != nil {
			return false, err
		}
		leafs = append(leafs, l)
		members = append(members, member{ID: l.id, Address: l.addr, Locality: "salt-lake", Flavor: "small-2c", Cell: cell,
			Phase: "SERVING", Size: 1})
	}
	list, err := startDiscovery(p.rec, members)
	if err != nil {
		return false, err
	}
	b, err := configure(p, "n1", memberList{firstRevision, true, members}, list.addr, settings())
	if err != nil {
		return false, err
	}
	operator := filepath.Join(p.dir, "operator.jsonnet")
	if err := os.WriteFile(operator, []byte("{ flight: { enabled: false, nodes: true } }\n"), 0o600); err != nil {
		return false, err
	}
	if err := b.launch(p, "TERNSTAGE_OPERATOR="+operator); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	served, err := askBinds(p, b)
	if err != nil {
		return false, err
	}
	if !b.running() {
		return false, errors.New("the broker has ended")
	}
	runs := map[string][]flightRun{}
	spoilt := 0
	for _, l := range leafs {
		for _, run := range l.all() {
			runs[run.id] = append(runs[run.id], run)
			if run.spoilt {
				spoilt++
			}
		}
	}
	twice := 0
	for id, ofPart := range runs {
		if len(ofPart) > 1 {
			twice++
			p.rec.say("part %s ran %d times: %v", id, len(ofPart), where(ofPart))
		}
	}
	p.rec.say("parts of bind: %d, spoilt answers: %d, queries served: %d, parts that ran twice: %d", len(runs), spoilt,
		served, twice)
	if served == 0 || p.trouble && spoilt == 0 {
		return false, errors.New("nothing was served or nothing was spoilt")
	}
	return twice > 0, nil
}

func where(runs []flightRun) []string {
	var out []string
	for _, run := range runs {
		out = append(out, fmt.Sprintf("%s spoilt=%v", run.leaf, run.spoilt))
	}
	return out
}

// askBinds sends 60 queries of class bind in 12 s and returns how many were served.
func askBinds(p *play, b *broker) (served int, err error) {
	client := newClient()
	var queries sync.WaitGroup
	var mu sync.Mutex
	for n := range 60 {
		q := newQuery("bind", 5*time.Second, n%8)
		queries.Go(func() {
			status, err := send(p.rec, client, b.listen, q)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == http.StatusOK {
				served++
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	queries.Wait()
	return served, nil
}
