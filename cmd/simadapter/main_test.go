package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/wire"
)

const settingsText = `{"balancers": 2, "categories": [{"aim_ms": 500, "deadline_ms": 1000, "effect": "read_like",
	"worth": 1, "late_worth": 0.3}], "domain": {"sets": 2, "slices": 2, "width": 2, "per_call": 1},
	"limits": {"parallel_tries": true, "try_limit": 3, "cancel": true}, "resolution_ms": 5, "unheard_of": {}}`

type frame struct {
	records, tail []byte
	n             uint32
}

func (f *frame) add(code byte, set func(r []byte)) {
	r := make([]byte, wire.EventSize)
	if r[0] = code; set != nil {
		set(r)
	}
	f.records, f.n = append(f.records, r...), f.n+1
}

func (f *frame) ref(r []byte, data []byte, n int) {
	binary.LittleEndian.PutUint32(r, uint32(len(f.tail)))
	binary.LittleEndian.PutUint32(r[4:], uint32(n))
	f.tail = append(f.tail, data...)
}

func (f *frame) bytes(index uint32, clock float64) []byte {
	h := make([]byte, wire.HeaderSize)
	binary.LittleEndian.PutUint32(h, index)
	binary.LittleEndian.PutUint32(h[4:], f.n)
	binary.LittleEndian.PutUint32(h[8:], uint32(len(f.records)+len(f.tail)))
	binary.LittleEndian.PutUint64(h[12:], math.Float64bits(clock))
	return append(append(h, f.records...), f.tail...)
}

func (f *frame) context(id uint32) {
	f.add(wire.EventInstance, func(r []byte) { binary.LittleEndian.PutUint32(r[1:], id) })
}

func (f *frame) create(id uint32) {
	f.context(id)
	f.add(wire.EventCreate, func(r []byte) {
		r[1] = 7
		f.ref(r[9:], []byte(settingsText), len(settingsText))
	})
	f.add(wire.EventEndpointTable, func(r []byte) {
		list := make([]byte, 2*wire.EndpointSize)
		list[4], list[21], list[22], list[26], list[43] = 10, 1, 1, 11, 1
		f.ref(r[2:], list, 2)
	})
	f.add(wire.EventEndpoints, func(r []byte) { r[1] = 2 })
}

func (f *frame) query(context uint32, id uint64, deadline float64) {
	f.context(context)
	for i, shard := range []float32{-1, 0, 1} {
		f.add(wire.EventRequest, func(r []byte) {
			binary.LittleEndian.PutUint64(r[1:], id+uint64(i))
			binary.LittleEndian.PutUint64(r[23:], math.Float64bits(deadline))
			binary.LittleEndian.PutUint32(r[39:], math.Float32bits(float32(id)))
			binary.LittleEndian.PutUint32(r[43:], math.Float32bits(shard))
			binary.LittleEndian.PutUint32(r[47:], math.Float32bits(0.5))
		})
	}
}

// play runs the adapter and returns the actions of each instance, record by record.
func play(t *testing.T, input []byte) map[uint32][]string {
	t.Helper()
	var out bytes.Buffer
	if err := run(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	got, raw := map[uint32][]string{}, out.Bytes()
	for len(raw) > 0 {
		n, size, source := binary.LittleEndian.Uint32(raw[4:]), binary.LittleEndian.Uint32(raw[8:]), uint32(0)
		for i := range n {
			r := raw[wire.ReplyHeaderSize+i*wire.ActionSize:][:wire.ActionSize]
			if r[0] == wire.ActionInstance {
				source = binary.LittleEndian.Uint32(r[1:])
			} else {
				got[source] = append(got[source], string(r))
			}
		}
		raw = raw[wire.ReplyHeaderSize+size:]
	}
	return got
}

func day(instances ...uint32) (in []byte) {
	for step := range uint32(40) {
		var f frame
		clock := 1000 + 10*float64(step)
		for _, id := range instances {
			if step == 0 {
				f.create(id)
			}
			if step%3 == 1 {
				f.query(id, uint64(id)*1000+uint64(step)*3, clock+1000)
			}
			f.context(id)
			f.add(wire.EventTimer, nil)
		}
		in = append(in, f.bytes(step, clock)...)
	}
	return in
}

func TestInstancesActAsAlone(t *testing.T) {
	both := play(t, day(3, 5))
	for _, id := range []uint32{3, 5} {
		alone := play(t, day(id))[id]
		if len(alone) < 20 || strings.Join(alone, "") != strings.Join(both[id], "") {
			t.Fatalf("instance %d: %d actions alone, %d beside another", id, len(alone), len(both[id]))
		}
	}
}

func TestBadInputEndsWithAPlainMessage(t *testing.T) {
	var unnamed, unknown, settings frame
	unnamed.add(wire.EventTimer, nil)
	unknown.context(1)
	unknown.add(99, nil)
	settings.context(1)
	settings.add(wire.EventCreate, func(r []byte) { settings.ref(r[9:], []byte("{]"), 2) })
	for name, in := range map[string][]byte{"garbage": []byte("not a frame at all, but long"), "cut": day(1)[:700],
		"unnamed": unnamed.bytes(1, 1), "unknown": unknown.bytes(1, 1), "settings": settings.bytes(1, 1)} {
		if err := run(bytes.NewReader(in), &bytes.Buffer{}); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := run(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
		t.Errorf("end of input: %v", err)
	}
}

func TestPanicBecomesTheFaultAction(t *testing.T) {
	in := &instance{id: 4}
	in.module = newModule(t, in)
	in.guard(func() { panic("index out of range") })
	var w wire.Reply
	w.Reset(1)
	for _, act := range in.actions {
		act(&w)
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil || !strings.HasSuffix(out.String(), "index out of range") ||
		out.Bytes()[wire.ReplyHeaderSize] != wire.ActionFault || in.module != nil {
		t.Fatalf("%q %v", out.String(), err)
	}
}

func TestTeardownVoidsTheActionsOfItsBatch(t *testing.T) {
	var a, b frame
	a.create(1)
	a.query(1, 10, 2000)
	b.context(1)
	for part := range uint64(2) { // both parts are answered: the query would be, too
		b.add(wire.EventAttemptEnded, func(r []byte) {
			binary.LittleEndian.PutUint64(r[1:], 11+part)
			binary.LittleEndian.PutUint16(r[15:], 200)
		})
	}
	with := play(t, append(a.bytes(1, 1000), b.bytes(2, 1010)...))[1]
	b.add(wire.EventTeardown, nil)
	b.create(1)
	without := play(t, append(a.bytes(1, 1000), b.bytes(2, 1010)...))[1]
	answers := func(records []string) (n int) {
		for _, r := range records {
			if r[0] == wire.ActionAnswer {
				n++
			}
		}
		return n
	}
	if answers(with) != 1 || answers(without) != 0 {
		t.Fatalf("answers: %d without a teardown, %d with one", answers(with), answers(without))
	}
}

func newModule(t *testing.T, in *instance) *scheduler.Scheduler {
	t.Helper()
	s, err := wire.ParseSettings([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	m, err := scheduler.New(s, 1, in)
	if err != nil {
		t.Fatal(err)
	}
	return m
}
