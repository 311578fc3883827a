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
	// Findings are the results of the checks on the stand-ins' records and on
	// the responses that the callers received.
	Findings struct {
		Bills              int                `json:"bills"`
		BilledUnits        cicadabudget.Units `json:"billedUnits"`
		VoidedBills        int                `json:"voidedBills"`
		DuplicateBills     int                `json:"doubledBills"`
		UnbilledResponses  int                `json:"unbilledWholeAnswers"`
		MisbilledResponses int                `json:"misbilledAnswers"`
		// Overspend is computed from the bills, UpstreamOverspend from the
		// engines' token counts, where runs with the same idempotency key
		// count once.
		Overspend          cicadabudget.Units `json:"overspend"`
		UpstreamOverspend  cicadabudget.Units `json:"upstreamOverspend"`
		IncorrectResponses int                `json:"wrongAnswers"`
		SilentlyTruncated  int                `json:"silentlyCutAnswers"`
		TransfersRunTwice  int                `json:"transfersRunTwice"`
		FalseNotRunClaims  int                `json:"falselyNotRun"`
		FalseRefusals      int                `json:"falseRefusals"`
		// WorstCaseRefusals counts refused requests whose worst-case usage did
		// not fit into the budget, but whose actual usage would have.
		WorstCaseRefusals int `json:"tightRefusals"`
		// FalseRefusalCodes counts the false refusals by code.
		FalseRefusalCodes map[string]int `json:"falseRefusalCodes"`
	}

	// verifier checks the guarantees on the records of one run.
	verifier struct {
		bills          []timedBill
		engineRecords  []cicadastandin.EngineRecord
		calls          []*call
		plainCalls     []cicadastandin.PlainCall
		prepaidChanges []prepaidChange
		limitsByBudget map[string]cicadadoc.Limits
		findings       Findings
	}

	timedBill struct {
		cicadaledger.Bill
		at time.Time
	}
)

// HasViolations reports whether a guarantee was violated. False refusals are
// measured but do not count, because the system does not exclude them.
func (f *Findings) HasViolations() bool {
	return f.DuplicateBills > 0 || f.UnbilledResponses > 0 || f.MisbilledResponses > 0 || f.Overspend > 0 || f.UpstreamOverspend > 0 ||
		f.IncorrectResponses > 0 || f.SilentlyTruncated > 0 || f.TransfersRunTwice > 0 || f.FalseNotRunClaims > 0
}

// newVerifier collects the records of the stand-ins and the load generator.
func newVerifier(env *Environment, load *loadGenerator) (*verifier, error) {
	v := &verifier{calls: load.calls, prepaidChanges: env.prepaidChanges, limitsByBudget: make(map[string]cicadadoc.Limits)}
	for _, doc := range env.documents {
		for _, o := range doc.Organisations {
			if o.Limits != (cicadadoc.Limits{}) {
				v.limitsByBudget[budgetOf(doc, o.Name)] = o.Limits
			}
		}
	}
	v.findings.FalseRefusalCodes = make(map[string]int)
	for _, row := range env.platform.TableRows(cicadastore.TableBatch) {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return nil, err
		}
		for _, b := range rec.Batches {
			for _, op := range b.Operations {
				for _, bill := range op.Bills {
					v.bills = append(v.bills, timedBill{Bill: bill, at: b.Time})
				}
			}
		}
	}
	sort.SliceStable(v.bills, func(a, b int) bool { return v.bills[a].at.Before(v.bills[b].at) })
	for _, e := range env.engines {
		v.engineRecords = append(v.engineRecords, e.Records()...)
	}
	for _, p := range env.plainServices {
		v.plainCalls = append(v.plainCalls, p.Calls()...)
	}
	return v, nil
}

func (v *verifier) check() Findings {
	v.checkBills()
	v.checkBudgets()
	v.checkResponses()
	v.checkTransfers()
	v.checkRefusals()
	return v.findings
}

// isCharge reports whether a bill charges its request: it has units and is not
// voided.
func isCharge(b *cicadaledger.Bill) bool { return !b.Voided && b.Units > 0 }

func (v *verifier) checkBills() {
	byRequest := make(map[string]int)
	byKey := make(map[string]int)
	for i := range v.bills {
		b := &v.bills[i].Bill
		if b.Voided {
			v.findings.VoidedBills++
		}
		if !isCharge(b) {
			continue
		}
		v.findings.Bills++
		v.findings.BilledUnits += b.Units
		byRequest[b.RequestID]++
		if byRequest[b.RequestID] > 1 {
			v.findings.DuplicateBills++
			continue
		}
		if b.Key == "" {
			continue
		}
		byKey[b.Key]++
		if byKey[b.Key] > 1 {
			v.findings.DuplicateBills++
		}
	}
}

// prepaidAt returns the prepaid total of a budget at the given time.
func (v *verifier) prepaidAt(budget string, at time.Time) cicadabudget.Units {
	var prepaid cicadabudget.Units
	for _, t := range v.prepaidChanges {
		if t.budget == budget && !t.at.After(at) {
			prepaid = max(prepaid, t.prepaid)
		}
	}
	return prepaid
}

func (v *verifier) checkBudgets() {
	spent := make(map[string]cicadabudget.Units)
	overspend := make(map[string]cicadabudget.Units)
	for i := range v.bills {
		b := &v.bills[i]
		if !isCharge(&b.Bill) {
			continue
		}
		spent[b.Budget] += b.Units
		overspend[b.Budget] = max(overspend[b.Budget], spent[b.Budget]-v.prepaidAt(b.Budget, b.at))
	}
	for _, units := range overspend {
		v.findings.Overspend += units
	}
	for budget, used := range v.upstreamUsage(time.Now()) {
		v.findings.UpstreamOverspend += max(0, used-v.prepaidAt(budget, time.Now()))
	}
}

// upstreamUsage returns, for each budget, the tokens that the engines used for
// requests started before the given time. Of several runs with the same
// idempotency key only the largest counts.
func (v *verifier) upstreamUsage(before time.Time) map[string]cicadabudget.Units {
	budgets := make(map[string]string) // by the organisation's name at the engine
	for _, t := range v.prepaidChanges {
		budgets[organisationOf(t.budget)] = t.budget
	}
	used := make(map[string]cicadabudget.Units)
	byKey := make(map[string]cicadabudget.Units)
	for i := range v.engineRecords {
		r := &v.engineRecords[i]
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

// organisationOf returns the organisation's name at the engine, service/name, from a
// budget id. The budgets of the example documents are named name-2026.
func organisationOf(budget string) string {
	const suffix = "-2026"
	if len(budget) > len(suffix) && budget[len(budget)-len(suffix):] == suffix {
		return budget[:len(budget)-len(suffix)]
	}
	return budget
}

// checkResponses compares the callers' responses with the engines' records and
// the bills.
func (v *verifier) checkResponses() {
	billed := make(map[string]cicadabudget.Units)
	voided := make(map[string]bool)
	for i := range v.bills {
		b := &v.bills[i].Bill
		if isCharge(b) {
			billed[b.RequestID] = b.Units
		}
		voided[b.RequestID] = voided[b.RequestID] || b.Voided
	}
	generated := make(map[string]cicadabudget.Units)
	for i := range v.engineRecords {
		r := &v.engineRecords[i]
		if r.State == cicadastandin.StateComplete {
			generated[r.RequestID] = cicadabudget.Units(r.PromptTokens + r.CompletionTokens)
		}
	}
	for _, c := range v.calls {
		for i := range c.attempts {
			v.checkResponse(&c.attempts[i], billed, generated, voided)
		}
	}
}

func (v *verifier) checkResponse(a *attempt, billed, generated map[string]cicadabudget.Units, voided map[string]bool) {
	switch a.Verdict {
	case cicadaload.Incorrect:
		v.findings.IncorrectResponses++
	case cicadaload.SilentlyTruncated:
		v.findings.SilentlyTruncated++
	case cicadaload.Complete:
		if a.Replayed || voided[a.RequestID] {
			return
		}
		units, ok := billed[a.RequestID]
		switch {
		case !ok:
			v.findings.UnbilledResponses++
		case units != generated[a.RequestID]:
			v.findings.MisbilledResponses++
		}
	case cicadaload.Interrupted, cicadaload.Refused, cicadaload.ConnectionFailed:
	}
}

func (v *verifier) checkTransfers() {
	runs := make(map[string]int)
	for _, c := range v.plainCalls {
		runs[c.Key]++
		if runs[c.Key] == 2 {
			v.findings.TransfersRunTwice++
		}
	}
}

// checkRefusals finds wrong refusals: refusals that state "not run" although an
// upstream has a record of the request, and refusals although the budget was
// sufficient. A budget is sufficient if it covers the final usage of all
// requests that upstreams had started by then, plus the worst-case usage of the
// refused request.
func (v *verifier) checkRefusals() {
	executed := make(map[string]bool)
	for i := range v.engineRecords {
		executed[v.engineRecords[i].RequestID] = true
	}
	for _, c := range v.plainCalls {
		executed[c.RequestID] = true
	}
	for _, c := range v.calls {
		for i := range c.attempts {
			a := &c.attempts[i]
			if a.Verdict != cicadaload.Refused {
				continue
			}
			if a.RunStatus == string(cicadarefusal.NotRun) && executed[a.RequestID] {
				v.findings.FalseNotRunClaims++
			}
		}
		v.checkFinalRefusal(c)
	}
}

// checkFinalRefusal checks the refusal that a caller received on its last
// attempt. The budget is evaluated at the time of the refusal, because other
// requests may have taken units while this one waited for them.
func (v *verifier) checkFinalRefusal(c *call) {
	last := &c.attempts[len(c.attempts)-1]
	if last.Verdict != cicadaload.Refused {
		return
	}
	if last.RefusalCode == string(cicadarefusal.OrganisationLimit) && v.isOverLimit(c, last.StartedAt) {
		return
	}
	at := last.StartedAt.Add(last.Total)
	remaining := v.prepaidAt(c.budget, at) - v.upstreamUsage(at)[c.budget]
	switch {
	case remaining >= worstCaseUnits(&c.spec):
		v.findings.FalseRefusals++
		v.findings.FalseRefusalCodes[last.RefusalCode]++
	case remaining >= actualUnits(&c.spec):
		v.findings.WorstCaseRefusals++
	}
}

// isOverLimit reports whether the accepted requests of the call's organisation
// reached a limit of its document at the given time: the requests per second of
// the last second, or the concurrency.
func (v *verifier) isOverLimit(c *call, at time.Time) bool {
	limits, ok := v.limitsByBudget[c.budget]
	if !ok {
		return false
	}
	started, running := 0.0, 0
	for _, other := range v.calls {
		if other.budget != c.budget {
			continue
		}
		for i := range other.attempts {
			a := &other.attempts[i]
			if a.Verdict == cicadaload.Refused || a.StartedAt.After(at) {
				continue
			}
			if at.Sub(a.StartedAt) < time.Second {
				started++
			}
			if a.StartedAt.Add(a.Total).After(at) {
				running++
			}
		}
	}
	return (limits.RequestsPerSecond > 0 && started >= limits.RequestsPerSecond) ||
		(limits.Concurrency > 0 && running >= limits.Concurrency)
}
