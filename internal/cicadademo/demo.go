package cicadademo

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

// Violation is a violated guarantee that is injected to test the verifier.
type Violation string

// The violations that can be injected.
const (
	NoViolation                Violation = ""
	ViolationDuplicateBill     Violation = "doubledBill"
	ViolationOverspend         Violation = "overspend"
	ViolationIncorrectResponse Violation = "wrongAnswer"
)

type (
	// Config configures a demonstration.
	Config struct {
		Files             fs.FS // the examples
		RandomSeed        uint64
		Duration          time.Duration // of the load
		RequestsPerSecond float64
		InjectedViolation Violation
		Logger            log.Interface
		OnProgress        func(done, total int)
	}

	// Report is the outcome of a demonstration.
	Report struct {
		Seed                       uint64                     `json:"seed"`
		Routers                    int                        `json:"routers"`
		Organisations              int                        `json:"organisations"`
		Seconds                    float64                    `json:"seconds"`
		Requests                   int                        `json:"requests"`
		Attempts                   int                        `json:"attempts"`
		Retried                    int                        `json:"retried"`
		CompleteResponses          int                        `json:"answeredWhole"`
		ReplayedResponses          int                        `json:"replayedAnswers"`
		ResponsesByVerdict         map[cicadaload.Verdict]int `json:"verdicts"`
		RefusalsByCode             map[string]int             `json:"refused"`
		Transfers                  int                        `json:"transfers"`
		TransfersAnswered          int                        `json:"transfersAnswered"`
		Findings                   Findings                   `json:"findings"`
		UnitsHeldByKilledRouter    cicadabudget.Units         `json:"unitsHeldByTheKilledRouter"`
		FirstToken                 cicadaload.Quantiles       `json:"firstToken"`
		TokenGap                   cicadaload.Quantiles       `json:"tokenGap"`
		ControlBytesPerSecond      float64                    `json:"controlBytesANodeASecond"` // per router
		PeerCallsPerSecond         map[string]float64         `json:"peerCallsANodeASecond"`    // per router, by method
		StoreTransactionsPerSecond float64                    `json:"storeTransactionsASecond"`
		StoreRowsWrittenPerSecond  float64                    `json:"storeRowsWrittenASecond"`
		StoreReadsPerSecond        float64                    `json:"storeReadsASecond"`
		Timeline                   []string                   `json:"timeline"`
		startedAt                  time.Time
	}
)

// The services of the examples that the demo runs.
const (
	chatService  = "redacteur"
	plainService = "guichet"
)

// smallBudgets get a prepaid total that the load exhausts before the top-up.
var smallBudgets = []string{"artisans-saint-roch-2026", "condos-vieux-quebec-2026", "essai-nouveaux-2026"}

const (
	smallPrepaid cicadabudget.Units = 1200
	topUpUnits   cicadabudget.Units = 50000
	// transfersPerSecond is the rate of at-most-once requests.
	transfersPerSecond = 4.0
	responseDelay      = 4 * time.Millisecond
)

// Run runs the demonstration and checks its guarantees.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	env, err := NewEnvironment(ctx, EnvironmentConfig{
		Files: cfg.Files, Documents: []string{"qc-est/redacteur.yaml", "qc-est/guichet.yaml"}, RoutersPerDataCentre: 2,
		RandomSeed: cfg.RandomSeed, Logger: cfg.Logger, ResponseDelay: responseDelay, Prepaid: initialPrepaid(),
		Platform: cicadastandin.PlatformConfig{
			RandomSeed: cfg.RandomSeed, WritesPerSecond: 300, ReadsPerSecond: 2000, HostListDelay: time.Second,
		},
	})
	if env != nil {
		defer env.CloseStandIns()
	}
	if err != nil {
		return nil, err
	}
	rep := &Report{Seed: cfg.RandomSeed, Routers: len(env.Routers()), Organisations: len(env.Document(chatService).Organisations), startedAt: time.Now()}
	load := newLoadGenerator(env, cfg.RandomSeed)
	defer load.caller.Close()
	if err := rep.runScenario(ctx, &cfg, env, load); err != nil {
		return nil, err
	}
	rep.measureControlCost(env)
	if err := env.Close(ctx); err != nil {
		return nil, errors.Wrap(err, "stop the routers")
	}
	if err := injectViolation(ctx, cfg.InjectedViolation, env, load); err != nil {
		return nil, err
	}
	return rep, rep.verify(env, load)
}

func initialPrepaid() map[string]cicadabudget.Units {
	out := make(map[string]cicadabudget.Units)
	for _, b := range smallBudgets {
		out[chatService+"/"+b] = smallPrepaid
	}
	return out
}

// runScenario generates the load and triggers the scheduled events meanwhile.
func (rep *Report) runScenario(ctx context.Context, cfg *Config, env *Environment, load *loadGenerator) error {
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		transfersDone := make(chan struct{})
		go func() {
			defer close(transfersDone)
			load.runTransfers(ctx, env.Document(plainService), transfersPerSecond, cfg.Duration)
		}()
		load.runCalls(ctx, env.Document(chatService), cfg.RequestsPerSecond, cfg.Duration)
		<-transfersDone
	}()
	routers := env.Routers()
	stopped, killed := routers[2], routers[5]
	events := []struct {
		at          float64 // share of the duration
		description string
		run         func() error
	}{
		{0.25, "planned stop of " + stopped.Host().Name, func() error { return env.StopRouter(ctx, stopped) }},
		{0.45, "crash of " + killed.Host().Name, func() error { env.KillRouter(killed); return nil }},
		{0.55, "top-up of the exhausted budgets by apply", func() error { return env.TopUp(ctx, chatService, topUpsByBudget()) }},
		{0.65, "start of a replacement for " + stopped.Host().Name, func() error {
			_, err := env.StartRouter(stopped.Host().Name, env.Document(chatService).DataCentres[1])
			return err
		}},
	}
	for i, event := range events {
		at := rep.startedAt.Add(time.Duration(event.at * float64(cfg.Duration)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return ctx.Err()
		}
		cfg.OnProgress(i+1, len(events)+1)
		if err := event.run(); err != nil {
			return errors.Wrap(err, event.description)
		}
		rep.Timeline = append(rep.Timeline, fmt.Sprintf("%5.1f s  %s, done at %.1f s",
			at.Sub(rep.startedAt).Seconds(), event.description, time.Since(rep.startedAt).Seconds()))
	}
	<-loadDone
	cfg.OnProgress(len(events)+1, len(events)+1)
	return ctx.Err()
}

func topUpsByBudget() map[string]cicadabudget.Units {
	out := make(map[string]cicadabudget.Units)
	for _, b := range smallBudgets {
		out[b] = topUpUnits
	}
	return out
}

// measureControlCost computes the rates of peer and store traffic from the
// routers' and the platform's counters.
func (rep *Report) measureControlCost(env *Environment) {
	rep.Seconds = time.Since(rep.startedAt).Seconds()
	var bytes int64
	for _, r := range env.allRouters {
		bytes += r.Metrics().PeerBytes()
	}
	rep.PeerCallsPerSecond = make(map[string]float64)
	for _, r := range env.allRouters {
		r.Metrics().PeerCalls.Do(func(kv expvar.KeyValue) {
			n := cicadarouter.CounterValue(r.Metrics().PeerCalls, kv.Key)
			rep.PeerCallsPerSecond[kv.Key] += float64(n) / float64(rep.Routers) / rep.Seconds
		})
	}
	rep.ControlBytesPerSecond = float64(bytes) / float64(rep.Routers) / rep.Seconds
	counts := env.platform.Counters()
	rep.StoreTransactionsPerSecond = float64(cicadarouter.CounterValue(counts, "commits")) / rep.Seconds
	rep.StoreRowsWrittenPerSecond = float64(cicadarouter.CounterValue(counts, "rowsWritten")) / rep.Seconds
	rep.StoreReadsPerSecond = float64(cicadarouter.CounterValue(counts, "reads")+cicadarouter.CounterValue(counts, "scans")+
		cicadarouter.CounterValue(counts, "hostReads")+cicadarouter.CounterValue(counts, "announcements")) / rep.Seconds
}

func (rep *Report) verify(env *Environment, load *loadGenerator) error {
	v, err := newVerifier(env, load)
	if err != nil {
		return err
	}
	rep.Findings = v.check()
	load.stats.Finish()
	rep.ResponsesByVerdict, rep.RefusalsByCode = load.stats.Verdicts, load.stats.RefusalCodes
	rep.FirstToken, rep.TokenGap = load.stats.FirstToken, load.stats.TokenGap
	rep.Requests = len(load.calls)
	for _, c := range load.calls {
		rep.Attempts += len(c.attempts)
		if len(c.attempts) > 1 {
			rep.Retried++
		}
		last := &c.attempts[len(c.attempts)-1]
		if last.Verdict == cicadaload.Complete {
			rep.CompleteResponses++
		}
		if last.Replayed {
			rep.ReplayedResponses++
		}
	}
	rep.Transfers = len(load.transfers)
	for _, t := range load.transfers {
		if t.succeeded {
			rep.TransfersAnswered++
		}
	}
	return nil
}

// injectViolation changes the records of the run as a faulty fleet would have
// left them.
func injectViolation(ctx context.Context, violation Violation, env *Environment, load *loadGenerator) error {
	switch violation {
	case NoViolation:
		return nil
	case ViolationIncorrectResponse:
		load.calls[0].attempts[0].Verdict = cicadaload.Incorrect
		return nil
	case ViolationDuplicateBill, ViolationOverspend:
		return forgeBill(ctx, violation, env)
	default:
		return errors.Errorf("unknown violation %q", violation)
	}
}

// forgeBill writes a record with a bill that no home would have written: a
// duplicate, or one above the prepaid total.
func forgeBill(ctx context.Context, violation Violation, env *Environment) error {
	for _, row := range env.platform.TableRows(cicadastore.TableBatch) {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return err
		}
		for _, batch := range rec.Batches {
			for _, op := range batch.Operations {
				if len(op.Bills) == 0 || !isCharge(&op.Bills[0]) {
					continue
				}
				bill := op.Bills[0]
				if violation == ViolationOverspend {
					bill.RequestID, bill.Key, bill.Units = "forged", "", cicadabudget.MaxUnits/2
				}
				batch.Operations = []cicadaledger.Operation{{Holder: op.Holder, Bills: []cicadaledger.Bill{bill}}}
				value, err := cicadaledger.EncodeRecord(&cicadaledger.Record{Batches: []cicadaledger.Batch{batch}})
				if err != nil {
					return err
				}
				_, err = env.platform.Commit(ctx, cicadastore.Txn{Writes: []cicadastore.Write{{
					Ref: cicadastore.Ref{Table: cicadastore.TableBatch, Key: "forged/000000000001"}, Value: value,
				}}})
				return err
			}
		}
	}
	return errors.New("no charged bill in the store to derive a forged one from")
}

// formatRates formats the rates sorted by name.
func formatRates(rates map[string]float64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(rates)) {
		out = append(out, fmt.Sprintf("%s %.1f", name, rates[name]))
	}
	return strings.Join(out, ", ")
}

// WriteTable writes the report as a human-readable table.
func (rep *Report) WriteTable(out io.Writer) error {
	f := &rep.Findings
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(name string, format string, args ...any) {
		fmt.Fprintf(tw, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	line("routers, organisations, seed", "%d, %d, %d", rep.Routers, rep.Organisations, rep.Seed)
	for _, t := range rep.Timeline {
		line("event", "%s", t)
	}
	line("requests (attempts, retried)", "%d (%d, %d)", rep.Requests, rep.Attempts, rep.Retried)
	line("complete responses (replayed from a stored response)", "%d (%d)", rep.CompleteResponses, rep.ReplayedResponses)
	line("responses by verdict", "%v", rep.ResponsesByVerdict)
	line("attempts refused by code", "%v", rep.RefusalsByCode)
	line("at-most-once calls (answered)", "%d (%d)", rep.Transfers, rep.TransfersAnswered)
	line("billed (units, voided bills)", "%d (%d, %d)", f.Bills, f.BilledUnits, f.VoidedBills)
	line("duplicate bills", "%d", f.DuplicateBills)
	line("complete responses without a bill, with an incorrect bill", "%d, %d", f.UnbilledResponses, f.MisbilledResponses)
	line("overspend by the bills, by the upstreams' records", "%d, %d", f.Overspend, f.UpstreamOverspend)
	line("incorrect responses, silently truncated responses", "%d, %d", f.IncorrectResponses, f.SilentlyTruncated)
	line("once-only calls run twice, falsely \"not run\"", "%d, %d", f.TransfersRunTwice, f.FalseNotRunClaims)
	line("false refusals", "%d %v", f.FalseRefusals, f.FalseRefusalCodes)
	line("refused for worst-case usage, actual usage would fit", "%d", f.WorstCaseRefusals)
	line("control bytes per router and second", "%.0f", rep.ControlBytesPerSecond)
	line("calls to peers per router and second", "%s", formatRates(rep.PeerCallsPerSecond))
	line("store transactions, rows, reads per second", "%.1f, %.1f, %.1f", rep.StoreTransactionsPerSecond, rep.StoreRowsWrittenPerSecond, rep.StoreReadsPerSecond)
	line("first token p50, p95, p99", "%.1f, %.1f, %.1f ms", rep.FirstToken.P50, rep.FirstToken.P95, rep.FirstToken.P99)
	line("token gap p50, p95, p99", "%.1f, %.1f, %.1f ms", rep.TokenGap.P50, rep.TokenGap.P95, rep.TokenGap.P99)
	verdict := "all guarantees held"
	if f.HasViolations() {
		verdict = "A GUARANTEE WAS VIOLATED"
	}
	line("verdict", "%s", verdict)
	return errors.Wrap(tw.Flush(), "write")
}
