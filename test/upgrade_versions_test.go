package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// build is a program and the messages that it logs about what it shares with other builds.
type build struct {
	name, path                             string
	suspensionsRead, handedOver, takenOver string
}

// currentBuild returns the build under test.
func currentBuild() build {
	return build{"this build", programPath, "suspensions read", "slow-start sends handed over",
		"slow-start sends taken over"}
}

// release is an earlier released commit, whose program is built once per run of the test binary.
type release struct {
	build
	compile func() (path string, err error)
}

func newRelease(commit, suspensionsRead, handedOver, takenOver string) release {
	return release{
		build:   build{name: commit, suspensionsRead: suspensionsRead, handedOver: handedOver, takenOver: takenOver},
		compile: sync.OnceValues(func() (string, error) { return compileCommit(commit) }),
	}
}

var releases = []release{
	newRelease("aa8ad37", "held leafs read", "cold sends handed over", "cold sends taken over"),
	newRelease("511dc77", "suspensions read", "slow-start sends handed over", "slow-start sends taken over"),
}

// compiled returns the build of the release. It skips the test if the clone lacks the commit.
func (r release) compiled(t *testing.T) build {
	t.Helper()
	if out, err := exec.Command("git", "cat-file", "-e", r.name+"^{commit}").CombinedOutput(); err != nil {
		t.Skipf("commit %s is not in this clone, so its program cannot be built: %v %s", r.name, err, out)
	}
	path, err := r.compile()
	require.NoError(t, err)
	r.path = path
	return r.build
}

// compileCommit builds the program of a commit of this clone with the flags of product.Build and returns its path.
func compileCommit(commit string) (string, error) {
	root, err := filepath.Abs("..")
	if err != nil {
		return "", err
	}
	source := filepath.Join(buildDir, "source-"+commit)
	if err := os.Mkdir(source, 0o700); err != nil {
		return "", err
	}
	archive, err := exec.Command("git", "-C", root, "archive", commit).Output()
	if err != nil {
		return "", fmt.Errorf("archive commit %s: %w", commit, err)
	}
	extract := exec.Command("tar", "-x", "-C", source)
	extract.Stdin = bytes.NewReader(archive)
	if out, err := extract.CombinedOutput(); err != nil {
		return "", fmt.Errorf("extract commit %s: %w: %s", commit, err, out)
	}
	path := filepath.Join(buildDir, "ternstage-"+commit)
	args := []string{"build", "-trimpath", "-ldflags=-linkmode=external", "-o", path}
	if os.Getenv("TERNSTAGE_RACE") != "" {
		args = append(args, "-race")
	}
	compile := exec.Command("go", append(args, "./cmd/ternstage")...)
	compile.Dir, compile.Env = source, append(os.Environ(), "CGO_ENABLED=1")
	if out, err := compile.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build commit %s: %w: %s", commit, err, out)
	}
	return path, nil
}

// process is a running program of a known build.
type process struct {
	*program
	build build
}

func startBuild(t *testing.T, b build, o options) process {
	t.Helper()
	o.binary = b.path
	return process{start(t, o), b}
}

// firstLine returns the fields of the first log line with a message, nil if there is none.
func (p process) firstLine(message string) map[string]any {
	for line := range strings.Lines(p.logged()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["msg"] == message {
			return fields
		}
	}
	return nil
}

// waitForLine waits for a log line with a message and returns its fields.
func (p process) waitForLine(t *testing.T, message string) map[string]any {
	t.Helper()
	var fields map[string]any
	require.Eventually(t, func() bool { fields = p.firstLine(message); return fields != nil }, waitTimeout,
		5*time.Millisecond, "no %q in the log of %s", message, p.build.name)
	return fields
}

// requireWarmupAttempts waits for a log line with a message and requires that it counts at least one attempt at a
// backend that is warming up.
func (p process) requireWarmupAttempts(t *testing.T, message string) {
	t.Helper()
	fields := p.waitForLine(t, message)
	sent, ok := fields["sent"].(float64)
	require.True(t, ok, "no number of attempts: %v", fields)
	assert.Positive(t, sent, "%v", fields)
}

// assertStateUsable asserts that the process logged no panic, no data race and no state file that exists but cannot
// be used.
func (p process) assertStateUsable(t *testing.T) {
	t.Helper()
	assert.NotRegexp(t, `not read|cannot be (read|opened)|torn|this build reads|number of (peers|brokers)|`+
		`not (kept|saved)|panic|DATA RACE`, p.logged(), p.build.name)
}

// traffic is the load of clients on one address, and how their requests ended.
type traffic struct {
	served, unanswered, notServed atomic.Int64
	stop                          chan struct{}
	clients                       sync.WaitGroup
	mu                            sync.Mutex
	failures                      []string // the first ten
}

// startTraffic starts eight clients that send requests until end; half of them reuse their connections.
func startTraffic(t *testing.T, addr string) *traffic {
	f := &traffic{stop: make(chan struct{})}
	for c := range 8 {
		f.clients.Go(func() {
			tr := &http.Transport{DisableKeepAlives: c%2 == 0}
			defer tr.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-time.After(2 * time.Millisecond):
				}
				f.send(tr, addr, request{id: fmt.Sprintf("v%d-%d", c, i), class: "quote", tenant: "gangasagar-life",
					shards: []int{i % 8}, timeout: time.Second})
			}
		})
	}
	t.Cleanup(f.end)
	return f
}

// send sends a request and counts how it ended.
func (f *traffic) send(tr *http.Transport, addr string, q request) {
	// A connection that nobody accepts counts as unanswered.
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/"+q.class, strings.NewReader(q.encodedBody()))
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Class", q.class)
	r.Header.Set("X-Tenant", q.tenant)
	r.Header.Set("X-Deadline", "1.000")
	a, err := tr.RoundTrip(r)
	if err != nil {
		f.unanswered.Add(1)
		f.recordFailure(q, err.Error())
		return
	}
	defer func() { _ = a.Body.Close() }()
	if text, err := io.ReadAll(a.Body); err != nil || a.StatusCode != 200 ||
		!bytes.Contains(text, []byte(documentOf(q.id))) {
		f.notServed.Add(1)
		f.recordFailure(q, fmt.Sprint(a.StatusCode, " ", err, " ", string(text)))
		return
	}
	f.served.Add(1)
}

// recordFailure records one of the first ten failures.
func (f *traffic) recordFailure(q request, what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) < 10 {
		f.failures = append(f.failures, time.Now().Format("05.000 ")+q.id+" "+what)
	}
}

// end stops the clients and waits for their last requests. It may be called again.
func (f *traffic) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.clients.Wait()
}

// assertAllServed stops the clients and asserts that every request was served.
func (f *traffic) assertAllServed(t *testing.T) {
	t.Helper()
	f.end()
	assert.Zero(t, f.unanswered.Load(), "requests without a response: %q", f.failures)
	assert.Zero(t, f.notServed.Load(), "requests not served: %q", f.failures)
	t.Log(f.served.Load(), "requests were served")
}

// waitForServed waits until n further requests are served.
func (f *traffic) waitForServed(t *testing.T, n int64) {
	t.Helper()
	from := f.served.Load()
	require.Eventually(t, func() bool { return f.served.Load() >= from+n }, waitTimeout, 5*time.Millisecond)
}

// requireHealth waits until the health check returns a status and requires that every process on the shared address
// returns it.
func requireHealth(t *testing.T, p *program, want int) {
	t.Helper()
	require.Eventually(t, func() bool { return p.healthStatus() == want }, waitTimeout, 5*time.Millisecond)
	time.Sleep(60 * time.Millisecond) // the other process notices the state file within 20 ms
	for range 20 {
		require.Equal(t, want, p.healthStatus())
	}
}

// drainGrace is drain_grace_ms of the settings. A suspended backend counts as draining: the process that is told to
// suspend it may send to it for this long if the other replicas are worse. A process that starts later may not at
// all.
const drainGrace = time.Second

// takeOver replaces a process that serves under load by a process of another build. A backend is suspended at the old
// process and its clients are drained; the new process starts beside it, reads both, and takes over the counts of
// attempts at the backend that is warming up.
func takeOver(t *testing.T, backends *backendSet, f *traffic, from process, to build, o options, suspended,
	warming string) process {
	t.Helper()
	drainFile, handoverFile := o.stateDir+"/ternstage-held-leafs.json.drain", o.stateDir+"/ternstage-cold-sent.json"
	f.waitForServed(t, 200)
	require.Equal(t, 200, adminCall(from.program, "PUT", "/v1/leafs/"+suspended+"/suspend"))
	time.Sleep(drainGrace)
	graceOver := time.Now()
	f.waitForServed(t, 200)
	require.Equal(t, 200, adminCall(from.program, "PUT", "/v1/aggregator/drain"))
	require.FileExists(t, drainFile)
	requireHealth(t, from.program, 503)

	// The new process reads what the old one wrote, and the old one notices the call that the new one gets.
	o.startsDrained = true
	next := startBuild(t, to, o)
	requireHealth(t, next.program, 503)
	assert.Contains(t, fmt.Sprint(next.waitForLine(t, to.suspensionsRead)), "["+suspended+"]", "and no other")
	require.Equal(t, 200, adminCall(next.program, "PUT", "/v1/aggregator/activate"))
	require.NoFileExists(t, drainFile)
	requireHealth(t, next.program, 200)
	f.waitForServed(t, 200)

	// The new process takes over during a drain that was requested at the old one.
	require.Equal(t, 200, adminCall(from.program, "PUT", "/v1/aggregator/drain"))
	requireHealth(t, next.program, 503)
	require.Equal(t, 200, adminCall(next.program, "GET", "/v1/readyz"))
	from.stop()
	stopped := time.Now()
	requireHealth(t, next.program, 503) // only the new process is left to report the drain
	require.Equal(t, 200, adminCall(next.program, "PUT", "/v1/aggregator/activate"))
	requireHealth(t, next.program, 200)

	from.requireWarmupAttempts(t, from.build.handedOver)
	text, err := os.ReadFile(handoverFile)
	require.NoError(t, err)
	assert.Contains(t, string(text), `{"form":"ternstage cold sent","version":1,"written_unix_ms":`)
	next.requireWarmupAttempts(t, to.takenOver)
	require.Eventually(t, func() bool { return attemptsSince(backends, warming, stopped) > 0 }, waitTimeout,
		5*time.Millisecond, "the new process does not use the backend that is warming up")
	f.waitForServed(t, 400)
	assert.Zero(t, attemptsSince(backends, suspended, graceOver), "%s got an attempt while suspended", suspended)
	from.assertStateUsable(t)
	next.assertStateUsable(t)
	return next
}

// requireResumed resumes a suspended backend and waits until it gets attempts again.
func requireResumed(t *testing.T, backends *backendSet, p process, id string) {
	t.Helper()
	require.Equal(t, 200, adminCall(p.program, "PUT", "/v1/leafs/"+id+"/resume"))
	resumed := time.Now()
	require.Eventually(t, func() bool { return attemptsSince(backends, id, resumed) > 0 }, waitTimeout,
		5*time.Millisecond)
}

// versionSettings returns the settings for these tests, in which a backend that has just started warms up to the end.
func versionSettings() map[string]any {
	s := settings()
	s["invariants"].(map[string]any)["warm_within_ms"] = 120_000
	return s
}

// TestUpgradeFromReleaseUnderLoadAndBack replaces a released build by this one under load, on a listener that both
// inherit, and this one by the released build again. Each must read what the other wrote: the suspended backend gets
// no attempt from the first request of the new process on, the drain holds until activate, and the counts of attempts
// at a backend that is warming up are taken over. All requests are served. Guards against incompatible state files.
func TestUpgradeFromReleaseUnderLoadAndBack(t *testing.T) {
	for _, r := range releases {
		t.Run(r.name, func(t *testing.T) {
			old, current := r.compiled(t), currentBuild()
			backends, o := newPair(t)
			o.settings = versionSettings()
			backends.endpoints[0].UpSinceMS = time.Now().UnixMilli() // s-0 warms up

			first := startBuild(t, old, o)
			f := startTraffic(t, first.httpAddr)
			second := takeOver(t, backends, f, first, current, o, "s-2", "s-0")

			// The released build now reads files that this build wrote.
			requireResumed(t, backends, second, "s-2")
			third := takeOver(t, backends, f, second, old, o, "s-3", "s-0")
			requireResumed(t, backends, third, "s-3")

			f.assertAllServed(t)
			third.stop()
		})
	}
}

// TestUpgradeWithBothVersionsSideBySide runs a broker of a released build and one of this build in one fleet, both
// under load, with the same endpoint list and settings. Then both are restarted with the other build, as in a rolling
// upgrade and its rollback, and must use the state files that they find. All requests are served. Guards against
// builds that disagree on the endpoint list, the settings or the backend protocol.
func TestUpgradeWithBothVersionsSideBySide(t *testing.T) {
	for _, r := range releases {
		t.Run(r.name, func(t *testing.T) {
			builds := []build{r.compiled(t), currentBuild()}
			backends := startBackends(t, protocols[0], nil)
			backends.endpoints[0].UpSinceMS = time.Now().UnixMilli() // s-0 warms up
			d := newDiscovery(t, backends.endpoints)
			brokers := make([]options, 2)
			for i := range brokers {
				brokers[i] = options{adminAPI: true, stateDir: t.TempDir(), discovery: d, name: fmt.Sprint("n", i),
					settings: versionSettings()}
				brokers[i].settings["balancers"], brokers[i].settings["me"] = 2, i
				// The load stays within the tenant's allowance, so that no broker may reject a request.
				brokers[i].settings["customers"].([]any)[0].(map[string]any)["allowance_per_s"] = 10_000
			}
			suspended := []string{"s-2", "s-3"}

			fleet := startFleet(t, brokers, builds)
			for i, p := range fleet {
				require.Equal(t, 200, adminCall(p.program, "PUT", "/v1/leafs/"+suspended[i]+"/suspend"))
			}
			var graceOver time.Time
			requireBothServe(t, fleet, func() {
				require.Eventually(t, func() bool { return attemptsSince(backends, "s-0", time.Time{}) > 0 }, waitTimeout,
					5*time.Millisecond, "the backend that is warming up is not used")
				informed := 0
				d.change(func() {
					d.list.Endpoints[0].Phase = "DRAINING"
					informed = len(d.answerTimes) + len(fleet)
				})
				require.Eventually(t, func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.answerTimes) >= informed },
					waitTimeout, 5*time.Millisecond)
				time.Sleep(drainGrace)
				graceOver = time.Now()
			})
			assert.Zero(t, attemptsSince(backends, "s-0", graceOver), "a draining backend got an attempt")

			// Each broker is restarted with the other build, on the files in its $TMPDIR.
			d.change(func() { d.list.Endpoints[0].Phase = "SERVING" })
			fleet = startFleet(t, brokers, []build{builds[1], builds[0]})
			for i, p := range fleet {
				assert.Contains(t, fmt.Sprint(p.waitForLine(t, p.build.suspensionsRead)), "["+suspended[i]+"]", "and no other")
			}
			requireBothServe(t, fleet, func() {
				for i, p := range fleet {
					requireResumed(t, backends, p, suspended[i])
				}
			})
		})
	}
}

// startFleet starts a process for each broker, of the build with the same index.
func startFleet(t *testing.T, brokers []options, builds []build) []process {
	t.Helper()
	fleet := make([]process, len(brokers))
	for i := range fleet {
		fleet[i] = startBuild(t, builds[i], brokers[i])
	}
	return fleet
}

// requireBothServe loads all processes at once while change runs and stops them. It requires that all requests are
// served, before and after the change, and that no process logs a panic or a state file that it cannot use.
func requireBothServe(t *testing.T, fleet []process, change func()) {
	t.Helper()
	loads := make([]*traffic, len(fleet))
	for i, p := range fleet {
		loads[i] = startTraffic(t, p.httpAddr)
	}
	for _, f := range loads {
		f.waitForServed(t, 200)
	}
	change()
	for _, f := range loads {
		f.waitForServed(t, 400)
	}
	for _, f := range loads {
		f.assertAllServed(t)
	}
	for _, p := range fleet {
		p.stop()
		p.assertStateUsable(t)
	}
}
