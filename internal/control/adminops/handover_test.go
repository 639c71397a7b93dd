package adminops

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/handover"
	"ternstage/internal/decision/scheduler"
)

// slowStartSender counts the calls of the scheduler.
type slowStartSender struct {
	otherActive int // calls of OtherProcessActive
	takenOver   int // calls of TakeOver
}

var sampleAttempts = []scheduler.WarmupAttempt{{Replica: 7, AgeMs: 1, WorkMs: 10}}

func (s *slowStartSender) HandOver() []scheduler.WarmupAttempt { return sampleAttempts }
func (s *slowStartSender) TakeOver([]scheduler.WarmupAttempt)  { s.takenOver++ }
func (s *slowStartSender) OtherProcessActive()                 { s.otherActive++ }

// enableHandover enables the handover by the record at path, for one of two brokers. listed tells whether the
// backends of a record are listed at this process.
func (p *process) enableHandover(path string, listed bool) *slowStartSender {
	sender := &slowStartSender{}
	p.EnableHandover(HandoverConfig{Path: path, WindowMs: 60_000, StartedUnixMs: unixNowMs(), BrokerCount: 2,
		SlowStart: sender, IsListed: func(uint32) bool { return listed }})
	return sender
}

// TestRecordNotApplied checks that a record that cannot be used, or is not meant for this process, is not applied,
// and that the reason is logged once.
func TestRecordNotApplied(t *testing.T) {
	for _, c := range []struct {
		name   string
		text   []byte
		listed bool
		logged string
	}{
		{"torn", handover.Encode(unixNowMs()+5000, 2, sampleAttempts)[:30], true, "torn or not JSON"},
		{"of an earlier handover", handover.Encode(unixNowMs()-10_000, 2, sampleAttempts), true,
			"written before this process started"},
		{"another version", []byte(`{"form":"ternstage cold sent","version":9,"sent":[],"sum":0}`), true, "version 9"},
		{"another number of brokers", handover.Encode(unixNowMs()+5000, 3, sampleAttempts), true,
			"another number of brokers"},
		{"backends that are not listed", handover.Encode(unixNowMs()+5000, 2, sampleAttempts), false,
			"backends that are not listed here"},
		{"altered", []byte(`{"form":"ternstage cold sent","version":1,"sent":[],"sum":9}`), true, "field sum"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			recordPath := filepath.Join(dir, "cold.json")
			require.NoError(t, os.WriteFile(recordPath, c.text, 0o600))
			p := start(t, filepath.Join(dir, "held.json"))
			sender := p.enableHandover(recordPath, c.listed)
			p.handover.poll()
			p.handover.poll()
			assert.Zero(t, sender.takenOver)
			text := p.logged(t)
			assert.Contains(t, text, c.logged)
			assert.Equal(t, 1, strings.Count(text, "slow-start sends not taken over"))
		})
	}
}

// TestWaitingRecordApplied checks that a record of backends that are not listed is applied once they are.
func TestWaitingRecordApplied(t *testing.T) {
	dir := t.TempDir()
	recordPath := filepath.Join(dir, "cold.json")
	require.NoError(t, os.WriteFile(recordPath, handover.Encode(unixNowMs()+5000, 2, sampleAttempts), 0o600))
	p := start(t, filepath.Join(dir, "held.json"))
	listed := false
	sender := &slowStartSender{}
	p.EnableHandover(HandoverConfig{Path: recordPath, WindowMs: 60_000, StartedUnixMs: unixNowMs(), BrokerCount: 2,
		SlowStart: sender, IsListed: func(uint32) bool { return listed }})
	assert.Zero(t, sender.takenOver)
	listed = true
	p.handover.poll()
	p.handover.poll()
	assert.Equal(t, 1, sender.takenOver)
}
