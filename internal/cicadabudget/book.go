package cicadabudget

import "time"

type (
	// Book orders the moves between accounts and store so that each move counts
	// once, though answers of the store get lost and lost transactions may still
	// be performed while their conditions hold.
	//
	// Each transaction sets the router's own row to a new number, under the
	// condition that the row is at the version that the router last saw. So of
	// all transactions in doubt only one can ever have been performed, and the
	// row's number tells whether it was.
	//
	// A Book is used by one goroutine.
	Book struct {
		boot    string // of this process; an earlier one's numbers mean nothing
		accs    *Accounts
		number  uint64 // of the last transaction sent
		version uint64 // of the own row, as last seen
		doubts  []*Txn // sent at the present version of the own row, outcome unknown
	}

	// Txn is a set of moves that the store takes together or not at all.
	Txn struct {
		Number uint64
		// OwnVersion is the version that the router's own row must have.
		OwnVersion uint64
		Moves      []Move
		After      []Pool // the pools after the moves, in the same order
	}

	// OwnRow is the value of a router's own row.
	OwnRow struct {
		Boot   string `json:"boot"`
		Number uint64 `json:"number"`
	}
)

// NewBook returns a book for a process with a boot id of its own.
func NewBook(boot string, accs *Accounts) *Book { return &Book{boot: boot, accs: accs} }

// Begin makes a transaction of the moves that the pools cover, or returns nil if
// there is nothing to do. A transaction in doubt is settled by the next one.
func (b *Book) Begin(moves []Move) *Txn {
	txn := &Txn{OwnVersion: b.version}
	for _, m := range moves {
		after, ok := b.accs.Next(m)
		if !ok {
			b.accs.Undo(m)
			continue
		}
		txn.Moves = append(txn.Moves, m)
		txn.After = append(txn.After, after)
	}
	if len(txn.Moves) == 0 && len(b.doubts) == 0 {
		return nil
	}
	b.number++
	txn.Number = b.number
	return txn
}

// Row returns the value of the own row under a transaction.
func (b *Book) Row(txn *Txn) OwnRow { return OwnRow{Boot: b.boot, Number: txn.Number} }

// Committed notes that the store took a transaction at a version.
func (b *Book) Committed(txn *Txn, version uint64, now time.Time) {
	// The row was still at the version that those in doubt need, and no longer is.
	for _, d := range b.doubts {
		b.undo(d)
	}
	b.doubts = nil
	b.version = version
	b.apply(txn, version, now)
}

// Rejected notes that the store did not take a transaction, as its conditions
// did not hold. Own is the own row as it is, at a version; version 0 means that
// there is none. Pools are learnt by the caller.
func (b *Book) Rejected(txn *Txn, own OwnRow, version uint64, now time.Time) {
	b.undo(txn)
	if version == b.version {
		return
	}
	b.version = version
	for _, d := range b.doubts {
		if own.Boot == b.boot && own.Number == d.Number {
			b.apply(d, version, now)
		} else {
			b.undo(d)
		}
	}
	b.doubts = nil
}

// Refused notes that the store turned a transaction away unread.
func (b *Book) Refused(txn *Txn) { b.undo(txn) }

// Lost notes that no answer came: the transaction may have been performed, or
// may be performed later while its conditions hold. Its draws are not used, and
// what it gives back is not used either, until the next one settles it.
func (b *Book) Lost(txn *Txn) { b.doubts = append(b.doubts, txn) }

// InDoubt tells whether the outcome of a transaction is unknown.
func (b *Book) InDoubt() bool { return len(b.doubts) > 0 }

func (b *Book) apply(txn *Txn, version uint64, now time.Time) {
	for i, m := range txn.Moves {
		b.accs.Done(m, txn.After[i], version, now)
	}
}

func (b *Book) undo(txn *Txn) {
	for _, m := range txn.Moves {
		b.accs.Undo(m)
	}
}
