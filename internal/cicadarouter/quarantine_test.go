package cicadarouter_test

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadademo"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
)

const (
	harmfulText = "crashes-the-engine"
	// quarantinePeriod is how long after a number of crashes requests may still crash engines, and
	// maxLateCrashes how many crashes may follow.
	quarantinePeriod = 3 * time.Second
	maxLateCrashes   = 3
)

// chatBody returns a request of several messages, the last of which is its own.
func chatBody(stream bool, messages ...string) string {
	var list []string
	for _, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":20,"messages":[%s]}`, model, stream, strings.Join(list, ","))
}

func postChat(t *testing.T, r *cicadarouter.Router, body string) reply {
	t.Helper()
	return do(t, http.MethodPost, baseURL(r)+"/v1/chat/completions", body, map[string]string{"Authorization": "Bearer " + apiKey})
}

func crashOn(w *cicadademo.Environment, text string) {
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{CrashOn: text})
	}
}

// lateCrashes returns the number of crashes later than quarantinePeriod after the first ones.
func lateCrashes(w *cicadademo.Environment, first int) int {
	late, crashes := 0, w.Crashes()
	for i := first; i < len(crashes); i++ {
		if crashes[i].Sub(crashes[first-1]) > quarantinePeriod {
			late++
		}
	}
	return late
}

// The sound requests share their organisation and first message with those that crash engines.
func TestMessageOrRequestCrashesEngineAfterEngine(t *testing.T) {
	for _, tt := range []struct {
		name    string
		crashes int // after which such requests have to be recognised
		harmful func(i int) []string
	}{
		{"message", 5, func(i int) []string { return []string{"system", harmfulText, fmt.Sprint("own", i)} }},
		{"request", 3, func(int) []string { return []string{"system", "subject0", harmfulText} }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newEnvironment(t, nil)
			crashOn(w, harmfulText)
			var (
				calls sync.WaitGroup
				mu    sync.Mutex
				sound = map[int]int{} // by status
			)
			routers := w.Routers()
			const count = 100
			for i := range count {
				r := routers[i%len(routers)]
				calls.Go(func() { postChat(t, r, chatBody(true, tt.harmful(i)...)) })
				calls.Go(func() {
					got := postChat(t, r, chatBody(i%2 == 0, "system", fmt.Sprint("subject", i%3), fmt.Sprint("own", i)))
					mu.Lock()
					defer mu.Unlock()
					sound[got.status]++
				})
				time.Sleep(80 * time.Millisecond)
			}
			calls.Wait()
			if late := lateCrashes(w, tt.crashes); late > maxLateCrashes {
				t.Errorf("%d crashes later than %v after the first %d, want at most %d; %d in all",
					late, quarantinePeriod, tt.crashes, maxLateCrashes, len(w.Crashes()))
			}
			if sound[http.StatusOK] < count*3/4 {
				t.Errorf("sound requests by status %v, want at least %d with 200", sound, count*3/4)
			}
			got := postChat(t, routers[0], chatBody(true, tt.harmful(0)...))
			if got.status != http.StatusServiceUnavailable || got.problem.Code != string(cicadarefusal.Quarantined) || got.problem.Ran != string(cicadarefusal.NotRun) {
				t.Errorf("request that crashes engines: status %d, %+v", got.status, got.problem)
			}
		})
	}
}

// quarantineAll sends a request that crashes engines until all routers refuse it.
func quarantineAll(t *testing.T, w *cicadademo.Environment) (body string) {
	t.Helper()
	crashOn(w, harmfulText)
	body = chatBody(true, "system", harmfulText, "own")
	for _, r := range w.Routers() {
		eventually(t, "the request is in quarantine", func() bool {
			time.Sleep(300 * time.Millisecond)
			return postChat(t, r, body).problem.Code == string(cicadarefusal.Quarantined)
		})
	}
	return body
}

func TestNewRouterForwardsWhatCrashesEngines(t *testing.T) {
	w := newEnvironment(t, nil)
	body := quarantineAll(t, w)
	crashes := len(w.Crashes())
	r, err := w.StartRouter("late", cicadadoc.DataCentre{Name: "salle-levis", Region: "qc-est"})
	if err != nil {
		t.Fatal(err)
	}
	<-r.Ready()
	for i := range 5 {
		got := postChat(t, r, body)
		for got.problem.Code == string(cicadarefusal.NotReady) {
			got = postChat(t, r, body)
		}
		if got.problem.Code != string(cicadarefusal.Quarantined) {
			t.Errorf("request %d: status %d, %+v", i, got.status, got.problem)
		}
	}
	if more := len(w.Crashes()) - crashes; more > 0 {
		t.Errorf("%d engines crashed over requests at the new router", more)
	}
}

func TestQuarantineThatAnOperatorLiftsStaysAtOtherRouters(t *testing.T) {
	w := newEnvironment(t, nil)
	body := quarantineAll(t, w)
	crashOn(w, "")
	for _, b := range w.Routers()[0].State().Quarantine {
		got := do(t, http.MethodDelete, "http://"+w.Routers()[0].Host().OperatorAddr+"/debug/quarantine/"+string(b.Traits[0]), "",
			map[string]string{"Authorization": "Bearer " + w.OperatorToken()})
		if got.status != http.StatusNoContent {
			t.Fatalf("lift: status %d, %s", got.status, got.body)
		}
	}
	for _, r := range w.Routers() {
		eventually(t, "the request is served", func() bool { return postChat(t, r, body).status == http.StatusOK })
	}
}

// Engines that break off their streams and go on have not crashed.
func TestBrokenStreamsPutNothingInQuarantine(t *testing.T) {
	w := newEnvironment(t, nil)
	for _, e := range w.Engines() {
		e.SetFaults(cicadastandin.EngineFaults{StallAfterChunks: 1, ForgetOnStall: true})
	}
	var calls sync.WaitGroup
	for i := range 20 {
		calls.Go(func() { postChat(t, w.Routers()[i%4], chatBody(true, "system", "own")) })
	}
	calls.Wait()
	for _, r := range w.Routers() {
		if blocks := r.State().Quarantine; len(blocks) > 0 {
			t.Errorf("in quarantine: %+v", blocks)
		}
	}
}

// A peer whose clock is ahead tells of a crash that this router has seen itself.
func TestCrashCountsTwiceByAnotherClock(t *testing.T) {
	w := newEnvironment(t, nil)
	crashOn(w, harmfulText)
	r := w.Routers()[0]
	// A call that may run once crashes one engine only.
	do(t, http.MethodPost, baseURL(r)+"/v1/chat/completions", chatBody(false, "system", "subject", harmfulText), map[string]string{
		"Authorization": "Bearer " + apiKey, "Idempotency-Key": "once", "Cicadadyke-Idempotent": "false",
	})
	var crash cicadaquarantine.Crash
	client := peerClient(t, w)
	const ahead = 7 * time.Second
	heartbeat := func() *cicadapeer.Heartbeat {
		return &cicadapeer.Heartbeat{RouterID: cicadaledger.RouterID{Host: "peer", Incarnation: 1}, SentMillis: time.Now().Add(ahead).UnixMilli()}
	}
	eventually(t, "the router knows the crash", func() bool {
		reply, err := client.Heartbeat(t.Context(), r.Host().PeerAddr, heartbeat())
		if err != nil || reply.Crashes == nil {
			return false
		}
		crash = reply.Crashes.Crashes[0]
		return true
	})
	crash.Runner += "7"
	crash.AtMillis += ahead.Milliseconds()
	told := heartbeat()
	told.Crashes = &cicadaquarantine.Report{Crashes: []cicadaquarantine.Crash{crash}}
	if _, err := client.Heartbeat(t.Context(), r.Host().PeerAddr, told); err != nil {
		t.Fatal(err)
	}
	if blocks := r.State().Quarantine; len(blocks) > 0 {
		t.Errorf("in quarantine: %+v", blocks)
	}
}

func peerClient(t *testing.T, w *cicadademo.Environment) *cicadapeer.Client {
	t.Helper()
	var received, sent expvar.Int
	client := cicadapeer.NewClient(cicadapeer.ClientConfig{
		Identity: w.Identity(), BytesReceived: &received, BytesSent: &sent, Calls: new(expvar.Map).Init(),
	})
	t.Cleanup(client.Close)
	return client
}

// A trait that was cleared of one crash is cleared of a later one too. Routers compare digests.
func TestLaterClearanceStaysWithOneRouter(t *testing.T) {
	w := newEnvironment(t, nil)
	client := peerClient(t, w)
	now := time.Now().UnixMilli()
	tell := func(evidence *cicadaquarantine.Report) (digest uint64) {
		reply, err := client.Heartbeat(t.Context(), w.Routers()[0].Host().PeerAddr, &cicadapeer.Heartbeat{
			RouterID: cicadaledger.RouterID{Host: "peer", Incarnation: 1}, SentMillis: now, Crashes: evidence,
		})
		if err != nil {
			t.Fatal(err)
		}
		return reply.CrashesDigest
	}
	crash := func(runner string, at int64, traits ...cicadaquarantine.Trait) *cicadaquarantine.Report {
		return &cicadaquarantine.Report{Crashes: []cicadaquarantine.Crash{{
			Runner: runner, AtMillis: at, Suspects: cicadaquarantine.Suspects{Begun: []cicadaquarantine.Suspect{traits}},
		}}}
	}
	tell(crash("r1@1", now-10_000, "shared", "first"))
	tell(&cicadaquarantine.Report{Cleared: map[cicadaquarantine.Trait]int64{"shared": now - 9_000}})
	before := tell(crash("r2@6", now-5_000, "shared", "second"))
	after := tell(&cicadaquarantine.Report{Cleared: map[cicadaquarantine.Trait]int64{"shared": now - 4_000}})
	if before == after {
		t.Errorf("digest %d before and after the clearance", after)
	}
}
