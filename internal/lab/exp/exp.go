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
	Name             string  `json:"name"`
	Effect           string  `json:"effect"`
	Share            float64 `json:"share"`
	Parts            Span    `json:"parts"`
	Work             Span    `json:"work"`
	LatencyObjective float64 `json:"aim"`
	Deadline         float64 `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`
	LateFactor       float64 `json:"late_worth"`
	MinCompleteness  float64 `json:"floor"`
	PartialFactor    float64 `json:"partial_worth"`
}

// Once tells that a part of the class must not run twice.
func (c Class) NonIdempotent() bool { return c.Effect == "non_idempotent" }

// Experiment is one experiment. Times are ms.
type Experiment struct {
	Name              string  `json:"name"`
	Seconds           float64 `json:"seconds"`
	Arm               string  `json:"arm"`
	SighupMs          float64 `json:"sighup_ms"`
	Backends          int     `json:"nodes"`
	Brokers           int     `json:"brokers"`
	Shards            int     `json:"slices"`
	BucketsPerShard   int     `json:"districts"`
	ReplicasPerShard  int     `json:"reach"`
	Rate              float64 `json:"rate"`
	MaxAttempts       int     `json:"tries"`
	ClientRetries     int     `json:"retries"`
	RetiredShards     int     `json:"history"` // retired slices that a broker remembers; 0: as many as the product
	ClientMapAge      Span    `json:"client_news_ms"`
	Zones             int     `json:"zones"`        // nodes and brokers stand in so many, in turn
	CrossZoneDelay    Span    `json:"cross"`        // ms one way between them
	AllowHedging      bool    `json:"copies"`       // a second copy may be out, where a repeat is safe
	PushEndpoints     bool    `json:"pushed"`       // the list is pushed to an agent beside each broker
	Script            []Event `json:"script"`       // what goes wrong when, besides what is drawn
	ConfiguredBrokers int     `json:"told_brokers"` // how many brokers each is told there are; 0: as many as there are
	Traffic           struct {
		HotFactor float64 `json:"hot"`  // x the mean: what the first broker is asked for; 0: as the others
		IdleShare float64 `json:"idle"` // share of the brokers, the last ones, that are asked for nothing
	} `json:"traffic"`
	Clocks struct {
		MaxOffset   float64 `json:"apart"` // ms: brokers' clocks are up to so far from the true time
		FirstOffset float64 `json:"jump"`  // ms by which the first broker's is ahead
	} `json:"clocks"`
	Links struct { // live: relays on the links between brokers and nodes
		Delay          Span    `json:"delay"`  // ms by which what goes over them is late, one way
		DuplicateShare float64 `json:"repeat"` // share of answers that come twice
	} `json:"links"`
	Classes []Class `json:"classes"`
	Backend struct {
		Cores            int     `json:"cores"`
		QueueLimit       int     `json:"room"`
		InitialCapacity  float64 `json:"cold_from"`
		WarmUp           float64 `json:"warm"`
		OverloadMultiple float64 `json:"fall_multiple"`
		OverloadWindow   float64 `json:"fall_for"`
		Pause            Span    `json:"pause"` // how long each stands still by itself; 0: never
		PauseInterval    Span    `json:"pause_every"`
		ReportInterval   Span    `json:"report_every"` // ms between measures of load; 0: none told
	} `json:"node"`
	Changes struct {
		Interval     float64 `json:"every"` // 0: none
		CopyTime     Span    `json:"copy"`
		HandoverTime Span    `json:"handover"`
		AbortShare   float64 `json:"abort"`
		Split        float64 `json:"split"`
		Merge        float64 `json:"merge"`
		Move         float64 `json:"move"`
	} `json:"changes"`
	Updates struct {
		EndpointListDelay Span    `json:"list"`
		BackendDelay      Span    `json:"node"`
		CatalogueDelay    Span    `json:"catalogue"`
		LostShare         float64 `json:"lost"`
		DuplicateShare    float64 `json:"twice"`
		MalformedShare    float64 `json:"spoilt"`
		Outages           []struct {
			At  float64 `json:"at"`
			For float64 `json:"for"`
		} `json:"outages"`
	} `json:"news"`
	Faults struct {
		Interval float64  `json:"every"` // 0: none
		For      Span     `json:"for"`
		Kinds    []string `json:"kinds"`
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
	e.applyDefaults()
	if e.ReplicasPerShard > e.Backends {
		return nil, fmt.Errorf("%s: reach: %d holders of %d nodes", path, e.ReplicasPerShard, e.Backends)
	}
	for i, v := range e.Script {
		most := map[string]int{"zone_cut": e.Zones, "broker": e.Brokers, "silent": e.Brokers,
			"link_cut": e.Brokers}[v.Kind]
		if most == 0 {
			most = e.Backends
		}
		if v.On < 0 || v.On >= most {
			return nil, fmt.Errorf("%s: script[%d]: %s on %d of %d", path, i, v.Kind, v.On, most)
		}
	}
	for i, c := range e.Classes {
		if int(c.Parts[0]) < 1 || c.Parts[1] < c.Parts[0] || int(c.Parts[1]) > e.Shards || c.Deadline < c.LatencyObjective {
			return nil, fmt.Errorf("%s: classes[%d]: parts %v of %d slices, aim %v, deadline %v", path, i, c.Parts,
				e.Shards, c.LatencyObjective, c.Deadline)
		}
	}
	return e, nil
}

func setDefault[T comparable](to *T, v T) {
	var zero T
	if *to == zero {
		*to = v
	}
}

func (e *Experiment) applyDefaults() {
	setDefault(&e.Arm, Follow)
	setDefault(&e.SighupMs, 10_000)
	setDefault(&e.BucketsPerShard, 16)
	setDefault(&e.ReplicasPerShard, min(3, e.Backends))
	setDefault(&e.MaxAttempts, 4)
	setDefault(&e.ClientMapAge, Span{0, 2000})
	setDefault(&e.Backend.Cores, 2)
	setDefault(&e.Backend.QueueLimit, 64)
	setDefault(&e.Backend.InitialCapacity, 0.21)
	setDefault(&e.Backend.WarmUp, 18_000)
	setDefault(&e.Backend.OverloadMultiple, 2.5)
	setDefault(&e.Backend.OverloadWindow, 1500)
	setDefault(&e.Changes.CopyTime, Span{200, 1500})
	setDefault(&e.Changes.HandoverTime, Span{100, 800})
	if e.Changes.Split+e.Changes.Merge+e.Changes.Move == 0 {
		e.Changes.Split, e.Changes.Merge, e.Changes.Move = 1, 1, 2
	}
	setDefault(&e.Updates.EndpointListDelay, Span{500, 3000})
	setDefault(&e.Updates.BackendDelay, Span{2, 150})
	setDefault(&e.Updates.CatalogueDelay, Span{2, 150})
	setDefault(&e.Faults.For, Span{2000, 6000})
	setDefault(&e.Zones, 1)
	setDefault(&e.CrossZoneDelay, Span{0.4, 0.8})
	setDefault(&e.Backend.PauseInterval, Span{4900, 8700})
	for i := range e.Classes {
		setDefault(&e.Classes[i].PriorityWeight, 1)
		setDefault(&e.Classes[i].MinCompleteness, 1)
	}
}

// NodeOptions are the figures of a node.
func (e *Experiment) BackendOptions() model.Options {
	return model.Options{Cores: e.Backend.Cores, QueueLimit: e.Backend.QueueLimit, InitialCapacity: e.Backend.InitialCapacity, WarmUp: e.Backend.WarmUp,
		OverloadMultiple: e.Backend.OverloadMultiple, OverloadWindow: e.Backend.OverloadWindow}
}

// Settings are what a broker's module is told.
func (e *Experiment) Settings(me int, layout scheduler.Placement) scheduler.Settings {
	told := e.BrokerCount()
	s := scheduler.Settings{BrokerIndex: me % told, BrokerCount: told, TimerResolution: 5, Shards: e.Shards, Cells: e.Backends, CellsPerShard: e.ReplicasPerShard,
		LocalZone: e.ZoneOf(me), AllowHedging: e.AllowHedging,
		Placement: layout, MaxPartsPerCall: 1, PollEndpoints: !e.PushEndpoints, MaxStaleness: 10_000, CanCancel: true, MaxAttempts: e.MaxAttempts,
		MaxRetryAfter: 1000, DrainGrace: 1000, SlowStart: scheduler.SlowStartSettings{
			InitialCapacity: e.Backend.InitialCapacity, Duration: e.Backend.WarmUp, WorkMultiple: e.Backend.OverloadMultiple, Window: e.Backend.OverloadWindow},
		AnswerGrace: 20}
	for _, c := range e.Classes {
		k := scheduler.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, LateFactor: c.LateFactor, MinCompleteness: c.MinCompleteness,
			CompletenessTarget: 1,
			PartialFactor:      c.PartialFactor}
		if c.NonIdempotent() && e.Arm != Naive {
			k.Idempotency = scheduler.NonIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// HasLinks tells that relays stand on the links between brokers and nodes.
func (e *Experiment) HasLinks() bool {
	return e.Links.Delay[1] > 0 || e.Links.DuplicateShare > 0 ||
		slices.ContainsFunc(e.Script, func(v Event) bool { return v.Kind == "link_cut" })
}

// ToldBrokers is how many brokers each is told there are.
func (e *Experiment) BrokerCount() int {
	if e.ConfiguredBrokers > 0 {
		return e.ConfiguredBrokers
	}
	return e.Brokers
}

// ClockOf is by how much a broker's clock is ahead of the true time, in ms.
func (e *Experiment) ClockOffset(broker int) float64 {
	if broker == 0 && e.Clocks.FirstOffset != 0 {
		return e.Clocks.FirstOffset
	}
	return e.Clocks.MaxOffset * (2*float64(broker*67%e.Brokers)/float64(e.Brokers) - 1)
}

// ZoneOf is the zone of the node or broker of that number.
func (e *Experiment) ZoneOf(i int) int { return i % e.Zones }

// NodeID is the name of a node.
func BackendID(i int) string { return fmt.Sprintf("node-%d", i) }

// Map is the map at the start: slices in a row, each on Reach nodes of a ring.
func (e *Experiment) InitialMap() shardmap.Snapshot {
	w := shardmap.Snapshot{Epoch: 1, Buckets: e.Shards * e.BucketsPerShard}
	for i := range e.Shards {
		s := &shardmap.Shard{ID: i, Range: shardmap.Range{Start: i * e.BucketsPerShard, End: (i + 1) * e.BucketsPerShard}}
		for j := range e.ReplicasPerShard {
			s.Replicas = append(s.Replicas, BackendID((i+j)%e.Backends))
		}
		w.Shards = append(w.Shards, s)
	}
	return w
}
