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

// Break is a promise to break on purpose, to see that the judge finds it.
type Break string

// The promises that can be broken on purpose.
const (
	BreakNone        Break = ""
	BreakDoubledBill Break = "doubledBill"
	BreakOverspend   Break = "overspend"
	BreakWrongAnswer Break = "wrongAnswer"
)

type (
	// Config sets up a demonstration.
	Config struct {
		Files      fs.FS // the examples
		Seed       uint64
		Duration   time.Duration // of the load
		Rate       float64       // requests a second
		Break      Break
		Log        log.Interface
		OnProgress func(done, total int)
	}

	// Report is the outcome of a demonstration.
	Report struct {
		Seed          uint64                     `json:"seed"`
		Routers       int                        `json:"routers"`
		Organisations int                        `json:"organisations"`
		Seconds       float64                    `json:"seconds"`
		Requests      int                        `json:"requests"`
		Attempts      int                        `json:"attempts"`
		Retried       int                        `json:"retried"`
		Whole         int                        `json:"answeredWhole"`
		Replayed      int                        `json:"replayedAnswers"`
		Verdicts      map[cicadaload.Verdict]int `json:"verdicts"`
		Refused       map[string]int             `json:"refused"`
		Transfers     int                        `json:"transfers"`
		TransfersRun  int                        `json:"transfersAnswered"`
		Findings      Findings                   `json:"findings"`
		Stranded      cicadabudget.Units         `json:"unitsHeldByTheKilledRouter"`
		FirstToken    cicadaload.Quantiles       `json:"firstToken"`
		TokenGap      cicadaload.Quantiles       `json:"tokenGap"`
		ControlBytes  float64                    `json:"controlBytesANodeASecond"`
		PeerCalls     map[string]float64         `json:"peerCallsANodeASecond"`
		StoreWrites   float64                    `json:"storeTransactionsASecond"`
		StoreRows     float64                    `json:"storeRowsWrittenASecond"`
		StoreReads    float64                    `json:"storeReadsASecond"`
		Timeline      []string                   `json:"timeline"`
		begun         time.Time
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
	w, err := NewWorld(ctx, WorldConfig{
		Files: cfg.Files, Documents: []string{"qc-est/redacteur.yaml", "qc-est/guichet.yaml"}, RoutersByPlace: 2,
		Seed: cfg.Seed, Log: cfg.Log, Pace: pace, Prepaid: demoPrepaid(),
		Platform: cicadastandin.PlatformConfig{
			RandomSeed: cfg.Seed, WritesPerSecond: 300, ReadsPerSecond: 2000, HostListDelay: time.Second,
		},
	})
	if w != nil {
		defer w.CloseStandins()
	}
	if err != nil {
		return nil, err
	}
	rep := &Report{Seed: cfg.Seed, Routers: len(w.Routers()), Organisations: len(w.Document(chatService).Organisations), begun: time.Now()}
	c := newCallers(w, cfg.Seed)
	defer c.caller.Close()
	if err := rep.play(ctx, &cfg, w, c); err != nil {
		return nil, err
	}
	rep.measure(w)
	if err := w.Close(ctx); err != nil {
		return nil, errors.Wrap(err, "stop the routers")
	}
	if err := breakPromise(ctx, cfg.Break, w, c); err != nil {
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
func (rep *Report) play(ctx context.Context, cfg *Config, w *World, c *callers) error {
	load := make(chan struct{})
	go func() {
		defer close(load)
		transfers := make(chan struct{})
		go func() {
			defer close(transfers)
			c.runTransfers(ctx, w.Document(plainService), transferRate, cfg.Duration)
		}()
		c.run(ctx, w.Document(chatService), cfg.Rate, cfg.Duration)
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
func (rep *Report) measure(w *World) {
	rep.Seconds = time.Since(rep.begun).Seconds()
	var bytes int64
	for _, r := range w.all {
		bytes += r.Metrics().PeerBytes()
	}
	rep.PeerCalls = make(map[string]float64)
	for _, r := range w.all {
		r.Metrics().PeerCalls.Do(func(kv expvar.KeyValue) {
			n := cicadarouter.CounterValue(r.Metrics().PeerCalls, kv.Key)
			rep.PeerCalls[kv.Key] += float64(n) / float64(rep.Routers) / rep.Seconds
		})
	}
	rep.ControlBytes = float64(bytes) / float64(rep.Routers) / rep.Seconds
	counts := w.platform.Counters()
	rep.StoreWrites = float64(cicadarouter.CounterValue(counts, "commits")) / rep.Seconds
	rep.StoreRows = float64(cicadarouter.CounterValue(counts, "rowsWritten")) / rep.Seconds
	rep.StoreReads = float64(cicadarouter.CounterValue(counts, "reads")+cicadarouter.CounterValue(counts, "scans")+
		cicadarouter.CounterValue(counts, "hostReads")+cicadarouter.CounterValue(counts, "announcements")) / rep.Seconds
}

func (rep *Report) judge(w *World, c *callers) error {
	j, err := newJudge(w, c)
	if err != nil {
		return err
	}
	rep.Findings = j.run()
	c.stats.Finish()
	rep.Verdicts, rep.Refused = c.stats.Verdicts, c.stats.RefusalCodes
	rep.FirstToken, rep.TokenGap = c.stats.FirstToken, c.stats.TokenGap
	rep.Requests = len(c.calls)
	for _, k := range c.calls {
		rep.Attempts += len(k.attempts)
		if len(k.attempts) > 1 {
			rep.Retried++
		}
		last := &k.attempts[len(k.attempts)-1]
		if last.Verdict == cicadaload.Complete {
			rep.Whole++
		}
		if last.Replayed {
			rep.Replayed++
		}
	}
	rep.Transfers = len(c.transfers)
	for _, t := range c.transfers {
		if t.whole {
			rep.TransfersRun++
		}
	}
	return nil
}

// breakPromise does what a faulty fleet would have done.
func breakPromise(ctx context.Context, b Break, w *World, c *callers) error {
	switch b {
	case BreakNone:
		return nil
	case BreakWrongAnswer:
		c.calls[0].attempts[0].Verdict = cicadaload.Incorrect
		return nil
	case BreakDoubledBill, BreakOverspend:
		return forgeBill(ctx, b, w)
	default:
		return errors.Errorf("cannot break %q", b)
	}
}

// forgeBill appends a record with a bill that no home would have written.
func forgeBill(ctx context.Context, b Break, w *World) error {
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
				if b == BreakOverspend {
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
	line("answered whole (from a kept answer)", "%d (%d)", rep.Whole, rep.Replayed)
	line("answers by verdict", "%v", rep.Verdicts)
	line("attempts refused by code", "%v", rep.Refused)
	line("calls that may run once (answered)", "%d (%d)", rep.Transfers, rep.TransfersRun)
	line("billed (units, voided bills)", "%d (%d, %d)", f.Bills, f.BilledUnits, f.VoidedBills)
	line("doubled bills", "%d", f.DoubledBills)
	line("whole answers without a bill, with a wrong one", "%d, %d", f.Unbilled, f.Misbilled)
	line("overspend by bills, by the upstreams' records", "%d, %d", f.Overspend, f.UpstreamOverspend)
	line("wrong answers, answers cut without a word", "%d, %d", f.WrongAnswers, f.SilentCuts)
	line("once-only calls run twice, falsely \"not run\"", "%d, %d", f.TransfersTwice, f.FalseNotRun)
	line("false refusals", "%d %v", f.FalseRefusals, f.FalseRefusalCodes)
	line("refused by the worst case, true use would fit", "%d", f.TightRefusals)
	line("control bytes a node a second", "%.0f", rep.ControlBytes)
	line("calls to peers a node a second", "%s", perSecond(rep.PeerCalls))
	line("store transactions, rows, reads a second", "%.1f, %.1f, %.1f", rep.StoreWrites, rep.StoreRows, rep.StoreReads)
	line("first token p50, p95, p99", "%.1f, %.1f, %.1f ms", rep.FirstToken.P50, rep.FirstToken.P95, rep.FirstToken.P99)
	line("token gap p50, p95, p99", "%.1f, %.1f, %.1f ms", rep.TokenGap.P50, rep.TokenGap.P95, rep.TokenGap.P99)
	verdict := "every promise held"
	if f.Broken() {
		verdict = "A PROMISE WAS BROKEN"
	}
	line("verdict", "%s", verdict)
	return errors.Wrap(tw.Flush(), "write")
}
