package cicadaengine

import (
	"math"
	"time"
)

const (
	// priorObservations is the weight of the service's model against a runner's own observations:
	// with 4 observations a runner is half-way between both, with 10 at 0.7.
	priorObservations = 4.0
	// maxObservations bounds the weight of a runner's observations, so that a change shows.
	maxObservations = 20.0
	// chanceDifference is how far equal runners seem to differ by chance, as a share. Only what is beyond
	// counts. In a simulated fleet of 3 equal runners, 0.15 costs 2.2% of the time to the first event,
	// and 0.2 costs 0.3%.
	chanceDifference = 0.2
	// runnerHalfLife is the time in which the weight of a runner's observations halves.
	runnerHalfLife = 20 * time.Second
	// runnerTTL is the time without an observation in which a runner returns to its service's model.
	// One that is avoided because it was slow gets requests again and is observed again.
	runnerTTL = 40 * time.Second
	// slownessTTL is the age at which a reading of a machine's slowness says nothing any more. It
	// changes many times a second.
	slownessTTL = 200 * time.Millisecond
	// slownessWeight is the weight of a reading of this moment: the work of a request takes longer
	// than the reading is true.
	slownessWeight = 0.5
	// usualSlowness is the usual reading, in percent.
	usualSlowness = 100.0
	// maxFirstEvent bounds an estimate. No request has more time.
	maxFirstEvent = time.Minute
)

type (
	// Runner is the model of one runner.
	Runner struct {
		service *Service

		factor       float64 // time that work takes here, relative to the service
		ratios       float64 // weighted sum of the observed ratios
		observations float64 // weighted number of them
		observedAt   time.Time

		slowness     float64 // smoothed readings, 1 is usual
		slownessAt   time.Time
		slownessSeen bool
	}

	// Prediction is the predicted time to the first event of a request, to be compared with the actual one.
	Prediction struct {
		work     Work
		slowdown float64 // of the machine, as of its readings
		millis   float64
	}
)

// ObserveLoad records the machine's slowness in a load report, in percent; 0 if it is not stated.
func (r *Runner) ObserveLoad(slowness int, now time.Time) {
	if slowness <= 0 {
		return
	}
	reading := bounded(float64(slowness) / usualSlowness)
	old := r.slownessLeft(now)
	r.slowness = (r.slowness*old + reading) / (old + 1)
	r.slownessAt, r.slownessSeen = now, true
}

// slownessLeft returns how much the last reading is still worth, from 1 to 0.
func (r *Runner) slownessLeft(now time.Time) float64 {
	if !r.slownessSeen {
		return 0
	}
	return min(max(1-float64(now.Sub(r.slownessAt))/float64(slownessTTL), 0), 1)
}

// slowdown returns the factor of the machine's present slowness.
func (r *Runner) slowdown(now time.Time) float64 {
	left := r.slownessLeft(now)
	if left == 0 {
		return 1
	}
	return 1 + (r.slowness-1)*left*slownessWeight
}

// Factor returns the time that work takes at the runner relative to its service.
func (r *Runner) Factor(now time.Time) float64 {
	if r.observations == 0 {
		return 1
	}
	left := max(1-float64(now.Sub(r.observedAt))/float64(runnerTTL), 0)
	return 1 + (r.factor-1)*left
}

// Millis returns the estimated time to the first event, in milliseconds, with the coefficients of the
// runner's service. It leaves out what is equal at all runners.
func (r *Runner) Millis(c *Coefficients, w *Work, now time.Time) float64 {
	return c.workMillis(w) * r.scale(c, now)
}

// scale returns the factor of the runner, if its service's model is used, and its machine.
func (r *Runner) scale(c *Coefficients, now time.Time) float64 {
	slowdown := r.slowdown(now)
	if c.observed {
		return bounded(r.Factor(now) * slowdown)
	}
	return slowdown
}

// Predict returns the predicted time to the first event.
func (r *Runner) Predict(c *Coefficients, w Work, now time.Time) Prediction {
	return Prediction{work: w, slowdown: r.slowdown(now), millis: r.Millis(c, &w, now) + c.offset*offsetMillis}
}

// FirstEvent returns the predicted time.
func (p *Prediction) FirstEvent() time.Duration { return fromMillis(p.millis) }

// WithConstants returns the time that the constants predict, by which the gain of the models is measured.
func (p *Prediction) WithConstants() time.Duration {
	c := Constants()
	return fromMillis(c.workMillis(&p.work))
}

// ObserveFirstEvent records the actual time to the first event of a request.
func (r *Runner) ObserveFirstEvent(p *Prediction, took time.Duration, now time.Time) {
	if took < 0 || took > maxFirstEvent {
		return
	}
	millis := float64(took) / float64(time.Millisecond)
	c := r.service.learned(now)
	offset := c.offset * offsetMillis
	usual := c.workMillis(&p.work) * p.slowdown
	r.service.observe(&p.work, max(millis-offset, 0)/bounded(p.slowdown*r.Factor(now))+offset, now)

	ratio := bounded((max(millis-offset, 0) + noiseMillis) / (usual + noiseMillis))
	kept := 0.0
	if r.observations > 0 {
		kept = math.Exp2(-float64(max(now.Sub(r.observedAt), 0)) / float64(runnerHalfLife))
		kept = min(kept, (maxObservations-1)/r.observations)
	}
	r.ratios, r.observations = r.ratios*kept+ratio, r.observations*kept+1
	r.factor = distinct((priorObservations + r.ratios) / (priorObservations + r.observations))
	r.observedAt = now
}

// distinct moves a factor towards 1 by chanceDifference.
func distinct(factor float64) float64 {
	if factor < 1 {
		return min(factor*(1+chanceDifference), 1)
	}
	return max(factor/(1+chanceDifference), 1)
}

func fromMillis(millis float64) time.Duration {
	return time.Duration(min(millis, float64(maxFirstEvent.Milliseconds())) * float64(time.Millisecond))
}
