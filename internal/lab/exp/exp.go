// Package exp reads the lab's experiments: Jsonnet files, held against api/experiment.schema.json.
package exp

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"

	"ternstage/api"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/jsonnetfile"
	"ternstage/internal/lab/model"
)

// Span is a range from which figures are drawn evenly.
type Span [2]float64

// Draw draws a figure.
func (s Span) Draw(r *rand.Rand) float64 { return s[0] + (s[1]-s[0])*r.Float64() }

// The arms of an experiment.
const (
	Follow = "follow" // the broker follows the catalogue
	Sighup = "sighup" // it reads the map at the start and at each SIGHUP, and nodes fence nothing
	Naive  = "naive"  // as that, and it sends again on any error, whatever the class
)

// Class is a class of queries.
type Class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Share    float64 `json:"share"`
	Parts    Span    `json:"parts"`
	Work     Span    `json:"work"`
	Aim      float64 `json:"aim"`
	Deadline float64 `json:"deadline"`
	Worth    float64 `json:"worth"`
	Late     float64 `json:"late_worth"`
	Floor    float64 `json:"floor"`
	Partial  float64 `json:"partial_worth"`
}

// Once tells that a part of the class must not run twice.
func (c Class) Once() bool { return c.Effect == "non_idempotent" }

// Experiment is one experiment. Times are ms.
type Experiment struct {
	Name      string  `json:"name"`
	Seconds   float64 `json:"seconds"`
	Arm       string  `json:"arm"`
	SighupMS  float64 `json:"sighup_ms"`
	Nodes     int     `json:"nodes"`
	Brokers   int     `json:"brokers"`
	Slices    int     `json:"slices"`
	Districts int     `json:"districts"`
	Reach     int     `json:"reach"`
	Rate      float64 `json:"rate"`
	Tries     int     `json:"tries"`
	Retries   int     `json:"retries"`
	History   int     `json:"history"` // retired slices that a broker remembers; 0: as many as the product
	Client    Span    `json:"client_news_ms"`
	Zones     int     `json:"zones"`        // nodes and brokers stand in so many, in turn
	Cross     Span    `json:"cross"`        // ms one way between them
	Copies    bool    `json:"copies"`       // a second copy may be out, where a repeat is safe
	Pushed    bool    `json:"pushed"`       // the list is pushed to an agent beside each broker
	Script    []Event `json:"script"`       // what goes wrong when, besides what is drawn
	Told      int     `json:"told_brokers"` // how many brokers each is told there are; 0: as many as there are
	Traffic   struct {
		Hot  float64 `json:"hot"`  // x the mean: what the first broker is asked for; 0: as the others
		Idle float64 `json:"idle"` // share of the brokers, the last ones, that are asked for nothing
	} `json:"traffic"`
	Clocks struct {
		Apart float64 `json:"apart"` // ms: brokers' clocks are up to so far from the true time
		Jump  float64 `json:"jump"`  // ms by which the first broker's is ahead
	} `json:"clocks"`
	Links struct { // live: relays on the links between brokers and nodes
		Delay  Span    `json:"delay"`  // ms by which what goes over them is late, one way
		Repeat float64 `json:"repeat"` // share of answers that come twice
	} `json:"links"`
	Classes []Class `json:"classes"`
	Node    struct {
		Cores        int     `json:"cores"`
		Room         int     `json:"room"`
		ColdFrom     float64 `json:"cold_from"`
		Warm         float64 `json:"warm"`
		FallMultiple float64 `json:"fall_multiple"`
		FallFor      float64 `json:"fall_for"`
		Pause        Span    `json:"pause"` // how long each stands still by itself; 0: never
		PauseEvery   Span    `json:"pause_every"`
		ReportEvery  Span    `json:"report_every"` // ms between measures of load; 0: none told
	} `json:"node"`
	Changes struct {
		Every    float64 `json:"every"` // 0: none
		Copy     Span    `json:"copy"`
		Handover Span    `json:"handover"`
		Abort    float64 `json:"abort"`
		Split    float64 `json:"split"`
		Merge    float64 `json:"merge"`
		Move     float64 `json:"move"`
	} `json:"changes"`
	News struct {
		List      Span    `json:"list"`
		Node      Span    `json:"node"`
		Catalogue Span    `json:"catalogue"`
		Lost      float64 `json:"lost"`
		Twice     float64 `json:"twice"`
		Spoilt    float64 `json:"spoilt"`
		Outages   []struct {
			At  float64 `json:"at"`
			For float64 `json:"for"`
		} `json:"outages"`
	} `json:"news"`
	Troubles struct {
		Every float64  `json:"every"` // 0: none
		For   Span     `json:"for"`
		Kinds []string `json:"kinds"`
	} `json:"troubles"`
	Expect map[string]Bound `json:"expect"`
}

// Event is a trouble at a stated time.
type Event struct {
	At   float64 `json:"at"`
	For  float64 `json:"for"`
	Kind string  `json:"kind"`
	On   int     `json:"on"` // the node, the zone of zone_cut, the broker of broker and silent
}

// Bound is what a figure of the summary must keep.
type Bound struct {
	Min *float64 `json:"min"`
	Max *float64 `json:"max"`
}

// Load reads an experiment. vars are the template's external variables.
func Load(path string, vars map[string]string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return LoadText(path, string(text), vars)
}

// LoadText is Load of a text that messages call by a name.
func LoadText(path, text string, vars map[string]string) (*Experiment, error) {
	e := &Experiment{}
	if err := jsonnetfile.LoadText(path, text, api.ExperimentSchema, vars, e); err != nil {
		return nil, err
	}
	e.defaults()
	if e.Reach > e.Nodes {
		return nil, fmt.Errorf("%s: reach: %d holders of %d nodes", path, e.Reach, e.Nodes)
	}
	for i, v := range e.Script {
		most := map[string]int{"zone_cut": e.Zones, "broker": e.Brokers, "silent": e.Brokers,
			"link_cut": e.Brokers}[v.Kind]
		if most == 0 {
			most = e.Nodes
		}
		if v.On < 0 || v.On >= most {
			return nil, fmt.Errorf("%s: script[%d]: %s on %d of %d", path, i, v.Kind, v.On, most)
		}
	}
	for i, c := range e.Classes {
		if int(c.Parts[0]) < 1 || c.Parts[1] < c.Parts[0] || int(c.Parts[1]) > e.Slices || c.Deadline < c.Aim {
			return nil, fmt.Errorf("%s: classes[%d]: parts %v of %d slices, aim %v, deadline %v", path, i, c.Parts,
				e.Slices, c.Aim, c.Deadline)
		}
	}
	return e, nil
}

func set[T comparable](to *T, v T) {
	var zero T
	if *to == zero {
		*to = v
	}
}

func (e *Experiment) defaults() {
	set(&e.Arm, Follow)
	set(&e.SighupMS, 10_000)
	set(&e.Districts, 16)
	set(&e.Reach, min(3, e.Nodes))
	set(&e.Tries, 4)
	set(&e.Client, Span{0, 2000})
	set(&e.Node.Cores, 2)
	set(&e.Node.Room, 64)
	set(&e.Node.ColdFrom, 0.21)
	set(&e.Node.Warm, 18_000)
	set(&e.Node.FallMultiple, 2.5)
	set(&e.Node.FallFor, 1500)
	set(&e.Changes.Copy, Span{200, 1500})
	set(&e.Changes.Handover, Span{100, 800})
	if e.Changes.Split+e.Changes.Merge+e.Changes.Move == 0 {
		e.Changes.Split, e.Changes.Merge, e.Changes.Move = 1, 1, 2
	}
	set(&e.News.List, Span{500, 3000})
	set(&e.News.Node, Span{2, 150})
	set(&e.News.Catalogue, Span{2, 150})
	set(&e.Troubles.For, Span{2000, 6000})
	set(&e.Zones, 1)
	set(&e.Cross, Span{0.4, 0.8})
	set(&e.Node.PauseEvery, Span{4900, 8700})
	for i := range e.Classes {
		set(&e.Classes[i].Worth, 1)
		set(&e.Classes[i].Floor, 1)
	}
}

// NodeOptions are the figures of a node.
func (e *Experiment) NodeOptions() model.Options {
	return model.Options{Cores: e.Node.Cores, Room: e.Node.Room, ColdFrom: e.Node.ColdFrom, Warm: e.Node.Warm,
		FallMultiple: e.Node.FallMultiple, FallFor: e.Node.FallFor}
}

// Settings are what a broker's module is told.
func (e *Experiment) Settings(me int, layout scheduler.Placement) scheduler.Settings {
	told := e.ToldBrokers()
	s := scheduler.Settings{BrokerIndex: me % told, BrokerCount: told, TimerResolution: 5, Shards: e.Slices, Cells: e.Nodes, CellsPerShard: e.Reach,
		LocalZone: e.ZoneOf(me), AllowHedging: e.Copies,
		Placement: layout, MaxPartsPerCall: 1, PollEndpoints: !e.Pushed, MaxStaleness: 10_000, CanCancel: true, MaxAttempts: e.Tries,
		MaxRetryAfter: 1000, DrainGrace: 1000, SlowStart: scheduler.SlowStartSettings{
			InitialCapacity: e.Node.ColdFrom, Duration: e.Node.Warm, WorkMultiple: e.Node.FallMultiple, Window: e.Node.FallFor},
		AnswerGrace: 20}
	for _, c := range e.Classes {
		k := scheduler.Class{LatencyObjective: c.Aim, Deadline: c.Deadline, PriorityWeight: c.Worth, LateFactor: c.Late, MinCompleteness: c.Floor,
			CompletenessTarget: 1,
			PartialFactor:      c.Partial}
		if c.Once() && e.Arm != Naive {
			k.Idempotency = scheduler.NonIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// HasLinks tells that relays stand on the links between brokers and nodes.
func (e *Experiment) HasLinks() bool {
	return e.Links.Delay[1] > 0 || e.Links.Repeat > 0 ||
		slices.ContainsFunc(e.Script, func(v Event) bool { return v.Kind == "link_cut" })
}

// ToldBrokers is how many brokers each is told there are.
func (e *Experiment) ToldBrokers() int {
	if e.Told > 0 {
		return e.Told
	}
	return e.Brokers
}

// ClockOf is by how much a broker's clock is ahead of the true time, in ms.
func (e *Experiment) ClockOf(broker int) float64 {
	if broker == 0 && e.Clocks.Jump != 0 {
		return e.Clocks.Jump
	}
	return e.Clocks.Apart * (2*float64(broker*67%e.Brokers)/float64(e.Brokers) - 1)
}

// ZoneOf is the zone of the node or broker of that number.
func (e *Experiment) ZoneOf(i int) int { return i % e.Zones }

// NodeID is the name of a node.
func NodeID(i int) string { return fmt.Sprintf("node-%d", i) }

// Map is the map at the start: slices in a row, each on Reach nodes of a ring.
func (e *Experiment) Map() shardmap.Snapshot {
	w := shardmap.Snapshot{Epoch: 1, Buckets: e.Slices * e.Districts}
	for i := range e.Slices {
		s := &shardmap.Shard{ID: i, Range: shardmap.Range{Start: i * e.Districts, End: (i + 1) * e.Districts}}
		for j := range e.Reach {
			s.Replicas = append(s.Replicas, NodeID((i+j)%e.Nodes))
		}
		w.Shards = append(w.Shards, s)
	}
	return w
}
