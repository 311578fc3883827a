package cicadademo

import (
	"sort"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

type (
	// Findings is what the judge worked out from the stand-ins' records and
	// from what the callers received.
	Findings struct {
		Bills              int                `json:"bills"`
		BilledUnits        cicadabudget.Units `json:"billedUnits"`
		VoidedBills        int                `json:"voidedBills"`
		DuplicateBills     int                `json:"doubledBills"`
		UnbilledResponses  int                `json:"unbilledWholeAnswers"`
		MisbilledResponses int                `json:"misbilledAnswers"`
		// Overspend is by the bills, UpstreamOverspend by the engines' own
		// counts, with the runs of one key counted once.
		Overspend          cicadabudget.Units `json:"overspend"`
		UpstreamOverspend  cicadabudget.Units `json:"upstreamOverspend"`
		IncorrectResponses int                `json:"wrongAnswers"`
		SilentlyTruncated  int                `json:"silentlyCutAnswers"`
		TransfersRunTwice  int                `json:"transfersRunTwice"`
		FalseNotRunClaims  int                `json:"falselyNotRun"`
		FalseRefusals      int                `json:"falseRefusals"`
		// WorstCaseRefusals counts refusals of requests whose worst case did not
		// fit, but whose true use would have.
		WorstCaseRefusals int `json:"tightRefusals"`
		// FalseRefusalCodes counts the false refusals by code.
		FalseRefusalCodes map[string]int `json:"falseRefusalCodes"`
	}

	// judge holds the evidence.
	judge struct {
		bills    []timedBill
		engines  []cicadastandin.EngineRecord
		calls    []*call
		plain    []cicadastandin.PlainCall
		topUps   []topUp
		limits   map[string]cicadadoc.Limits // by budget
		findings Findings
	}

	timedBill struct {
		cicadaledger.Bill
		at time.Time
	}
)

// HasViolations tells whether a promise was broken. False refusals are measured, not
// promised away.
func (f *Findings) HasViolations() bool {
	return f.DuplicateBills > 0 || f.UnbilledResponses > 0 || f.MisbilledResponses > 0 || f.Overspend > 0 || f.UpstreamOverspend > 0 ||
		f.IncorrectResponses > 0 || f.SilentlyTruncated > 0 || f.TransfersRunTwice > 0 || f.FalseNotRunClaims > 0
}

// newJudge collects the evidence.
func newJudge(w *Environment, c *callers) (*judge, error) {
	j := &judge{calls: c.calls, topUps: w.topUps, limits: make(map[string]cicadadoc.Limits)}
	for _, doc := range w.docs {
		for _, o := range doc.Organisations {
			if o.Limits != (cicadadoc.Limits{}) {
				j.limits[budgetOf(doc, o.Name)] = o.Limits
			}
		}
	}
	j.findings.FalseRefusalCodes = make(map[string]int)
	for _, row := range w.platform.TableRows(cicadastore.TableBatch) {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return nil, err
		}
		for _, b := range rec.Batches {
			for _, s := range b.Operations {
				for _, bill := range s.Bills {
					j.bills = append(j.bills, timedBill{Bill: bill, at: b.Time})
				}
			}
		}
	}
	sort.SliceStable(j.bills, func(a, b int) bool { return j.bills[a].at.Before(j.bills[b].at) })
	for _, e := range w.engines {
		j.engines = append(j.engines, e.Records()...)
	}
	for _, p := range w.plains {
		j.plain = append(j.plain, p.Calls()...)
	}
	return j, nil
}

func (j *judge) run() Findings {
	j.checkBills()
	j.checkBudgets()
	j.checkAnswers()
	j.checkTransfers()
	j.checkRefusals()
	return j.findings
}

// charges tells whether a bill counts as the bill of its request.
func charges(b *cicadaledger.Bill) bool { return !b.Voided && b.Units > 0 }

func (j *judge) checkBills() {
	byRequest := make(map[string]int)
	byKey := make(map[string]int)
	for i := range j.bills {
		b := &j.bills[i].Bill
		if b.Voided {
			j.findings.VoidedBills++
		}
		if !charges(b) {
			continue
		}
		j.findings.Bills++
		j.findings.BilledUnits += b.Units
		byRequest[b.RequestID]++
		if byRequest[b.RequestID] > 1 {
			j.findings.DuplicateBills++
			continue
		}
		if b.Key == "" {
			continue
		}
		byKey[b.Key]++
		if byKey[b.Key] > 1 {
			j.findings.DuplicateBills++
		}
	}
}

// prepaidAt returns a budget's prepaid total at a time.
func (j *judge) prepaidAt(budget string, at time.Time) cicadabudget.Units {
	var most cicadabudget.Units
	for _, t := range j.topUps {
		if t.budget == budget && !t.at.After(at) {
			most = max(most, t.prepaid)
		}
	}
	return most
}

func (j *judge) checkBudgets() {
	spent := make(map[string]cicadabudget.Units)
	over := make(map[string]cicadabudget.Units)
	for i := range j.bills {
		b := &j.bills[i]
		if !charges(&b.Bill) {
			continue
		}
		spent[b.Budget] += b.Units
		over[b.Budget] = max(over[b.Budget], spent[b.Budget]-j.prepaidAt(b.Budget, b.at))
	}
	for _, units := range over {
		j.findings.Overspend += units
	}
	for budget, used := range j.upstreamUse(time.Now()) {
		j.findings.UpstreamOverspend += max(0, used-j.prepaidAt(budget, time.Now()))
	}
}

// upstreamUse sums what the engines spent for each budget on requests that
// began before a time. Runs of the same key count once, with the largest.
func (j *judge) upstreamUse(before time.Time) map[string]cicadabudget.Units {
	budgets := make(map[string]string) // of the organisation's name at the engine
	for _, t := range j.topUps {
		budgets[organisationOf(t.budget)] = t.budget
	}
	used := make(map[string]cicadabudget.Units)
	byKey := make(map[string]cicadabudget.Units)
	for i := range j.engines {
		r := &j.engines[i]
		if r.StartedAt.After(before) {
			continue
		}
		units := cicadabudget.Units(r.PromptTokens + r.CompletionTokens)
		budget := budgets[r.Organisation]
		if r.Key == "" {
			used[budget] += units
			continue
		}
		id := budget + "\n" + r.Key
		used[budget] += max(0, units-byKey[id])
		byKey[id] = max(byKey[id], units)
	}
	return used
}

// organisationOf undoes the documents' naming of budgets: service/name-2026.
func organisationOf(budget string) string {
	const suffix = "-2026"
	if len(budget) > len(suffix) && budget[len(budget)-len(suffix):] == suffix {
		return budget[:len(budget)-len(suffix)]
	}
	return budget
}

// checkAnswers compares answers, engines' records and bills.
func (j *judge) checkAnswers() {
	billed := make(map[string]cicadabudget.Units)
	voided := make(map[string]bool)
	for i := range j.bills {
		b := &j.bills[i].Bill
		if charges(b) {
			billed[b.RequestID] = b.Units
		}
		voided[b.RequestID] = voided[b.RequestID] || b.Voided
	}
	generated := make(map[string]cicadabudget.Units)
	for i := range j.engines {
		r := &j.engines[i]
		if r.State == cicadastandin.StateComplete {
			generated[r.RequestID] = cicadabudget.Units(r.PromptTokens + r.CompletionTokens)
		}
	}
	for _, c := range j.calls {
		for i := range c.attempts {
			j.checkAnswer(&c.attempts[i], billed, generated, voided)
		}
	}
}

func (j *judge) checkAnswer(a *attempt, billed, generated map[string]cicadabudget.Units, voided map[string]bool) {
	switch a.Verdict {
	case cicadaload.Incorrect:
		j.findings.IncorrectResponses++
	case cicadaload.SilentlyTruncated:
		j.findings.SilentlyTruncated++
	case cicadaload.Complete:
		if a.Replayed || voided[a.RequestID] {
			return
		}
		units, ok := billed[a.RequestID]
		switch {
		case !ok:
			j.findings.UnbilledResponses++
		case units != generated[a.RequestID]:
			j.findings.MisbilledResponses++
		}
	case cicadaload.Interrupted, cicadaload.Refused, cicadaload.ConnectionFailed:
	}
}

func (j *judge) checkTransfers() {
	runs := make(map[string]int)
	for _, c := range j.plain {
		runs[c.Key]++
		if runs[c.Key] == 2 {
			j.findings.TransfersRunTwice++
		}
	}
}

// checkRefusals looks for refusals that were wrong: "not run" although an
// upstream has a record of the request, or refused although budget was left. A
// budget is held to be left if the requests that upstreams had begun by then,
// at what they used in the end, leave room for the refused one at its worst.
func (j *judge) checkRefusals() {
	ran := make(map[string]bool)
	for i := range j.engines {
		ran[j.engines[i].RequestID] = true
	}
	for _, c := range j.plain {
		ran[c.RequestID] = true
	}
	for _, c := range j.calls {
		for i := range c.attempts {
			a := &c.attempts[i]
			if a.Verdict != cicadaload.Refused {
				continue
			}
			if a.RunStatus == string(cicadarefusal.NotRun) && ran[a.RequestID] {
				j.findings.FalseNotRunClaims++
			}
		}
		j.checkLastRefusal(c)
	}
}

// checkLastRefusal judges what a caller was left with after its retries, at the
// time of the refusal: while a request waits for units, others may take them.
func (j *judge) checkLastRefusal(c *call) {
	last := &c.attempts[len(c.attempts)-1]
	if last.Verdict != cicadaload.Refused {
		return
	}
	if last.RefusalCode == string(cicadarefusal.OrganisationLimit) && j.isOverLimit(c, last.At) {
		return
	}
	at := last.At.Add(last.Total)
	left := j.prepaidAt(c.budget, at) - j.upstreamUse(at)[c.budget]
	switch {
	case left >= worstCase(&c.spec):
		j.findings.FalseRefusals++
		j.findings.FalseRefusalCodes[last.RefusalCode]++
	case left >= trueUse(&c.spec):
		j.findings.WorstCaseRefusals++
	}
}

// isOverLimit tells whether an organisation's requests in the second before at
// that were answered reach the limits of its document.
func (j *judge) isOverLimit(c *call, at time.Time) bool {
	limits, ok := j.limits[c.budget]
	if !ok {
		return false
	}
	started, running := 0.0, 0
	for _, other := range j.calls {
		if other.budget != c.budget {
			continue
		}
		for i := range other.attempts {
			a := &other.attempts[i]
			if a.Verdict == cicadaload.Refused || a.At.After(at) {
				continue
			}
			if at.Sub(a.At) < time.Second {
				started++
			}
			if a.At.Add(a.Total).After(at) {
				running++
			}
		}
	}
	return (limits.RequestsPerSecond > 0 && started >= limits.RequestsPerSecond) ||
		(limits.Concurrency > 0 && running >= limits.Concurrency)
}
