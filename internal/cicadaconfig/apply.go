package cicadaconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/pkg/errors"
)

const (
	// applyAttempts bounds how often Apply starts again after a conflict
	// with a home or with another service's change.
	applyAttempts = 20
	// applyPause is the wait before the next attempt.
	applyPause = 30 * time.Millisecond
	headKey    = "head"
)

// ErrContended is returned when other writers kept Apply from committing.
var ErrContended = errors.New("the platform's rows kept changing; nothing was changed, try again")

type (
	headRow struct {
		Seq uint64 `json:"seq"`
	}

	documentRow struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
		Object  string `json:"object"`
		Seq     uint64 `json:"seq"`
	}

	changeRow struct {
		Seq   uint64          `json:"seq"`
		Delta cicadadoc.Delta `json:"delta"`
	}

	// Result tells what Apply did.
	Result struct {
		Service string             `json:"service"`
		Version uint64             `json:"version"`
		Seq     uint64             `json:"seq"`
		Changes []cicadadoc.Change `json:"changes,omitempty"`
		// Unchanged is set if the same content was in force already.
		Unchanged bool `json:"unchanged"`
	}

	// ConflictError tells that a document was based on another version than
	// the one in force. Nothing was changed.
	ConflictError struct {
		Service        string
		BaseVersion    uint64
		CurrentVersion uint64
		// Changes are the differences that came in since BasedOn.
		Changes []cicadadoc.Change
	}

	applier struct {
		platform cicadastore.Platform
		src      *cicadadoc.Source
		doc      *cicadadoc.Document
	}

	// state is what the platform has of one service.
	state struct {
		head    cicadastore.Row
		headRow headRow
		row     cicadastore.Row
		docRow  documentRow
		current *cicadadoc.Document
	}
)

// Error names both versions and what differs.
func (e *ConflictError) Error() string {
	msg := fmt.Sprintf("service %s: the document is based on version %d, but version %d is in force; "+
		"take these changes into yours and set basedOn: %d", e.Service, e.BaseVersion, e.CurrentVersion, e.CurrentVersion)
	for _, f := range e.Changes {
		msg += fmt.Sprintf("\n  %s: %s -> %s", f.Entity, orNone(f.Before), orNone(f.After))
	}
	return msg
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Apply makes src the next version of its service, whole or not at all. It
// returns a *ConflictError if another version came first, and a
// *cicadadoc.InvalidError if the change would lower a budget below what is
// spent or held.
func Apply(ctx context.Context, p cicadastore.Platform, src *cicadadoc.Source) (*Result, error) {
	a := &applier{platform: p, src: src, doc: src.Document()}
	for range applyAttempts {
		res, err := a.attempt(ctx)
		var conflict *cicadastore.ConflictError
		retry := errors.As(err, &conflict) || errors.Is(err, cicadastore.ErrThrottled)
		if !retry {
			return res, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "apply")
		case <-time.After(applyPause):
		}
	}
	return nil, ErrContended
}

// Preview tells what Apply would do, and changes nothing.
func Preview(ctx context.Context, p cicadastore.Platform, src *cicadadoc.Source) (*Result, error) {
	a := &applier{platform: p, src: src, doc: src.Document()}
	st, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := a.checkBase(ctx, st); err != nil {
		return nil, err
	}
	res, _, err := a.plan(ctx, st)
	return res, err
}

func (a *applier) attempt(ctx context.Context) (*Result, error) {
	st, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	if same, err := a.checkBase(ctx, st); err != nil || same {
		return &Result{Service: a.doc.Service, Version: st.docRow.Version, Seq: st.docRow.Seq, Unchanged: true}, err
	}
	res, txn, err := a.plan(ctx, st)
	if err != nil {
		return nil, err
	}
	if err := a.putDocument(ctx, res.Version); err != nil {
		return nil, err
	}
	_, err = a.platform.Commit(ctx, *txn)
	if errors.Is(err, cicadastore.ErrUnavailable) {
		return a.afterLostAnswer(ctx, res, err)
	}
	if err != nil {
		return nil, err
	}
	return res, nil
}

// afterLostAnswer finds out whether a commit without an answer took effect.
func (a *applier) afterLostAnswer(ctx context.Context, res *Result, cause error) (*Result, error) {
	st, err := a.read(ctx)
	if err != nil {
		return nil, errors.Wrapf(cause, "it is unknown whether version %d was accepted; apply the same document again", res.Version)
	}
	if st.docRow.Version == res.Version && st.docRow.Digest == a.doc.Digest() {
		return res, nil
	}
	return nil, errors.Wrap(cause, "nothing was changed; apply again")
}

func (a *applier) read(ctx context.Context) (*state, error) {
	rows, err := a.platform.Get(ctx,
		cicadastore.Ref{Table: cicadastore.TableChange, Key: headKey},
		cicadastore.Ref{Table: cicadastore.TableDocument, Key: a.doc.Service})
	if err != nil {
		return nil, err
	}
	st := &state{head: rows[0], row: rows[1]}
	if err := cicadaledger.DecodeRow(st.head.Value, &st.headRow); err != nil {
		return nil, err
	}
	if err := cicadaledger.DecodeRow(st.row.Value, &st.docRow); err != nil {
		return nil, err
	}
	if st.row.Version == 0 {
		return st, nil
	}
	st.current, err = readDocument(ctx, a.platform, st.docRow.Object)
	return st, err
}

// checkBase tells whether the same content is in force already, and refuses a
// document that was based on another version.
func (a *applier) checkBase(ctx context.Context, st *state) (same bool, err error) {
	if st.current != nil && st.docRow.Digest == a.doc.Digest() {
		return true, nil
	}
	if a.doc.BaseVersion == st.docRow.Version {
		return false, nil
	}
	conflict := &ConflictError{Service: a.doc.Service, BaseVersion: a.doc.BaseVersion, CurrentVersion: st.docRow.Version}
	base, err := a.versionBefore(ctx, a.doc.BaseVersion, st)
	if err != nil {
		return false, err
	}
	if st.current != nil {
		delta := st.current.Diff(base, a.doc.BaseVersion, st.docRow.Version)
		conflict.Changes = delta.Changes(base)
	}
	return false, conflict
}

// versionBefore rebuilds an older version from the service's changes.
func (a *applier) versionBefore(ctx context.Context, version uint64, st *state) (*cicadadoc.Document, error) {
	if version == 0 || version > st.docRow.Version {
		return nil, nil //nolint:nilnil // there is no such version
	}
	rows, err := cicadastore.ScanAll(ctx, a.platform, cicadastore.TableChange, changePrefix, "")
	if err != nil {
		return nil, err
	}
	var doc *cicadadoc.Document
	for _, row := range rows {
		var ch changeRow
		if err := cicadaledger.DecodeRow(row.Value, &ch); err != nil {
			return nil, err
		}
		if ch.Delta.Service != a.doc.Service || ch.Delta.Version > version {
			continue
		}
		if doc, err = ch.Delta.Apply(doc); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

// plan returns what the change does and the transaction that does it.
func (a *applier) plan(ctx context.Context, st *state) (*Result, *cicadastore.Txn, error) {
	version, seq := st.docRow.Version+1, st.headRow.Seq+1
	delta := a.doc.Diff(st.current, st.docRow.Version, version)
	txn := &cicadastore.Txn{Conditions: []cicadastore.Condition{
		{Ref: st.head.Ref, Version: st.head.Version},
		{Ref: st.row.Ref, Version: st.row.Version},
	}}
	if err := a.planBudgets(ctx, &delta, txn); err != nil {
		return nil, nil, err
	}
	docRow := documentRow{Version: version, Digest: a.doc.Digest(), Object: a.objectName(version), Seq: seq}
	if err := addWrite(txn, st.head.Ref, headRow{Seq: seq}); err != nil {
		return nil, nil, err
	}
	if err := addWrite(txn, st.row.Ref, docRow); err != nil {
		return nil, nil, err
	}
	ref := cicadastore.Ref{Table: cicadastore.TableChange, Key: changeKey(seq)}
	if err := addWrite(txn, ref, changeRow{Seq: seq, Delta: delta}); err != nil {
		return nil, nil, err
	}
	return &Result{Service: a.doc.Service, Version: version, Seq: seq, Changes: delta.Changes(st.current)}, txn, nil
}

// planBudgets adds the rows of changed budgets. A removed budget keeps what is
// allotted and gets no more.
func (a *applier) planBudgets(ctx context.Context, delta *cicadadoc.Delta, txn *cicadastore.Txn) error {
	changed, removed := delta.ChangedBudgets(), delta.RemovedBudgets()
	var refs []cicadastore.Ref
	for _, name := range append(append([]string(nil), changed...), removed...) {
		id := cicadadoc.BudgetID(a.doc.Service, name)
		refs = append(refs, cicadastore.Ref{Table: cicadastore.TableBudget, Key: id})
	}
	if len(refs) == 0 {
		return nil
	}
	rows, err := a.platform.Get(ctx, refs...)
	if err != nil {
		return err
	}
	var problems []cicadadoc.Problem
	for i, row := range rows {
		var br cicadaledger.BudgetRow
		if err := cicadaledger.DecodeRow(row.Value, &br); err != nil {
			return err
		}
		br.Prepaid = br.TotalAllotted()
		if i < len(changed) {
			problem := a.setPrepaid(&br, changed[i])
			problems = append(problems, problem...)
		}
		txn.Conditions = append(txn.Conditions, cicadastore.Condition{Ref: row.Ref, Version: row.Version})
		if err := addWrite(txn, row.Ref, br); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return &cicadadoc.InvalidError{Name: a.src.Name(), Problems: problems}
	}
	return nil
}

func (a *applier) setPrepaid(br *cicadaledger.BudgetRow, name string) []cicadadoc.Problem {
	var want cicadabudget.Units
	var at int
	for i, b := range a.doc.Budgets {
		if b.Name == name {
			want, at = b.Prepaid, i
		}
	}
	allotted := br.TotalAllotted()
	if want < allotted {
		return []cicadadoc.Problem{a.src.Problemf(
			fmt.Sprintf("$.budgets[%d].prepaid", at),
			fmt.Sprintf("write %d or more; nothing was changed", allotted),
			"prepaid %d is below the %d units that are spent or handed out to regions", want, allotted)}
	}
	br.Prepaid = want
	return nil
}

func addWrite(txn *cicadastore.Txn, ref cicadastore.Ref, row any) error {
	value, err := cicadaledger.EncodeRow(row)
	if err != nil {
		return err
	}
	txn.Writes = append(txn.Writes, cicadastore.Write{Ref: ref, Value: value})
	return nil
}

func (a *applier) objectName(version uint64) string {
	return fmt.Sprintf("document/%s/%d-%s", a.doc.Service, version, a.doc.Digest())
}

func (a *applier) putDocument(ctx context.Context, version uint64) error {
	data, err := json.Marshal(a.doc)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	return a.platform.PutObject(ctx, a.objectName(version), data)
}

func readDocument(ctx context.Context, p cicadastore.Objects, name string) (*cicadadoc.Document, error) {
	data, err := p.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	var doc cicadadoc.Document
	return &doc, errors.Wrapf(json.Unmarshal(data, &doc), "decode %s", name)
}

// changePrefix begins the keys of change rows; headKey sorts outside it.
const changePrefix = "0"

func changeKey(seq uint64) string { return fmt.Sprintf("%s%019d", changePrefix, seq) }
