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
	// maxApplyAttempts limits the attempts of Apply when its transaction
	// conflicts with a home or with a change of another service.
	maxApplyAttempts = 20
	// applyRetryInterval is the delay between two attempts of Apply.
	applyRetryInterval = 30 * time.Millisecond
	headKey            = "head"
)

// ErrContended means that every attempt of Apply conflicted with other writers or
// was throttled.
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

	// Result describes what Apply changed.
	Result struct {
		Service string             `json:"service"`
		Version uint64             `json:"version"`
		Seq     uint64             `json:"seq"`
		Changes []cicadadoc.Change `json:"changes,omitempty"`
		// Unchanged is true if the current version already has the same content.
		Unchanged bool `json:"unchanged"`
	}

	// ConflictError means that a document is based on a version other than the
	// current one. Nothing was changed.
	ConflictError struct {
		Service        string
		BaseVersion    uint64
		CurrentVersion uint64
		// Changes are the changes from BaseVersion to CurrentVersion.
		Changes []cicadadoc.Change
	}

	applier struct {
		platform cicadastore.Platform
		src      *cicadadoc.Source
		doc      *cicadadoc.Document
	}

	// serviceState is the state of a service as stored on the platform.
	serviceState struct {
		storedHead cicadastore.Row
		headRow    headRow
		storedDoc  cicadastore.Row
		docRow     documentRow
		current    *cicadadoc.Document
	}
)

// Error lists both versions and the changes between them.
func (e *ConflictError) Error() string {
	msg := fmt.Sprintf("service %s: the document is based on version %d, but version %d is in force; "+
		"merge these changes into your document and set basedOn: %d", e.Service, e.BaseVersion, e.CurrentVersion, e.CurrentVersion)
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

// Apply atomically commits src as the next version of its service. It returns a
// *ConflictError if src is not based on the current version, and a
// *cicadadoc.InvalidError if a budget's prepaid units would be less than the
// allotted units.
func Apply(ctx context.Context, p cicadastore.Platform, src *cicadadoc.Source) (*Result, error) {
	a := &applier{platform: p, src: src, doc: src.Document()}
	for range maxApplyAttempts {
		res, err := a.attempt(ctx)
		var conflict *cicadastore.ConflictError
		retry := errors.As(err, &conflict) || errors.Is(err, cicadastore.ErrThrottled)
		if !retry {
			return res, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "apply")
		case <-time.After(applyRetryInterval):
		}
	}
	return nil, ErrContended
}

// Preview returns what Apply would change, without changing anything.
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
	if unchanged, err := a.checkBase(ctx, st); err != nil || unchanged {
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
		return a.resolveUnknownCommit(ctx, res, err)
	}
	if err != nil {
		return nil, err
	}
	return res, nil
}

// resolveUnknownCommit reads the document row to find out whether a commit without
// a response took effect.
func (a *applier) resolveUnknownCommit(ctx context.Context, res *Result, cause error) (*Result, error) {
	st, err := a.read(ctx)
	if err != nil {
		return nil, errors.Wrapf(cause, "unknown whether version %d was committed; apply the same document again", res.Version)
	}
	if st.docRow.Version == res.Version && st.docRow.Digest == a.doc.Digest() {
		return res, nil
	}
	return nil, errors.Wrap(cause, "nothing was changed; apply the document again")
}

func (a *applier) read(ctx context.Context) (*serviceState, error) {
	rows, err := a.platform.Get(ctx,
		cicadastore.Ref{Table: cicadastore.TableChange, Key: headKey},
		cicadastore.Ref{Table: cicadastore.TableDocument, Key: a.doc.Service})
	if err != nil {
		return nil, err
	}
	st := &serviceState{storedHead: rows[0], storedDoc: rows[1]}
	if err := cicadaledger.DecodeRow(st.storedHead.Value, &st.headRow); err != nil {
		return nil, err
	}
	if err := cicadaledger.DecodeRow(st.storedDoc.Value, &st.docRow); err != nil {
		return nil, err
	}
	if st.storedDoc.Version == 0 {
		return st, nil
	}
	st.current, err = readDocument(ctx, a.platform, st.docRow.Object)
	return st, err
}

// checkBase reports whether the current version already has the same content. It
// returns a *ConflictError if the document is based on another version.
func (a *applier) checkBase(ctx context.Context, st *serviceState) (unchanged bool, err error) {
	if st.current != nil && st.docRow.Digest == a.doc.Digest() {
		return true, nil
	}
	if a.doc.BaseVersion == st.docRow.Version {
		return false, nil
	}
	conflict := &ConflictError{Service: a.doc.Service, BaseVersion: a.doc.BaseVersion, CurrentVersion: st.docRow.Version}
	base, err := a.documentAt(ctx, a.doc.BaseVersion, st)
	if err != nil {
		return false, err
	}
	if st.current != nil {
		delta := st.current.Diff(base, a.doc.BaseVersion, st.docRow.Version)
		conflict.Changes = delta.Changes(base)
	}
	return false, conflict
}

// documentAt reconstructs an older version from the service's change rows.
func (a *applier) documentAt(ctx context.Context, version uint64, st *serviceState) (*cicadadoc.Document, error) {
	if version == 0 || version > st.docRow.Version {
		return nil, nil //nolint:nilnil // there is no such version
	}
	rows, err := cicadastore.ScanAll(ctx, a.platform, cicadastore.TableChange, changePrefix, "")
	if err != nil {
		return nil, err
	}
	var doc *cicadadoc.Document
	for _, row := range rows {
		var change changeRow
		if err := cicadaledger.DecodeRow(row.Value, &change); err != nil {
			return nil, err
		}
		if change.Delta.Service != a.doc.Service || change.Delta.Version > version {
			continue
		}
		if doc, err = change.Delta.Apply(doc); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

// plan returns the result of the change and the transaction that commits it.
func (a *applier) plan(ctx context.Context, st *serviceState) (*Result, *cicadastore.Txn, error) {
	version, seq := st.docRow.Version+1, st.headRow.Seq+1
	delta := a.doc.Diff(st.current, st.docRow.Version, version)
	txn := &cicadastore.Txn{Conditions: []cicadastore.Condition{
		{Ref: st.storedHead.Ref, Version: st.storedHead.Version},
		{Ref: st.storedDoc.Ref, Version: st.storedDoc.Version},
	}}
	if err := a.planBudgets(ctx, &delta, txn); err != nil {
		return nil, nil, err
	}
	docRow := documentRow{Version: version, Digest: a.doc.Digest(), Object: a.objectName(version), Seq: seq}
	if err := addWrite(txn, st.storedHead.Ref, headRow{Seq: seq}); err != nil {
		return nil, nil, err
	}
	if err := addWrite(txn, st.storedDoc.Ref, docRow); err != nil {
		return nil, nil, err
	}
	ref := cicadastore.Ref{Table: cicadastore.TableChange, Key: changeKey(seq)}
	if err := addWrite(txn, ref, changeRow{Seq: seq, Delta: delta}); err != nil {
		return nil, nil, err
	}
	return &Result{Service: a.doc.Service, Version: version, Seq: seq, Changes: delta.Changes(st.current)}, txn, nil
}

// planBudgets adds the rows of changed budgets to txn. The prepaid units of a
// removed budget become its allotted units, so that no more are allotted.
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
	var prepaid cicadabudget.Units
	var index int
	for i, b := range a.doc.Budgets {
		if b.Name == name {
			prepaid, index = b.Prepaid, i
		}
	}
	allotted := br.TotalAllotted()
	if prepaid < allotted {
		return []cicadadoc.Problem{a.src.Problemf(
			fmt.Sprintf("$.budgets[%d].prepaid", index),
			fmt.Sprintf("write %d or more; nothing was changed", allotted),
			"prepaid %d is below the %d units that are spent or handed out to regions", prepaid, allotted)}
	}
	br.Prepaid = prepaid
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
	return &doc, errors.Wrapf(json.Unmarshal(data, &doc), "decode document object %s", name)
}

// changePrefix is the key prefix of change rows. headKey does not have it.
const changePrefix = "0"

func changeKey(seq uint64) string { return fmt.Sprintf("%s%019d", changePrefix, seq) }
