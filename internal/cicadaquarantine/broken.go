package cicadaquarantine

import (
	"slices"
	"time"
)

const (
	// breakTTL is how long broken connections are kept whose cause is not known. A runner that has crashed is
	// back after some seconds, but its entry cannot be read while the store is away.
	breakTTL = 2 * time.Minute
	// renewalDelay is how long after connections broke entries may be read that were written before.
	renewalDelay = 3 * time.Second
)

// brokenRunner is a runner whose connections broke while it served suspects.
type brokenRunner struct {
	at       time.Duration
	suspects Suspects
	// renewedAt is when an entry was read that the runner had written again, after renewalDelay; zero for
	// never.
	renewedAt time.Duration
}

// RecordBreak records that the connections to a process of a runner broke at a shared time while it served the suspects,
// and that this router does not know of a crash. ConfirmBreak, or the report of another router, may tell of
// one, and RecordRenewal that there was none. It reports whether another router has told of one already.
func (q *Quarantine) RecordBreak(process string, at time.Duration, suspects Suspects) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(suspects.Begun)+len(suspects.Waiting) == 0 {
		return false
	}
	q.forgetBreaks(at)
	b := brokenRunner{at: at}
	b.suspects.add(&Suspects{Begun: q.likeliestFirst(suspects.Begun), Waiting: q.likeliestFirst(suspects.Waiting)})
	if earlier, ok := q.broken[process]; ok {
		b.join(&earlier, q.unanswered(&earlier.suspects, earlier.at))
	}
	q.broken[process] = b
	for name, c := range q.crashes {
		if runnerOf(name) == runnerOf(process) && q.joinCrash(name, c) {
			q.applyAnswers(c.suspects.all())
			q.update(at)
			return true
		}
	}
	return false
}

// join adds an earlier break of the same runner and the suspects in it. The later one of both is the more likely
// end, unless they are of the same moment.
func (b *brokenRunner) join(earlier *brokenRunner, suspects Suspects) {
	b.suspects.add(&suspects)
	if (b.at - earlier.at).Abs() <= incidentWindow {
		b.at = min(b.at, earlier.at)
	} else {
		b.at = max(b.at, earlier.at)
	}
}

// Unanswered returns a suspect without the traits that this router has seen answered since a shared time.
func (q *Quarantine) Unanswered(s Suspect, since time.Duration) Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s), func(t Trait) bool { return q.answers[t] > since })
}

// unanswered returns suspects without the traits that this router has seen answered since a time.
func (q *Quarantine) unanswered(s *Suspects, since time.Duration) Suspects {
	remaining := func(list []Suspect) []Suspect {
		var out []Suspect
		for _, suspect := range list {
			out = append(out, slices.DeleteFunc(slices.Clone(suspect), func(t Trait) bool { return q.answers[t] > since }))
		}
		return out
	}
	return Suspects{Begun: remaining(s.Begun), Waiting: remaining(s.Waiting)}
}

// forgetBreaks removes breaks that are too old, and the oldest one if there is no room for another.
func (q *Quarantine) forgetBreaks(now time.Duration) {
	oldest := ""
	for runner, b := range q.broken {
		if now-b.at > breakTTL {
			delete(q.broken, runner)
			continue
		}
		if oldest == "" || b.at < q.broken[oldest].at {
			oldest = runner
		}
	}
	if len(q.broken) >= maxCrashes {
		delete(q.broken, oldest)
	}
}

// ConfirmBreak records a crash of a runner that is known to have ended, if its connections have broken and
// nothing has shown since that it lived on. It reports whether they have.
func (q *Quarantine) ConfirmBreak(runner string, now time.Duration) bool {
	confirmed := false
	for process, b := range q.takeBreaks(runner) {
		if now-b.at <= breakTTL {
			q.RecordCrash(process, b.at, b.suspects)
			confirmed = true
		}
	}
	return confirmed
}

// takeBreaks removes and returns the breaks of a runner, by process.
func (q *Quarantine) takeBreaks(runner string) map[string]brokenRunner {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]brokenRunner{}
	for process, b := range q.broken {
		if runnerOf(process) == runner {
			out[process] = b
			delete(q.broken, process)
		}
	}
	return out
}

// RecordRenewal records that an entry was read at a shared time that a runner has written again. If two were
// read one after the other since its connections broke, the second was written since, and the runner lives on.
func (q *Quarantine) RecordRenewal(runner string, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for process, b := range q.broken {
		switch {
		case runnerOf(process) != runner || now-b.at <= renewalDelay:
		case b.renewedAt == 0:
			b.renewedAt = now
			q.broken[process] = b
		case now > b.renewedAt:
			delete(q.broken, process)
		}
	}
}

// HasBreaks reports whether connections to any runner broke for a reason that is not known.
func (q *Quarantine) HasBreaks() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.broken) > 0
}

// IsBroken reports whether connections to a runner broke for a reason that is not known at a shared time.
func (q *Quarantine) IsBroken(runner string, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for process, b := range q.broken {
		if runnerOf(process) == runner && now-b.at <= breakTTL {
			return true
		}
	}
	return false
}

// IsBreakSuspect reports whether requests with a trait were at a runner when connections to it broke for a reason
// that is not known at a shared time, and this router has seen none of them answered since.
func (q *Quarantine) IsBreakSuspect(t Trait, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.broken {
		if now-b.at <= breakTTL && q.answers[t] <= b.at && b.suspects.has(t) {
			return true
		}
	}
	return false
}

// joinCrash adds the suspects of this router to a crash that another router has reported. It reports whether
// there are any.
func (q *Quarantine) joinCrash(process string, c *crash) bool {
	joined := false
	for name, b := range q.broken {
		if runnerOf(name) != runnerOf(process) || (b.at-c.at).Abs() > incidentWindow {
			continue
		}
		delete(q.broken, name)
		c.isOwn, joined = true, true
		c.own.add(&b.suspects)
		c.suspects.add(&b.suspects)
	}
	return joined
}
