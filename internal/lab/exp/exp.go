// Package exp reads experiments of the emulator: Jsonnet files that api/experiment.schema.json validates.
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

// Span is a range of values, minimum and maximum.
type Span [2]float64

// Draw returns a value from the range, uniformly distributed.
func (s Span) Draw(r *rand.Rand) float64 { return s[0] + (s[1]-s[0])*r.Float64() }

// The arms of an experiment, which differ in how brokers get the shard map.
const (
	Follow = "follow" // brokers watch the catalogue
	Sighup = "sighup" // brokers read the map at the start and at each SIGHUP; backends do not check epochs
	Naive  = "naive"  // like sighup, and brokers retry after any error, whatever the class
)

// Class is a class of requests. Times are ms.
type Class struct {
	Name             string  `json:"name"`
	Effect           string  `json:"effect"` // read_like or non_idempotent
	Share            float64 `json:"share"`  // of all requests
	Parts            Span    `json:"parts"`  // parts of a request
	Work             Span    `json:"work"`   // cost of a part, in ms of one core
	LatencyObjective float64 `json:"aim"`    // until then an answer counts in full
	Deadline         float64 `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`         // of an answer
	LateFactor       float64 `json:"late_worth"`    // multiplies the weight of an answer after the latency objective
	MinCompleteness  float64 `json:"floor"`         // share of the part weights that an answer must hold
	PartialFactor    float64 `json:"partial_worth"` // multiplies weight times completeness of a partial answer
}

// NonIdempotent reports whether a part of the class must not run twice.
func (c Class) NonIdempotent() bool { return c.Effect == "non_idempotent" }

// Experiment is one experiment. Times are ms unless a name says otherwise.
type Experiment struct {
	Name              string  `json:"name"`
	Seconds           float64 `json:"seconds"`
	Arm               string  `json:"arm"`
	SighupMs          float64 `json:"sighup_ms"` // between two SIGHUPs, in the arms without a watch
	Backends          int     `json:"nodes"`
	Brokers           int     `json:"brokers"`
	Shards            int     `json:"slices"`    // at the start
	BucketsPerShard   int     `json:"districts"` // at the start
	ReplicasPerShard  int     `json:"reach"`
	Rate              float64 `json:"rate"`           // requests per second over all brokers
	MaxAttempts       int     `json:"tries"`          // for a part
	ClientRetries     int     `json:"retries"`        // of a rejected request, at most
	RetiredShards     int     `json:"history"`        // that a broker remembers; 0: the broker's default
	ClientMapAge      Span    `json:"client_news_ms"` // staleness of the shard map that a client uses
	Zones             int     `json:"zones"`          // backends and brokers are assigned to zones in turn
	CrossZoneDelay    Span    `json:"cross"`          // one way
	AllowHedging      bool    `json:"copies"`         // of idempotent requests
	PushEndpoints     bool    `json:"pushed"`         // a discovery agent beside each broker gets the list pushed
	Script            []Event `json:"script"`         // faults at stated times, besides the random ones
	ConfiguredBrokers int     `json:"told_brokers"`   // broker count in the brokers' settings; 0: the true one
	Traffic           struct {
		HotFactor float64 `json:"hot"`  // rate of the first broker over the mean rate; 0: as the others
		IdleShare float64 `json:"idle"` // share of the brokers, the last ones, that get no requests
	} `json:"traffic"`
	Clocks struct {
		MaxOffset   float64 `json:"apart"` // of the brokers' clocks from the true time, either way
		FirstOffset float64 `json:"jump"`  // by which the first broker's clock is ahead
	} `json:"clocks"`
	Links struct { // live runs only: relays between brokers and backends
		Delay          Span    `json:"delay"`  // one way
		DuplicateShare float64 `json:"repeat"` // share of answers that are sent twice
	} `json:"links"`
	Classes []Class `json:"classes"`
	Backend struct {
		Cores            int     `json:"cores"`
		QueueLimit       int     `json:"room"`          // parts that may wait
		InitialCapacity  float64 `json:"cold_from"`     // share of the full capacity at the start of its process
		WarmUp           float64 `json:"warm"`          // until it has the full capacity
		OverloadMultiple float64 `json:"fall_multiple"` // work over capacity within OverloadWindow that it survives
		OverloadWindow   float64 `json:"fall_for"`
		Pause            Span    `json:"pause"`        // length of spontaneous pauses; 0: none
		PauseInterval    Span    `json:"pause_every"`  // from the start of a pause to the next start
		ReportInterval   Span    `json:"report_every"` // between measurements of load; 0: it reports no load
	} `json:"node"`
	Changes struct {
		Interval     float64 `json:"every"`    // mean time between changes of the shard map; 0: none
		CopyTime     Span    `json:"copy"`     // from the start of a move to the handover
		HandoverTime Span    `json:"handover"` // from the handover to the end of the move
		AbortShare   float64 `json:"abort"`    // share of moves that are aborted
		Split        float64 `json:"split"`    // Split, Merge and Move are relative frequencies
		Merge        float64 `json:"merge"`
		Move         float64 `json:"move"`
	} `json:"changes"`
	Updates struct {
		EndpointListDelay Span    `json:"list"`      // until a broker sees a change of the endpoint list
		BackendDelay      Span    `json:"node"`      // until a backend learns of a new shard map
		CatalogueDelay    Span    `json:"catalogue"` // of answers of the catalogue
		LostShare         float64 `json:"lost"`      // share of its answers that are lost
		DuplicateShare    float64 `json:"twice"`     // share of its answers that arrive twice
		MalformedShare    float64 `json:"spoilt"`    // share of its answers that are malformed
		Outages           []struct {
			At  float64 `json:"at"` // from the start of the run
			For float64 `json:"for"`
		} `json:"outages"` // of the catalogue
	} `json:"news"`
	Faults struct {
		Interval float64  `json:"every"` // mean time between random faults; 0: none
		For      Span     `json:"for"`
		Kinds    []string `json:"kinds"`
	} `json:"troubles"`
	Expect map[string]Bound `json:"expect"` // bounds by the JSON name of a figure of the summary
}

// Event is a fault at a stated time. Times are ms.
type Event struct {
	At   float64 `json:"at"` // from the start of the run
	For  float64 `json:"for"`
	Kind string  `json:"kind"`
	On   int     `json:"on"` // backend; zone for zone_cut; broker for broker, silent and link_cut
}

// Bound limits a figure of the summary.
type Bound struct {
	Min *float64 `json:"min"`
	Max *float64 `json:"max"`
}

// Load reads an experiment from a Jsonnet file. vars are the file's external variables.
func Load(path string, vars map[string]string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return LoadText(path, string(text), vars)
}

// LoadText reads an experiment from a Jsonnet text. Error messages call it by path.
func LoadText(path, text string, vars map[string]string) (*Experiment, error) {
	e := &Experiment{}
	if err := jsonnetfile.LoadText(path, text, api.ExperimentSchema, vars, e); err != nil {
		return nil, err
	}
	e.applyDefaults()
	if e.ReplicasPerShard > e.Backends {
		return nil, fmt.Errorf("%s: reach: %d replicas of a shard, but only %d nodes", path, e.ReplicasPerShard, e.Backends)
	}
	for i, v := range e.Script {
		targets := map[string]int{"zone_cut": e.Zones, "broker": e.Brokers, "silent": e.Brokers,
			"link_cut": e.Brokers}[v.Kind]
		if targets == 0 {
			targets = e.Backends
		}
		if v.On < 0 || v.On >= targets {
			return nil, fmt.Errorf("%s: script[%d]: on: %d for kind %s, want 0 to %d", path, i, v.On, v.Kind, targets-1)
		}
	}
	for i, c := range e.Classes {
		if int(c.Parts[0]) < 1 || c.Parts[1] < c.Parts[0] || int(c.Parts[1]) > e.Shards ||
			c.Deadline < c.LatencyObjective {
			return nil, fmt.Errorf("%s: classes[%d]: parts %v, want a range within 1 to %d (slices); "+
				"aim %v, deadline %v, want aim <= deadline", path, i, c.Parts, e.Shards, c.LatencyObjective, c.Deadline)
		}
	}
	return e, nil
}

// setDefault sets a field to v if it has the zero value.
func setDefault[T comparable](to *T, v T) {
	var zero T
	if *to == zero {
		*to = v
	}
}

// applyDefaults sets the fields that the file leaves out.
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

// BackendOptions returns the options of every emulated backend.
func (e *Experiment) BackendOptions() model.Options {
	return model.Options{Cores: e.Backend.Cores, QueueLimit: e.Backend.QueueLimit,
		InitialCapacity: e.Backend.InitialCapacity, WarmUp: e.Backend.WarmUp,
		OverloadMultiple: e.Backend.OverloadMultiple, OverloadWindow: e.Backend.OverloadWindow}
}

// Settings returns the scheduler settings of a broker.
func (e *Experiment) Settings(broker int, placement scheduler.Placement) scheduler.Settings {
	brokers := e.ConfiguredBrokerCount()
	s := scheduler.Settings{BrokerIndex: broker % brokers, BrokerCount: brokers, TimerResolution: 5,
		Shards: e.Shards, Cells: e.Backends, CellsPerShard: e.ReplicasPerShard,
		LocalZone: e.ZoneOf(broker), AllowHedging: e.AllowHedging,
		Placement: placement, MaxPartsPerCall: 1, PollEndpoints: !e.PushEndpoints, MaxStaleness: 10_000,
		CanCancel: true, MaxAttempts: e.MaxAttempts, MaxRetryAfter: 1000, DrainGrace: 1000,
		SlowStart: scheduler.SlowStartSettings{InitialCapacity: e.Backend.InitialCapacity, Duration: e.Backend.WarmUp,
			WorkMultiple: e.Backend.OverloadMultiple, Window: e.Backend.OverloadWindow},
		AnswerGrace: 20}
	for _, c := range e.Classes {
		k := scheduler.Class{LatencyObjective: c.LatencyObjective, Deadline: c.Deadline,
			PriorityWeight: c.PriorityWeight, LateFactor: c.LateFactor, MinCompleteness: c.MinCompleteness,
			CompletenessTarget: 1, PartialFactor: c.PartialFactor}
		if c.NonIdempotent() && e.Arm != Naive {
			k.Idempotency = scheduler.NonIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	return s
}

// HasLinks reports whether a live run needs relays between brokers and backends.
func (e *Experiment) HasLinks() bool {
	return e.Links.Delay[1] > 0 || e.Links.DuplicateShare > 0 ||
		slices.ContainsFunc(e.Script, func(v Event) bool { return v.Kind == "link_cut" })
}

// ConfiguredBrokerCount returns the number of brokers in the brokers' settings, which need not be the true one.
func (e *Experiment) ConfiguredBrokerCount() int {
	if e.ConfiguredBrokers > 0 {
		return e.ConfiguredBrokers
	}
	return e.Brokers
}

// ClockOffset returns by how many ms a broker's clock is ahead of the true time. Without a jump of the first
// broker's clock, the offsets are spread over -MaxOffset to MaxOffset.
func (e *Experiment) ClockOffset(broker int) float64 {
	if broker == 0 && e.Clocks.FirstOffset != 0 {
		return e.Clocks.FirstOffset
	}
	return e.Clocks.MaxOffset * (2*float64(broker*67%e.Brokers)/float64(e.Brokers) - 1)
}

// ZoneOf returns the zone of a backend or broker by its index.
func (e *Experiment) ZoneOf(i int) int { return i % e.Zones }

// BackendID returns the name of a backend by its index.
func BackendID(i int) string { return fmt.Sprintf("node-%d", i) }

// InitialMap returns the shard map at the start. Shard i has its replicas on the backends i, i+1, and so on, in a
// ring.
func (e *Experiment) InitialMap() shardmap.Snapshot {
	w := shardmap.Snapshot{Epoch: 1, Buckets: e.Shards * e.BucketsPerShard}
	for i := range e.Shards {
		s := &shardmap.Shard{ID: i,
			Range: shardmap.Range{Start: i * e.BucketsPerShard, End: (i + 1) * e.BucketsPerShard}}
		for j := range e.ReplicasPerShard {
			s.Replicas = append(s.Replicas, BackendID((i+j)%e.Backends))
		}
		w.Shards = append(w.Shards, s)
	}
	return w
}
