package cicadasoak_test

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	crashRunnerCount = 8
	// The rules on requests that crash runners hold from contactTime on.
	contactTime = 4 * time.Second
	// maxCrashes bounds the crashes that one cause brings about, and minWholeShare the sound responses of the
	// second half that are whole.
	maxCrashes    = 7
	minWholeShare = 0.97
	// soundInterval and harmfulInterval are the times between two requests at all routers together.
	soundInterval   = 25 * time.Millisecond
	harmfulInterval = time.Second / 3
)

var (
	crashSpanFlag = flag.Duration("crash-span", 10*time.Second, "duration of the harmful requests in the tests of crashes")
	crashAllFlag  = flag.Bool("crash-all", false, "run all cases of the tests of crashes, one after the other")
)

type (
	// crashCase is a cause of crashes, and how runners come back.
	crashCase struct {
		kind       kind
		routers    int
		pause      time.Duration // until the runner is started again
		crashEvent int           // the event after which a runner crashes; 0 if before its answer begins
		part       bool          // a part of the prompt is the cause, in requests that differ
		otherID    bool          // the runner comes back under another id
	}

	// crashFleet is a fleet whose runners are crashed by some requests.
	crashFleet struct {
		*soak
		tt crashCase

		mu                sync.Mutex // guards the fields below
		arrivals, crashes []time.Time
		sound, whole      int            // sound requests of the second half, and those with a whole response
		failures          map[string]int // of the others, by what came
		quarantined       int            // sound requests that were refused as in quarantine
	}
)

func (c crashCase) String() string {
	cause, id := "request", "same id"
	if c.part {
		cause = "part"
	}
	if c.otherID {
		id = "other id"
	}
	return fmt.Sprintf("%s, %s, crash after event %d, back after %v under the %s, %d routers",
		[...]string{"at most once", "idempotent", "stream", "resumable"}[c.kind], cause, c.crashEvent, c.pause, id, c.routers)
}

// bound returns the number of crashes after which the cause has to be known.
func (c crashCase) bound() int {
	if c.part {
		return 5
	}
	return 3
}

// crashCases returns the cases to run: in CI one for each way in which a cause was missed.
func crashCases() []crashCase {
	if !*crashAllFlag {
		return []crashCase{
			{kind: streaming, routers: 4, pause: 2 * time.Second},
			{kind: atMostOnce, routers: 8, pause: 2 * time.Second},
			{kind: streaming, routers: 4, pause: 10 * time.Millisecond},
			{kind: idempotent, routers: 2, pause: 10 * time.Millisecond, otherID: true},
			{kind: streaming, routers: 2, pause: 10 * time.Millisecond, part: true, crashEvent: 1},
		}
	}
	var out []crashCase
	for _, k := range []kind{streaming, idempotent, atMostOnce} {
		for _, routers := range []int{2, 4, 8} {
			for _, pause := range []time.Duration{2 * time.Second, 10 * time.Millisecond} {
				for _, part := range []bool{false, true} {
					out = append(out, crashCase{kind: k, routers: routers, pause: pause, part: part})
				}
			}
		}
	}
	return append(out, crashCase{kind: streaming, routers: 4, pause: 10 * time.Millisecond, otherID: true},
		crashCase{kind: streaming, routers: 4, pause: 10 * time.Millisecond, crashEvent: 1},
		crashCase{kind: streaming, routers: 4, pause: 10 * time.Millisecond, crashEvent: 1, part: true},
		crashCase{kind: streaming, routers: 4, pause: 500 * time.Millisecond})
}

// TestCauseOfCrashesIsMissedUnderLoad sends harmful requests to runners that have always begun to answer sound ones.
func TestCauseOfCrashesIsMissedUnderLoad(t *testing.T) {
	binary := buildRouter(t)
	for _, tt := range crashCases() {
		t.Run(tt.String(), func(t *testing.T) {
			if !*crashAllFlag {
				t.Parallel()
			}
			f := &crashFleet{soak: &soak{t: t, store: newStore(t, 1)}, tt: tt, failures: map[string]int{}}
			f.start(binary)
			f.play()
			f.check()
		})
	}
}

// start starts the runners and the routers.
func (f *crashFleet) start(binary string) {
	f.t.Helper()
	route := func(k kind, name string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": strings.TrimSuffix(k.path(), "x"), "Kind": name, "DeadlineMs": 4000,
			"LatencyTargetMs": 500, "GapTargetMs": 500, "Service": "svc", "MaxAttempts": 2, "Affinity": true,
		}
	}
	f.store.putRow("op", "config", map[string]any{
		"Version":  1,
		"Routes":   []any{route(atMostOnce, "non_idempotent"), route(idempotent, "idempotent"), route(streaming, "streaming")},
		"Services": []any{map[string]any{"Name": "svc", "MaxConns": 400, "HealthPath": "/health"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
	serving := make(chan struct{})
	for n := range crashRunnerCount {
		r := &crashRunner{fleet: f, name: fmt.Sprintf("i-%d", n), addr: freeAddr(f.t)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.run(serving)
		}()
		<-serving
		f.t.Cleanup(func() {
			r.stop()
			<-done
		})
	}
	dir := f.t.TempDir()
	for range f.tt.routers {
		f.addRouter(binary, dir)
	}
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.saveLogs(dir)
		}
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, r := range f.routers {
		for end := time.Now().Add(15 * time.Second); f.send(client, r, "warm", "x") != ""; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatalf("router %s does not serve requests within 15 s", r.name)
			}
		}
	}
	time.Sleep(time.Second) // the routers know each other
}

// send sends a request. It returns an empty text if the response is whole, else what came.
func (f *crashFleet) send(client *http.Client, r *router, subject, body string) string {
	n := f.lastID.Add(1)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+r.callerAddr+f.tt.kind.path(), strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	req.Header.Set("Request-Id", fmt.Sprint("c", n))
	req.Header.Set("Deadline-Ms", "3500")
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("system:800,%s:400,own%d:200", subject, n))
	resp, err := client.Do(req)
	if err != nil {
		return "no response"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "broken response"
	case resp.StatusCode != http.StatusOK:
		return fmt.Sprintf("%d %s", resp.StatusCode, text)
	case f.tt.kind.isStream() && strings.Count(string(text), "\n\n") != crashStreamEvents:
		return fmt.Sprintf("%d events look complete", strings.Count(string(text), "\n\n"))
	default:
		return ""
	}
}

// play sends sound and harmful requests to all routers in turn.
func (f *crashFleet) play() {
	var calls sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	begin := time.Now()
	every := func(interval time.Duration, call func(n int, at time.Duration, r *router)) {
		for n := 0; time.Duration(n)*interval < *crashSpanFlag; n++ {
			calls.Go(func() {
				at := time.Duration(n) * interval
				time.Sleep(time.Until(begin.Add(at)))
				call(n, at, f.routers[n%len(f.routers)])
			})
		}
	}
	every(soundInterval, func(n int, at time.Duration, r *router) {
		f.recordSound(at, f.send(client, r, fmt.Sprint("subject", n%20), fmt.Sprint("sound", n)))
	})
	every(harmfulInterval, func(n int, _ time.Duration, r *router) {
		if f.tt.part {
			f.send(client, r, strings.TrimSuffix(harmfulPart, ":400"), fmt.Sprint("with the part", n))
			return
		}
		f.send(client, r, "subject3", harmfulBody)
	})
	calls.Wait()
}

func (f *crashFleet) recordArrival() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
}

func (f *crashFleet) recordCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
}

// recordSound records what came for a sound request.
func (f *crashFleet) recordSound(at time.Duration, failure string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.Contains(failure, "quarantined") {
		f.quarantined++
	}
	if at < *crashSpanFlag/2 {
		return
	}
	f.sound++
	if failure == "" {
		f.whole++
		return
	}
	f.failures[failure]++
}

func (f *crashFleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	if bound := f.tt.bound(); len(f.crashes) >= bound {
		for _, at := range f.arrivals {
			if at.Sub(f.crashes[bound-1]) > contactTime {
				late++
			}
		}
	}
	f.t.Logf("%d crashes, %d arrivals later than %v after crash %d, %d of %d sound responses of the second half whole, %d sound requests refused as in quarantine",
		len(f.crashes), late, contactTime, f.tt.bound(), f.whole, f.sound, f.quarantined)
	if late > 0 {
		f.t.Errorf("%d harmful requests reached runners later than %v after crash %d", late, contactTime, f.tt.bound())
	}
	if len(f.crashes) > maxCrashes {
		f.t.Errorf("%d crashes, want at most %d", len(f.crashes), maxCrashes)
	}
	if float64(f.whole) < minWholeShare*float64(f.sound) {
		f.t.Errorf("%d of %d sound responses of the second half are whole, want %g: %v", f.whole, f.sound, minWholeShare, f.failures)
	}
}
