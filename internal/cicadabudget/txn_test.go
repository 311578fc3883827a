package cicadabudget_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"pgregory.net/rapid"
)

// The state machine below tests the accounts and transaction managers of several hosts against
// failures of the store and the processes: lost replies, transactions applied late, processes
// that end and restart, suspended hosts, budget increases that only some routers know, and old
// reads of the pool.

const (
	org       = "org"
	hostCount = 2
)

type (
	poolRow struct {
		pool    cicadabudget.Pool
		version uint64
	}

	routerRow struct {
		row     cicadabudget.RouterRow
		version uint64
	}

	// pendingTxn is a transaction that was sent to the store.
	pendingTxn struct {
		host        int
		txn         *cicadabudget.Txn
		row         cicadabudget.RouterRow
		after       cicadabudget.Pool
		updatesPool bool
		poolVersion uint64 // required version of the pool's row
	}

	process struct {
		accs         *cicadabudget.Accounts
		txns         *cicadabudget.TxnManager
		startedAt    time.Time
		clockLag     time.Duration // time for which its clock has stood still
		running      []cicadabudget.Units
		waiters      []waitingRequest
		pendingLoans []*cicadabudget.Waiter // loans that other processes wait for
		version      uint64                 // of its configuration
		seenEra      bool                   // it has seen an era of the store
	}

	waitingRequest struct {
		waiter *cicadabudget.Waiter
		need   cicadabudget.Units
	}

	simulation struct {
		elapsed       time.Duration
		storeVersion  uint64
		pool          poolRow
		oldPools      []poolRow // earlier values, for reads of old versions
		rows          [hostCount]routerRow
		procs         [hostCount]*process
		suspended     [hostCount]bool
		delayedTxns   []pendingTxn
		delayedLoans  []loanMessage // not delivered yet
		limit         cicadabudget.Units
		configVersion uint64
		used          cicadabudget.Units // settled, or in progress in a process that ended
		boots         int
		storeDown     bool // no reply arrives

		// The store may be restored from a backup. The fields pool and rows are those of the
		// current era.
		era            uint64
		restoredAt     time.Duration
		backup         *storeBackup
		priorSnapshot  cicadabudget.PoolSnapshot // of the pool, in the restored store
		reports        map[int]cicadabudget.Report
		reconciliation *cicadabudget.Reconciliation
	}

	// loanMessage is a message that carries a loan.
	loanMessage struct {
		to       *process
		era      uint64
		units    cicadabudget.Units
		snapshot *cicadabudget.PoolSnapshot
	}

	storeBackup struct {
		version  uint64
		snapshot cicadabudget.PoolSnapshot
	}
)

// init fixes the seed, so that every run gives the same result. For a longer search set the
// flags, for example -rapid.checks=400000 -rapid.seed=7.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "10000")
	_ = flag.Set("rapid.steps", "80")
}

var epoch = time.Unix(1_700_000_000, 0)

func (s *simulation) storeMillis() int64 { return 50_000 + s.elapsed.Milliseconds() }

func (s *simulation) now(p *process) time.Time { return epoch.Add(s.elapsed - p.clockLag) }

func (s *simulation) startProcess(host int) {
	s.boots++
	p := &process{accs: cicadabudget.NewAccounts()}
	p.startedAt = s.now(p)
	p.txns = cicadabudget.NewTxnManager(fmt.Sprint("boot", s.boots), p.startedAt, p.accs)
	p.accs.SetRouters(hostCount)
	p.accs.Configure(org, s.limit, s.configVersion)
	p.version = s.configVersion
	s.procs[host], s.suspended[host] = p, false
}

// enterEra makes a process see the store's era and reconcile it if necessary.
func (s *simulation) enterEra(host int) {
	p := s.procs[host]
	first := !p.seenEra
	p.seenEra = true
	if p.accs.Era() != s.era {
		p.accs.EnterEra(s.era, first)
		if s.priorSnapshot.Version > 0 {
			p.accs.AddBackupRow(org, s.priorSnapshot)
		}
		if first && s.pool.version == 0 {
			p.accs.RequireReconciliation()
		}
	}
	if !p.accs.Reconciling() {
		return
	}
	if _, ok := s.reports[host]; !ok {
		s.reports[host] = p.accs.Report("boot", !first, func(string) bool { return true })
	}
	if s.reconciliation == nil && (len(s.reports) == hostCount || s.elapsed-s.restoredAt > 3*time.Second) {
		var list []cicadabudget.Report
		for _, r := range s.reports {
			list = append(list, r)
		}
		rec := cicadabudget.Reconcile("boot", list, hostCount)
		s.reconciliation = &rec
	}
	if s.reconciliation != nil {
		p.accs.ApplyReconciliation(s.era, s.reconciliation)
	}
}

// restore restores the store from its backup. The processes that reach the store have read the
// pool before, and one of them reports before it ends.
func (s *simulation) restore() {
	follower := -1
	for host, p := range s.procs {
		if p != nil && !s.suspended[host] && p.seenEra && !p.accs.Reconciling() && p.accs.Era() == s.era && s.pool.version > 0 {
			p.accs.ObservePool(org, s.era, s.pool.pool, s.pool.version, s.now(p))
			follower = host
		}
	}
	if follower < 0 || s.backup == nil {
		return
	}
	s.storeVersion, s.priorSnapshot, s.backup = s.backup.version, s.backup.snapshot, nil
	s.era++
	s.restoredAt = s.elapsed
	s.pool, s.rows, s.oldPools = poolRow{}, [hostCount]routerRow{}, nil
	s.reports, s.reconciliation = map[int]cicadabudget.Report{}, nil
	s.enterEra(follower)
}

// perform applies a transaction if its conditions hold.
func (s *simulation) perform(pending *pendingTxn) bool {
	row := &s.rows[pending.host]
	if pending.txn.Era != s.era {
		return false
	}
	if row.version != pending.txn.RowVersion || pending.updatesPool && s.pool.version != pending.poolVersion {
		return false
	}
	s.storeVersion++
	*row = routerRow{row: pending.row, version: s.storeVersion}
	if pending.updatesPool {
		s.oldPools = append(s.oldPools, s.pool)
		s.pool = poolRow{pool: pending.after, version: s.storeVersion}
	}
	return true
}

func (s *simulation) send(t *rapid.T, host int, updates []cicadabudget.PoolUpdate) {
	p := s.procs[host]
	if !s.storeDown {
		s.enterEra(host)
	}
	txn := p.txns.Begin(updates, s.now(p))
	if txn == nil {
		return
	}
	pending := pendingTxn{host: host, txn: txn, row: p.txns.Row(txn)}
	if len(txn.Updates) > 0 {
		pending.after, pending.poolVersion, pending.updatesPool = txn.After[0], txn.Updates[0].Version, true
	}
	sentAt := s.now(p)
	outcomes := []string{"answered", "answered", "answered", "answered", "refused", "lostDone", "lostLate", "lost"}
	if s.storeDown {
		outcomes = []string{"lostDone", "lostLate", "lost", "lost"}
	}
	switch rapid.SampledFrom(outcomes).Draw(t, "outcome") {
	case "refused":
		p.txns.Refused(txn, s.now(p))
	case "lostDone":
		s.perform(&pending)
		p.txns.OutcomeUnknown(txn)
	case "lostLate":
		s.delayedTxns = append(s.delayedTxns, pending)
		p.txns.OutcomeUnknown(txn)
	case "lost":
		p.txns.OutcomeUnknown(txn)
	case "answered":
		committed := s.perform(&pending)
		p.txns.ObserveStoreTime(s.storeMillis(), s.now(p))
		if txn.Era != s.era {
			p.txns.OutcomeUnknown(txn)
			return
		}
		if committed {
			p.txns.Committed(txn, s.storeVersion, s.now(p))
			return
		}
		if s.pool.version > 0 {
			p.accs.OverridePool(org, s.era, s.pool.pool, s.pool.version, s.now(p))
		}
		p.txns.ConditionFailed(txn, s.rows[host].row, s.rows[host].version, sentAt, s.now(p))
	}
}

// kill ends a process. Its requests in progress count as used.
func (s *simulation) kill(host int) {
	if p := s.procs[host]; p != nil {
		s.collectWaiters(p)
		for _, r := range p.running {
			s.used += r
		}
		s.procs[host] = nil
	}
}

// runningHost picks a host at random. It returns -1 if no process runs there.
func (s *simulation) runningHost(t *rapid.T) int {
	host := rapid.IntRange(0, hostCount-1).Draw(t, "host")
	if s.procs[host] == nil || s.suspended[host] {
		return -1
	}
	return host
}

// lend asks another process for a loan. The message that carries the units may be delayed or
// lost.
func (s *simulation) lend(t *rapid.T, p, lender *process, req cicadabudget.LoanRequest) {
	decision, units, waiter := lender.accs.Lend(req, "b", s.now(lender))
	switch decision {
	case cicadabudget.Queued:
		lender.pendingLoans = append(lender.pendingLoans, waiter)
		return
	case cicadabudget.Exhausted:
		p.accs.DenyWaiters(org, lender.accs.MaxAvailable(org), s.now(p))
	case cicadabudget.Granted:
	}
	msg := loanMessage{to: p, era: lender.accs.Era(), units: units, snapshot: lender.accs.Snapshot(org)}
	switch rapid.SampledFrom([]string{"arrives", "late", "lost"}).Draw(t, "loan") {
	case "arrives":
		s.deliver(msg)
	case "late":
		s.delayedLoans = append(s.delayedLoans, msg)
	}
}

// deliver delivers a loan to its borrower.
func (s *simulation) deliver(msg loanMessage) {
	if snapshot := msg.snapshot; snapshot != nil {
		msg.to.accs.ObservePool(org, snapshot.Era, snapshot.Pool, snapshot.Version, s.now(msg.to))
	}
	msg.to.accs.AddLoan(org, msg.era, msg.units, s.now(msg.to))
}

// takeGrantedLoans takes granted loans out of a process. Their borrowers no longer wait, so the
// units are lost.
func (p *process) takeGrantedLoans() {
	kept := p.pendingLoans[:0]
	for _, waiter := range p.pendingLoans {
		select {
		case <-waiter.Ready():
			if waiter.Granted() {
				p.accs.TakeGrantedLoan(org, waiter)
			}
		default:
			kept = append(kept, waiter)
		}
	}
	p.pendingLoans = kept
}

func (s *simulation) collectWaiters(p *process) {
	p.takeGrantedLoans()
	kept := p.waiters[:0]
	for _, req := range p.waiters {
		select {
		case <-req.waiter.Ready():
			if req.waiter.Granted() {
				p.running = append(p.running, req.need)
			}
		default:
			kept = append(kept, req)
		}
	}
	p.waiters = kept
}

// committed returns the units of completed requests and of requests in progress.
func (s *simulation) committed() cicadabudget.Units {
	n := s.used
	for _, p := range s.procs {
		if p == nil {
			continue
		}
		s.collectWaiters(p)
		for _, r := range p.running {
			n += r
		}
	}
	return n
}

// held returns the used units plus the free and reserved units of all processes. All of them
// must have been drawn.
func (s *simulation) held() cicadabudget.Units {
	n := s.used
	for _, p := range s.procs {
		if p == nil {
			continue
		}
		for _, state := range p.accs.State(s.now(p)) {
			n += state.Free + state.Reserved
		}
	}
	return n
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	onRunningHost := func(run func(t *rapid.T, host int, p *process)) func(*rapid.T) {
		return func(t *rapid.T) {
			if host := s.runningHost(t); host >= 0 {
				run(t, host, s.procs[host])
			}
		}
	}
	return map[string]func(*rapid.T){
		"reserve": onRunningHost(func(t *rapid.T, _ int, p *process) {
			need := cicadabudget.Units(rapid.IntRange(1, 2000).Draw(t, "need"))
			decision, waiter, _ := p.accs.Reserve(org, need, s.now(p))
			switch decision {
			case cicadabudget.Granted:
				p.running = append(p.running, need)
			case cicadabudget.Queued:
				if rapid.Bool().Draw(t, "keep waiting") {
					p.waiters = append(p.waiters, waitingRequest{waiter, need})
				} else {
					p.accs.Cancel(org, waiter)
				}
			case cicadabudget.Exhausted:
			}
		}),
		"settle": onRunningHost(func(t *rapid.T, _ int, p *process) {
			s.collectWaiters(p)
			if len(p.running) == 0 {
				return
			}
			n := p.running[0]
			p.running = p.running[1:]
			used := cicadabudget.Units(rapid.IntRange(0, int(n)).Draw(t, "used"))
			p.accs.Settle(org, n, used, s.now(p))
			s.used += used
		}),
		"balance": onRunningHost(func(t *rapid.T, host int, p *process) {
			// The first transaction may only read the current rows.
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				s.send(t, host, p.accs.Plan(p.txns.InDoubt(), s.now(p)))
			}
		}),
		"spendAll": onRunningHost(func(t *rapid.T, _ int, p *process) {
			need := cicadabudget.Units(rapid.IntRange(100, 1000).Draw(t, "need"))
			for {
				decision, waiter, _ := p.accs.Reserve(org, need, s.now(p))
				if decision != cicadabudget.Granted {
					if waiter != nil {
						p.accs.Cancel(org, waiter)
					}
					return
				}
				p.accs.Settle(org, need, need, s.now(p))
				s.used += need
			}
		}),
		"drain": onRunningHost(func(_ *rapid.T, _ int, p *process) { p.accs.Drain() }),
		"lentMode": onRunningHost(func(t *rapid.T, _ int, p *process) {
			borrows := rapid.Bool().Draw(t, "lent")
			p.accs.SetBorrowing(func(string) bool { return borrows })
		}),
		"borrow": onRunningHost(func(t *rapid.T, host int, p *process) {
			lender := s.procs[1-host]
			if lender == nil || s.suspended[1-host] {
				return
			}
			for _, req := range p.accs.LoanRequests(s.now(p)) {
				s.lend(t, p, lender, req)
			}
			for _, surplus := range p.accs.TakeSurpluses(all, s.now(p)) {
				if rapid.Bool().Draw(t, "arrives") {
					lender.accs.AddSurplus(surplus, s.now(lender))
				}
			}
		}),
		"routers": onRunningHost(func(t *rapid.T, _ int, p *process) {
			// The lock period depends on the number of routers.
			n := rapid.SampledFrom([]int{1, 400}).Draw(t, "routers")
			p.txns.SetRouters(n)
			p.accs.SetRouters(n)
		}),
		"copy": func(*rapid.T) {
			s.backup = &storeBackup{version: s.storeVersion, snapshot: s.priorSnapshot}
			if s.pool.version > 0 {
				s.backup.snapshot = cicadabudget.PoolSnapshot{Era: s.era, Version: s.pool.version, Pool: s.pool.pool}
			}
		},
		"restore": func(*rapid.T) { s.restore() },
		"outage":  func(*rapid.T) { s.storeDown = !s.storeDown },
		"restart": func(t *rapid.T) {
			host := rapid.IntRange(0, hostCount-1).Draw(t, "host")
			s.kill(host)
			s.elapsed += time.Duration(rapid.SampledFrom([]int{200, 1500}).Draw(t, "millis")) * time.Millisecond
			s.startProcess(host)
		},
		"performLate": func(t *rapid.T) {
			if len(s.delayedTxns) > 0 {
				i := rapid.IntRange(0, len(s.delayedTxns)-1).Draw(t, "which")
				s.perform(&s.delayedTxns[i])
				s.delayedTxns = append(s.delayedTxns[:i], s.delayedTxns[i+1:]...)
			}
		},
		"loanArrives": func(t *rapid.T) {
			if len(s.delayedLoans) == 0 {
				return
			}
			i := rapid.IntRange(0, len(s.delayedLoans)-1).Draw(t, "which")
			msg := s.delayedLoans[i]
			s.delayedLoans = append(s.delayedLoans[:i], s.delayedLoans[i+1:]...)
			for host, p := range s.procs {
				// A loan for a process that ended or is suspended is lost.
				if p == msg.to && !s.suspended[host] {
					s.deliver(msg)
				}
			}
		},
		"learn": onRunningHost(func(t *rapid.T, _ int, p *process) {
			rows := append(append([]poolRow(nil), s.oldPools...), s.pool)
			r := rows[rapid.IntRange(max(0, len(rows)-3), len(rows)-1).Draw(t, "reading")]
			if r.version > 0 {
				p.accs.ObservePool(org, s.era, r.pool, r.version, s.now(p))
			}
		}),
		"kill": func(t *rapid.T) {
			s.kill(rapid.IntRange(0, hostCount-1).Draw(t, "host"))
		},
		"start": func(t *rapid.T) {
			host := rapid.IntRange(0, hostCount-1).Draw(t, "host")
			if s.procs[host] == nil {
				s.startProcess(host)
			}
		},
		"stop": onRunningHost(func(t *rapid.T, host int, p *process) {
			s.collectWaiters(p)
			if len(p.running) == 0 && len(p.waiters) == 0 {
				s.send(t, host, p.accs.ReturnAll())
				s.procs[host] = nil
			}
		}),
		"sleep": func(t *rapid.T) {
			host := rapid.IntRange(0, hostCount-1).Draw(t, "host")
			s.suspended[host] = !s.suspended[host]
		},
		"wait": func(t *rapid.T) {
			d := time.Duration(rapid.SampledFrom([]int{1, 50, 300, 900, 1400, 2600, 5000}).Draw(t, "millis")) * time.Millisecond
			s.elapsed += d
			for i, p := range s.procs {
				if p != nil && s.suspended[i] {
					p.clockLag += d
				}
			}
		},
		"topUp": func(t *rapid.T) {
			s.configVersion++
			s.limit += cicadabudget.Units(rapid.IntRange(0, 4000).Draw(t, "more"))
		},
		"configure": onRunningHost(func(_ *rapid.T, _ int, p *process) {
			p.accs.Configure(org, s.limit, s.configVersion)
		}),
		"": func(t *rapid.T) {
			if got := s.committed(); got > s.limit {
				t.Fatalf("%d units used or in progress exceed the limit of %d", got, s.limit)
			}
			if got := s.held(); s.pool.version > 0 && got > s.pool.pool.Drawn {
				t.Fatalf("%d units held or used, but %d drawn: some units count twice", got, s.pool.pool.Drawn)
			}
			if got := s.held(); got > s.limit {
				t.Fatalf("%d units held or used exceed the limit of %d", got, s.limit)
			}
			if s.pool.pool.Drawn > s.limit || s.pool.pool.Drawn < 0 {
				t.Fatalf("%d units drawn of a limit of %d", s.pool.pool.Drawn, s.limit)
			}
		},
	}
}

// TestBookNeverOverspends runs random schedules of failures between routers and store, and
// checks that no more than the limit is drawn or used.
func TestBookNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{limit: 20000, configVersion: 1}
		for host := range hostCount {
			s.startProcess(host)
		}
		t.Repeat(s.actions())
	})
}
