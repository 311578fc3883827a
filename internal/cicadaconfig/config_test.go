package cicadaconfig_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const key = "secret of acme"

func document(t *testing.T, basedOn uint64, prepaid int) *cicadadoc.Source {
	t.Helper()
	text := fmt.Sprintf(`
schema: cicadadyke/v1
service: svc
basedOn: %d
places: [{name: p1, region: east}]
organisations: [{name: acme, keyDigests: ["%s"]}]
budgets: [{name: acme-2026, organisation: acme, prepaid: %d}]
upstreams: [{name: e, kind: modelEngine, models: [m], runners: [{name: e1, address: "127.0.0.1:9", place: p1, capacity: 1}]}]
rules: {weight: overspend}
`, basedOn, cicadaconfig.KeyDigest(key), prepaid)
	src, err := cicadadoc.Decode("svc.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return src
}

func newPlatform() *cicadastandin.Platform {
	return cicadastandin.NewPlatform(cicadastandin.PlatformConfig{RandomSeed: 1})
}

func apply(t *testing.T, p cicadastore.Platform, src *cicadadoc.Source) *cicadaconfig.Result {
	t.Helper()
	res, err := cicadaconfig.Apply(t.Context(), p, src)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func budgetRow(t *testing.T, p cicadastore.Platform) cicadaledger.BudgetRow {
	t.Helper()
	row, err := cicadastore.GetOne(t.Context(), p, cicadastore.Ref{Table: cicadastore.TableBudget, Key: "svc/acme-2026"})
	if err != nil {
		t.Fatal(err)
	}
	var br cicadaledger.BudgetRow
	if err := cicadaledger.DecodeRow(row.Value, &br); err != nil {
		t.Fatal(err)
	}
	return br
}

func TestApplyTwiceChangesNothing(t *testing.T) {
	p := newPlatform()
	first := apply(t, p, document(t, 0, 100))
	again := apply(t, p, document(t, 0, 100))
	if diff := cmp.Diff([]any{uint64(1), uint64(1), true}, []any{first.Version, again.Version, again.Unchanged}); diff != "" {
		t.Errorf("versions and unchanged (-want +got)\n%s", diff)
	}
}

// TestLoserOfARaceIsToldWhatChanged has two operators change the same version.
func TestLoserOfARaceIsToldWhatChanged(t *testing.T) {
	p := newPlatform()
	apply(t, p, document(t, 0, 100))
	apply(t, p, document(t, 1, 200))
	_, err := cicadaconfig.Apply(t.Context(), p, document(t, 1, 300))
	var conflict *cicadaconfig.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("no conflict: %v", err)
	}
	want := &cicadaconfig.ConflictError{Service: "svc", BaseVersion: 1, CurrentVersion: 2, Changes: []cicadadoc.Change{{
		Entity: "budget/acme-2026",
		Before: `{"name":"acme-2026","organisation":"acme","prepaid":100}`,
		After:  `{"name":"acme-2026","organisation":"acme","prepaid":200}`,
	}}}
	if diff := cmp.Diff(want, conflict); diff != "" {
		t.Errorf("conflict (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(cicadaledger.BudgetRow{Prepaid: 200}, budgetRow(t, p)); diff != "" {
		t.Errorf("budget (-want +got)\n%s", diff)
	}
}

// TestRacingOperators lets many apply changes of one version at once: one wins.
func TestRacingOperators(t *testing.T) {
	p := newPlatform()
	apply(t, p, document(t, 0, 100))
	results := make(chan error, 8)
	for i := range 8 {
		src := document(t, 1, 200+i)
		go func() {
			_, err := cicadaconfig.Apply(context.Background(), p, src)
			results <- err
		}()
	}
	won := 0
	for range 8 {
		err := <-results
		var conflict *cicadaconfig.ConflictError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &conflict):
			t.Errorf("lost otherwise than by conflict: %v", err)
		}
	}
	if diff := cmp.Diff(1, won); diff != "" {
		t.Errorf("winners (-want +got)\n%s", diff)
	}
}

func TestApplyWhoseAnswerIsLostIsFound(t *testing.T) {
	p := newPlatform()
	p.SetFaults(cicadastandin.PlatformFaults{LostResponseRatio: 1})
	res := apply(t, p, document(t, 0, 100))
	if diff := cmp.Diff([]any{uint64(1), false}, []any{res.Version, res.Unchanged}); diff != "" {
		t.Errorf("version and unchanged (-want +got)\n%s", diff)
	}
	if rows := p.TableRows(cicadastore.TableChange); len(rows) != 2 {
		t.Errorf("%d rows of changes, want head and one change", len(rows))
	}
}

func TestBudgetIsNotLoweredBelowWhatIsAllotted(t *testing.T) {
	p := newPlatform()
	apply(t, p, document(t, 0, 100))
	value, err := cicadaledger.EncodeRow(cicadaledger.BudgetRow{Prepaid: 100, Allotted: map[string]cicadabudget.Units{"east": 60}})
	if err != nil {
		t.Fatal(err)
	}
	ref := cicadastore.Ref{Table: cicadastore.TableBudget, Key: "svc/acme-2026"}
	if _, err := p.Commit(t.Context(), cicadastore.Txn{Writes: []cicadastore.Write{{Ref: ref, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	_, err = cicadaconfig.Apply(t.Context(), p, document(t, 1, 59))
	var invalid *cicadadoc.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("lowered: %v", err)
	}
	want := []cicadadoc.Problem{{
		Line: 7, Column: 58, Path: "$.budgets[0].prepaid",
		Message: "prepaid 59 is below the 60 units that are spent or handed out to regions",
		Remedy:  "write 60 or more; nothing was changed",
	}}
	if diff := cmp.Diff(want, invalid.Problems); diff != "" {
		t.Errorf("problems (-want +got)\n%s", diff)
	}
	if res := apply(t, p, document(t, 1, 60)); res.Version != 2 {
		t.Errorf("lowering to what is allotted made version %d", res.Version)
	}
}

func newWatcher(t *testing.T, p cicadastore.Platform, fromPeers func(context.Context) (*cicadaconfig.Export, error)) *cicadaconfig.Watcher {
	t.Helper()
	w := cicadaconfig.NewWatcher(cicadaconfig.WatcherConfig{
		Platform: p, Log: &log.Logger{Handler: discard.New()}, FetchFromPeers: fromPeers,
	})
	w.Start()
	t.Cleanup(w.Close)
	return w
}

// await polls until ok or the test's patience ends.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < 20*time.Second; {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func TestWatcherFollowsChanges(t *testing.T) {
	p := newPlatform()
	apply(t, p, document(t, 0, 100))
	w := newWatcher(t, p, nil)
	await(t, "version 1 in force", func() bool { return w.Current().Versions()["svc"] == 1 })
	for v := uint64(1); v < 4; v++ {
		apply(t, p, document(t, v, 100+int(v)))
	}
	w.NotifySeq(4)
	await(t, "version 4 in force", func() bool { return w.Current().Versions()["svc"] == 4 })
	svc, _ := w.Current().Service("svc")
	if _, prepaid, ok := svc.BudgetFor("acme"); !ok || prepaid != 103 {
		t.Errorf("prepaid %d", prepaid)
	}
	if _, ok := svc.Authenticate(key); !ok {
		t.Error("the key of the document is not known")
	}
	if _, ok := svc.Authenticate("another"); ok {
		t.Error("a key that is not in the document is known")
	}
}

// TestRestartedRouterWithoutPlatformTakesThePeersVersion restarts a watcher in
// an outage: it comes up on the newest version that peers have, and never goes
// back when an older peer answers.
func TestRestartedRouterWithoutPlatformTakesThePeersVersion(t *testing.T) {
	p := newPlatform()
	apply(t, p, document(t, 0, 100))
	older := newWatcher(t, p, nil)
	await(t, "the first version", func() bool { return older.Current().Versions()["svc"] == 1 })
	first := older.Current().Export()
	apply(t, p, document(t, 1, 200))
	older.NotifySeq(2)
	await(t, "the second version", func() bool { return older.Current().Versions()["svc"] == 2 })
	second := older.Current().Export()

	p.SetFaults(cicadastandin.PlatformFaults{Outage: true})
	answers := make(chan *cicadaconfig.Export, 2)
	answers <- second
	answers <- first
	w := newWatcher(t, p, func(context.Context) (*cicadaconfig.Export, error) {
		select {
		case e := <-answers:
			return e, nil
		default:
			return nil, errors.New("nobody")
		}
	})
	<-w.Ready()
	if !w.FromPeersOnly() {
		t.Error("the watcher does not say that its configuration is from peers")
	}
	await(t, "both peers asked", func() bool { return len(answers) == 0 })
	w.Merge(first)
	if diff := cmp.Diff(uint64(2), w.Current().Versions()["svc"]); diff != "" {
		t.Errorf("version (-want +got)\n%s", diff)
	}
	p.SetFaults(cicadastandin.PlatformFaults{})
	await(t, "the platform's confirmation", func() bool { return !w.FromPeersOnly() })
}
