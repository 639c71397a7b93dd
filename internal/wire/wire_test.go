package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
)

func frame(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func pad(text string) string {
	text = strings.Join(strings.Fields(text), "")
	return text + strings.Repeat("00", EventSize-len(text)/2)
}

// eventFrame is a batch of two instances: a query, a timer, and a client that left.
func eventFrame(t *testing.T) []byte {
	return frame(t, "0c000000 05000000 18010000 00000000206ec040"+pad("01 03000000")+
		pad("0a c4913a5df2e40000 0000 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00005643"+
			"00000000 0000003e 0100")+pad("03 4d000000")+pad("01 05000000")+pad("0c 192b6f0eb8e50c00"))
}

func TestReadBatchDecodesFields(t *testing.T) {
	b, err := ReadBatch(bytes.NewReader(eventFrame(t)))
	if err != nil {
		t.Fatal(err)
	}
	if b.Number != 12 || b.Len() != 5 || b.NowMs != 8412.25 {
		t.Fatalf("header: %+v, %d records", b, b.Len())
	}
	r := b.Record(1)
	if r.Code() != EventRequest || r.U64(1) != 0xe4f25d3a91c4 || r.F64(23) != 8652.25 || r.F64(31) != 12 ||
		r.F32(39) != 214 ||
		r.F32(47) != 0.125 || r.U16(51) != 1 {
		t.Fatalf("request record decoded wrongly: % x", []byte(r))
	}
}

func TestReadBatchRejectsDamage(t *testing.T) {
	whole := eventFrame(t)
	for n := 1; n < len(whole); n++ {
		if _, err := ReadBatch(bytes.NewReader(whole[:n])); err == nil || errors.Is(err, io.EOF) && err == io.EOF {
			t.Fatalf("%d of %d bytes were taken for a frame or a clean end: %v", n, len(whole), err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Fatalf("empty input: %v", err)
	}
	bad := bytes.Clone(whole)
	bad[4] = 200 // more records than bytes
	if _, err := ReadBatch(bytes.NewReader(bad)); err == nil {
		t.Fatal("too many records accepted")
	}
}

func TestTailReferencesAreChecked(t *testing.T) {
	rec := pad("0b 00 00000000 02000000")
	tail := "0000 0000 074a1203 0000803f 0000000000000000 00 01" +
		"0000 0100 f211902c 0000c03f 0000000000d4b740 00 01"
	raw := frame(t, "01000000 01000000 64000000 00000000206ec040"+rec+tail)
	b, err := ReadBatch(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	es, err := b.Entries(b.Record(0))
	if err != nil || len(es) != 2 || es[0].Replica != 0x03124a07 || es[1].Zone != 1 || es[1].ReadyAt != 6100 ||
		es[1].State != 1 {
		t.Fatalf("%+v %v", es, err)
	}
	raw[HeaderSize+6] = 3 // one entry more than the tail holds
	b, _ = ReadBatch(bytes.NewReader(raw))
	if _, err := b.Entries(b.Record(0)); err == nil {
		t.Fatal("entries beyond the tail accepted")
	}
}

func TestReplyMatchesTheWire(t *testing.T) {
	var w Reply
	w.Reset(12)
	w.SelectInstance(3)
	w.Send(0xe4f25d3a91c4, 80, 0x03124a07)
	w.SetTimer(500, 77)
	w.SelectInstance(5)
	w.Log("two servers known")
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	z := func(n int) string { return strings.Repeat("00", n) }
	want := frame(t, "0c000000 05000000 89000000 0c 03000000"+z(19)+
		"05 c4913a5df2e40000 0000000000005440 074a1203"+z(3)+"04 0000000000407f40 4d000000"+z(11)+
		"0c 05000000"+z(19)+"08 00000000 11000000"+z(15)+hex.EncodeToString([]byte("two servers known")))
	if !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("got\n%x\nwant\n%x", out.Bytes(), want)
	}
}

func TestParseSettings(t *testing.T) {
	if _, err := ParseSettings([]byte(`{"categories": [`)); err == nil {
		t.Fatal("cut text accepted")
	}
	if _, err := ParseSettings([]byte(`{"categories": [{"effect": "odd"}]}`)); err == nil {
		t.Fatal("unknown effect accepted")
	}
	s, err := ParseSettings([]byte(`{"unheard_of": 1, "discovery": "on_request", "categories":
		[{"aim_ms": 10, "deadline_ms": 20, "effect": "non_idempotent"}], "domain": {"min_share": [0.5]}}`))
	if err != nil || !s.PollEndpoints || len(s.Classes) != 1 || s.Classes[0].MinCompleteness != 0.5 || s.Classes[0].CompletenessTarget != 1 {
		t.Fatalf("%+v %v", s, err)
	}
}
