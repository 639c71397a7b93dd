package adminops

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOtherProcessServes checks that the scheduler is notified at each poll while another process serves beside this
// one, until the other one hands over, ends or is killed.
func TestOtherProcessServes(t *testing.T) {
	dir := t.TempDir()
	path, recordPath := filepath.Join(dir, "held.json"), filepath.Join(dir, "cold.json")
	first, second := start(t, path), start(t, path)
	firstSender, secondSender := first.enableHandover(recordPath, true), second.enableHandover(recordPath, true)
	assert.Zero(t, firstSender.otherActive, "no process serves beside the first")
	for range 3 {
		second.handover.poll()
	}
	assert.Equal(t, 4, secondSender.otherActive)
	first.Stop()
	second.handover.poll()
	assert.Equal(t, 1, secondSender.takenOver)
	otherActive := secondSender.otherActive
	second.handover.poll()
	assert.Equal(t, otherActive, secondSender.otherActive, "the record lists the attempts of the other process")

	endProcess(first)
	second.handover.poll()
	assert.True(t, second.handover.otherProcess.finished)
	third := start(t, path)
	thirdSender := third.enableHandover(recordPath, true)
	assert.Positive(t, thirdSender.otherActive)
	endProcess(second)
	third.handover.poll()
	otherActive = thirdSender.otherActive
	third.handover.poll()
	assert.Equal(t, otherActive, thirdSender.otherActive)
	assert.Zero(t, thirdSender.takenOver)
}

// endProcess releases the lock of a process, as the kernel does when it ends or is killed.
func endProcess(p *process) { p.handover.otherProcess.lock.Close() }

// TestLockFileCannotBeOpened checks that a lock file that cannot be opened is logged once, and that no other process
// is reported then.
func TestLockFileCannotBeOpened(t *testing.T) {
	p := start(t, statePath(t))
	sender := p.enableHandover(pathWithoutDirectory(t), true)
	p.handover.poll()
	assert.Zero(t, sender.otherActive)
	assert.Equal(t, 1, strings.Count(p.logged(t),
		"lock file cannot be opened: other processes of the broker are not detected"))
}
