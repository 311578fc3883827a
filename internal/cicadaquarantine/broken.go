package cicadaquarantine

import "time"

// confirmPeriod is how long after connections broke a sign of their runner's end is taken for the cause. The
// entry of a runner that starts again at once is read within it.
const confirmPeriod = 2 * time.Second

// brokenRunner is a runner whose connections broke while it served suspects.
type brokenRunner struct {
	at       time.Duration
	suspects Suspects
}

// RecordBreak records that the connections to a runner broke at a shared time while it served the suspects,
// and that this router does not know of a crash. ConfirmBreak, or the report of another router, may tell of
// one.
func (q *Quarantine) RecordBreak(runner string, at time.Duration, suspects Suspects) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for r, b := range q.broken {
		if at-b.at > answerTTL {
			delete(q.broken, r)
		}
	}
	if len(q.broken) < maxCrashes && len(suspects.Begun)+len(suspects.Waiting) > 0 {
		q.broken[runner] = brokenRunner{at: at, suspects: Suspects{Begun: q.likeliestFirst(suspects.Begun), Waiting: q.likeliestFirst(suspects.Waiting)}}
	}
}

// ConfirmBreak records a crash of a runner that is known to have ended, if its connections have broken
// lately. It reports whether they have.
func (q *Quarantine) ConfirmBreak(runner string, now time.Duration) bool {
	q.mu.Lock()
	b, ok := q.broken[runner]
	delete(q.broken, runner)
	q.mu.Unlock()
	if !ok || now-b.at > confirmPeriod {
		return false
	}
	q.RecordCrash(runner, b.at, b.suspects)
	return true
}

// joinCrash adds the suspects of this router to a crash that another router has reported. It reports whether
// there are any.
func (q *Quarantine) joinCrash(runner string, c *crash) bool {
	b, ok := q.broken[runner]
	if !ok || (b.at-c.at).Abs() > incidentWindow {
		return false
	}
	delete(q.broken, runner)
	c.isOwn = true
	c.own.add(&b.suspects)
	c.suspects.add(&b.suspects)
	return true
}
