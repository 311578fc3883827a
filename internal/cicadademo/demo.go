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

// Violation is a promise to break on purpose, to see that the judge finds it.
type Violation string

// The promises that can be broken on purpose.
const (
	NoViolation                Violation = ""
	ViolationDuplicateBill     Violation = "doubledBill"
	ViolationOverspend         Violation = "overspend"
	ViolationIncorrectResponse Violation = "wrongAnswer"
)

type (
	// Config sets up a demonstration.
	Config struct {
		Files             fs.FS // the examples
		RandomSeed        uint64
		Duration          time.Duration // of the load
		RequestsPerSecond float64       // requests a second
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
		ControlBytesPerSecond      float64                    `json:"controlBytesANodeASecond"`
		PeerCallsPerSecond         map[string]float64         `json:"peerCallsANodeASecond"`
		StoreTransactionsPerSecond float64                    `json:"storeTransactionsASecond"`
		StoreRowsWrittenPerSecond  float64                    `json:"storeRowsWrittenASecond"`
		StoreReadsPerSecond        float64                    `json:"storeReadsASecond"`
		Timeline                   []string                   `json:"timeline"`
		begun                      time.Time
	}
)

// services of the example that the demo runs.
const (
	chatService  = "redacteur"
	plainService = "guichet"
)

// dryBudgets get a prepaid total that the load exhausts before the top-up.
var dryBudgets = []string{"artisans-saint-roch-2026", "condos-vieux-quebec-2026", "essai-nouveaux-2026"}

const (
	dryPrepaid  cicadabudget.Units = 1200
	topUpAmount cicadabudget.Units = 50000
	// transferRate is the calls a second that may run at most once.
	transferRate = 4.0
	pace         = 4 * time.Millisecond
)

// Run runs the demonstration and judges it.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	w, err := NewEnvironment(ctx, EnvironmentConfig{
		Files: cfg.Files, Documents: []string{"qc-est/redacteur.yaml", "qc-est/guichet.yaml"}, RoutersPerDataCentre: 2,
		RandomSeed: cfg.RandomSeed, Logger: cfg.Logger, ResponseDelay: pace, Prepaid: demoPrepaid(),
		Platform: cicadastandin.PlatformConfig{
			RandomSeed: cfg.RandomSeed, WritesPerSecond: 300, ReadsPerSecond: 2000, HostListDelay: time.Second,
		},
	})
	if w != nil {
		defer w.CloseStandIns()
	}
	if err != nil {
		return nil, err
	}
	rep := &Report{Seed: cfg.RandomSeed, Routers: len(w.Routers()), Organisations: len(w.Document(chatService).Organisations), begun: time.Now()}
	c := newCallers(w, cfg.RandomSeed)
	defer c.caller.Close()
	if err := rep.play(ctx, &cfg, w, c); err != nil {
		return nil, err
	}
	rep.measure(w)
	if err := w.Close(ctx); err != nil {
		return nil, errors.Wrap(err, "stop the routers")
	}
	if err := breakPromise(ctx, cfg.InjectedViolation, w, c); err != nil {
		return nil, err
	}
	return rep, rep.judge(w, c)
}

func demoPrepaid() map[string]cicadabudget.Units {
	out := make(map[string]cicadabudget.Units)
	for _, b := range dryBudgets {
		out[chatService+"/"+b] = dryPrepaid
	}
	return out
}

// play runs the load, and the day's events beside it.
func (rep *Report) play(ctx context.Context, cfg *Config, w *Environment, c *callers) error {
	load := make(chan struct{})
	go func() {
		defer close(load)
		transfers := make(chan struct{})
		go func() {
			defer close(transfers)
			c.runTransfers(ctx, w.Document(plainService), transferRate, cfg.Duration)
		}()
		c.run(ctx, w.Document(chatService), cfg.RequestsPerSecond, cfg.Duration)
		<-transfers
	}()
	routers := w.Routers()
	leaves, dies := routers[2], routers[5]
	events := []struct {
		at   float64 // share of the duration
		what string
		do   func() error
	}{
		{0.25, "planned stop of " + leaves.Host().Name, func() error { return w.StopRouter(ctx, leaves) }},
		{0.45, "sudden death of " + dies.Host().Name, func() error { w.KillRouter(dies); return nil }},
		{0.55, "top-up of the dry budgets by apply", func() error { return w.TopUp(ctx, chatService, topUps()) }},
		{0.65, "start of a replacement for " + leaves.Host().Name, func() error {
			_, err := w.StartRouter(leaves.Host().Name, w.Document(chatService).DataCentres[1])
			return err
		}},
	}
	for i, e := range events {
		at := rep.begun.Add(time.Duration(e.at * float64(cfg.Duration)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return ctx.Err()
		}
		cfg.OnProgress(i+1, len(events)+1)
		if err := e.do(); err != nil {
			return errors.Wrap(err, e.what)
		}
		rep.Timeline = append(rep.Timeline, fmt.Sprintf("%5.1f s  %s, done at %.1f s",
			at.Sub(rep.begun).Seconds(), e.what, time.Since(rep.begun).Seconds()))
	}
	<-load
	cfg.OnProgress(len(events)+1, len(events)+1)
	return ctx.Err()
}

func topUps() map[string]cicadabudget.Units {
	out := make(map[string]cicadabudget.Units)
	for _, b := range dryBudgets {
		out[b] = topUpAmount
	}
	return out
}

// measure reads the routers' own counters of control cost.
func (rep *Report) measure(w *Environment) {
	rep.Seconds = time.Since(rep.begun).Seconds()
	var bytes int64
	for _, r := range w.all {
		bytes += r.Metrics().PeerBytes()
	}
	rep.PeerCallsPerSecond = make(map[string]float64)
	for _, r := range w.all {
		r.Metrics().PeerCalls.Do(func(kv expvar.KeyValue) {
			n := cicadarouter.CounterValue(r.Metrics().PeerCalls, kv.Key)
			rep.PeerCallsPerSecond[kv.Key] += float64(n) / float64(rep.Routers) / rep.Seconds
		})
	}
	rep.ControlBytesPerSecond = float64(bytes) / float64(rep.Routers) / rep.Seconds
	counts := w.platform.Counters()
	rep.StoreTransactionsPerSecond = float64(cicadarouter.CounterValue(counts, "commits")) / rep.Seconds
	rep.StoreRowsWrittenPerSecond = float64(cicadarouter.CounterValue(counts, "rowsWritten")) / rep.Seconds
	rep.StoreReadsPerSecond = float64(cicadarouter.CounterValue(counts, "reads")+cicadarouter.CounterValue(counts, "scans")+
		cicadarouter.CounterValue(counts, "hostReads")+cicadarouter.CounterValue(counts, "announcements")) / rep.Seconds
}

func (rep *Report) judge(w *Environment, c *callers) error {
	j, err := newJudge(w, c)
	if err != nil {
		return err
	}
	rep.Findings = j.run()
	c.stats.Finish()
	rep.ResponsesByVerdict, rep.RefusalsByCode = c.stats.Verdicts, c.stats.RefusalCodes
	rep.FirstToken, rep.TokenGap = c.stats.FirstToken, c.stats.TokenGap
	rep.Requests = len(c.calls)
	for _, k := range c.calls {
		rep.Attempts += len(k.attempts)
		if len(k.attempts) > 1 {
			rep.Retried++
		}
		last := &k.attempts[len(k.attempts)-1]
		if last.Verdict == cicadaload.Complete {
			rep.CompleteResponses++
		}
		if last.Replayed {
			rep.ReplayedResponses++
		}
	}
	rep.Transfers = len(c.transfers)
	for _, t := range c.transfers {
		if t.whole {
			rep.TransfersAnswered++
		}
	}
	return nil
}

// breakPromise does what a faulty fleet would have done.
func breakPromise(ctx context.Context, b Violation, w *Environment, c *callers) error {
	switch b {
	case NoViolation:
		return nil
	case ViolationIncorrectResponse:
		c.calls[0].attempts[0].Verdict = cicadaload.Incorrect
		return nil
	case ViolationDuplicateBill, ViolationOverspend:
		return forgeBill(ctx, b, w)
	default:
		return errors.Errorf("cannot break %q", b)
	}
}

// forgeBill appends a record with a bill that no home would have written.
func forgeBill(ctx context.Context, b Violation, w *Environment) error {
	for _, row := range w.platform.TableRows(cicadastore.TableBatch) {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return err
		}
		for _, batch := range rec.Batches {
			for _, s := range batch.Operations {
				if len(s.Bills) == 0 || !charges(&s.Bills[0]) {
					continue
				}
				bill := s.Bills[0]
				if b == ViolationOverspend {
					bill.RequestID, bill.Key, bill.Units = "forged", "", cicadabudget.MaxUnits/2
				}
				batch.Operations = []cicadaledger.Operation{{Holder: s.Holder, Bills: []cicadaledger.Bill{bill}}}
				value, err := cicadaledger.EncodeRecord(&cicadaledger.Record{Batches: []cicadaledger.Batch{batch}})
				if err != nil {
					return err
				}
				_, err = w.platform.Commit(ctx, cicadastore.Txn{Writes: []cicadastore.Write{{
					Ref: cicadastore.Ref{Table: cicadastore.TableBatch, Key: "forged/000000000001"}, Value: value,
				}}})
				return err
			}
		}
	}
	return errors.New("no bill to forge")
}

// perSecond prints rates by name, in the order of the names.
func perSecond(rates map[string]float64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(rates)) {
		out = append(out, fmt.Sprintf("%s %.1f", name, rates[name]))
	}
	return strings.Join(out, ", ")
}

// WriteTable prints the report for people.
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
	line("answered whole (from a kept answer)", "%d (%d)", rep.CompleteResponses, rep.ReplayedResponses)
	line("answers by verdict", "%v", rep.ResponsesByVerdict)
	line("attempts refused by code", "%v", rep.RefusalsByCode)
	line("calls that may run once (answered)", "%d (%d)", rep.Transfers, rep.TransfersAnswered)
	line("billed (units, voided bills)", "%d (%d, %d)", f.Bills, f.BilledUnits, f.VoidedBills)
	line("doubled bills", "%d", f.DuplicateBills)
	line("whole answers without a bill, with a wrong one", "%d, %d", f.UnbilledResponses, f.MisbilledResponses)
	line("overspend by bills, by the upstreams' records", "%d, %d", f.Overspend, f.UpstreamOverspend)
	line("wrong answers, answers cut without a word", "%d, %d", f.IncorrectResponses, f.SilentlyTruncated)
	line("once-only calls run twice, falsely \"not run\"", "%d, %d", f.TransfersRunTwice, f.FalseNotRunClaims)
	line("false refusals", "%d %v", f.FalseRefusals, f.FalseRefusalCodes)
	line("refused by the worst case, true use would fit", "%d", f.WorstCaseRefusals)
	line("control bytes a node a second", "%.0f", rep.ControlBytesPerSecond)
	line("calls to peers a node a second", "%s", perSecond(rep.PeerCallsPerSecond))
	line("store transactions, rows, reads a second", "%.1f, %.1f, %.1f", rep.StoreTransactionsPerSecond, rep.StoreRowsWrittenPerSecond, rep.StoreReadsPerSecond)
	line("first token p50, p95, p99", "%.1f, %.1f, %.1f ms", rep.FirstToken.P50, rep.FirstToken.P95, rep.FirstToken.P99)
	line("token gap p50, p95, p99", "%.1f, %.1f, %.1f ms", rep.TokenGap.P50, rep.TokenGap.P95, rep.TokenGap.P99)
	verdict := "every promise held"
	if f.HasViolations() {
		verdict = "A PROMISE WAS BROKEN"
	}
	line("verdict", "%s", verdict)
	return errors.Wrap(tw.Flush(), "write")
}
