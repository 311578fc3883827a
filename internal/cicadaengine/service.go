// Package cicadaengine models how long the engines of a service take until the first event of a request.
//
// A service's model starts with constants and moves slowly with the times that are observed. A runner's
// model is a factor on that of its service. Both are bounded, and return to where they started if
// observations cease.
//
// The package does no I/O and reads no clock. It has no locks; the caller serialises the calls.
package cicadaengine

import "time"

// The start values. A service without observations keeps them.
const (
	// prefillTokensPerMilli is the prefill throughput of an engine, in prompt tokens per millisecond.
	prefillTokensPerMilli = 55.0
	// decodeMillisPerRequest is the delay that each running request adds to the time to first
	// token. It slows one decode step by about 0.02 ms, and several steps pass before the first token.
	decodeMillisPerRequest = 0.4
	// queueMillisPerRequest is the delay that each request queued at an engine adds: the size of a
	// typical uncached prompt divided by prefillTokensPerMilli.
	queueMillisPerRequest = 70.0
)

const (
	// maxChange bounds each learned factor, either way. Engines of known deployments differ by
	// factors from 0.6 to 1.6.
	maxChange = 3.0
	// learningRate is the share of an error that one observation corrects. A router with 6 requests
	// a second follows its service in about 10 s.
	learningRate = 0.02
	// noiseMillis is the part of a time that is not the engine's work: the network, a decode step
	// that is in progress, the tokens of the first event. Times of this size say little.
	noiseMillis = 50.0
	// offsetMillis is the unit of the learned constant part of a time, and maxOffset its bound in
	// that unit.
	offsetMillis = 20.0
	maxOffset    = 5.0
	// nearlyFull is the share of a runner's slots from which it may slow down. maxFullSlowdown bounds
	// the learned slowdown of a full runner.
	nearlyFull      = 0.75
	maxFullSlowdown = 2.0
	// minObservations is the number of observations from which a service's model is used. Below it, a few
	// odd times may be all that is known. A router with 6 requests a second has them in 5 s.
	minObservations = 32
	// serviceTTL is how long a service's model is kept without an observation. It returns to the
	// constants in the same time after that.
	serviceTTL = time.Minute
)

type (
	// Models holds the models of all services.
	Models struct{ services map[string]*Service }

	// Service is the model of a service's engines.
	Service struct {
		// speed is the factor on all constants. decode and queue are factors on their constants besides,
		// so that what weighs more does so until observations say otherwise. full is the slowdown of a
		// full runner, and offset the constant part of a time in units of offsetMillis.
		speed, decode, queue, full, offset float64

		observations int
		observedAt   time.Time
	}

	// Coefficients are the coefficients of a service's model at one time.
	Coefficients struct {
		speed, decode, queue, full, offset float64
		observed                           bool
	}

	// Work is what a runner has to do before the first event of a request.
	Work struct {
		Tokens           int // prompt tokens to prefill, those of earlier requests included
		Running, Waiting int // requests at the runner
		Slots            int // of the runner; 0 if not known
	}
)

// NewModels returns Models without services.
func NewModels() *Models { return &Models{services: map[string]*Service{}} }

// Service returns the model of a service.
func (m *Models) Service(name string) *Service {
	s := m.services[name]
	if s == nil {
		s = &Service{speed: 1, decode: 1, queue: 1}
		m.services[name] = s
	}
	return s
}

// Runner returns a new model of a runner of a service. It lives as long as one start of the runner.
func (m *Models) Runner(service string) *Runner {
	return &Runner{service: m.Service(service), factor: 1}
}

// Coefficients returns the coefficients at a time: the constants without enough recent observations. They
// do not depend on the runner, so a caller that compares many runners asks once.
func (s *Service) Coefficients(now time.Time) Coefficients {
	if c := s.learned(now); c.observed {
		return c
	}
	return Constants()
}

// Constants returns the coefficients with which all services start.
func Constants() Coefficients { return Coefficients{speed: 1, decode: 1, queue: 1} }

// learned returns what was learned, as far as it has not become too old.
func (s *Service) learned(now time.Time) Coefficients {
	weight := 1.0
	if age := now.Sub(s.observedAt); age > serviceTTL {
		weight = max(0, 1-float64(age-serviceTTL)/float64(serviceTTL))
	}
	return Coefficients{
		speed: 1 + (s.speed-1)*weight, decode: 1 + (s.decode-1)*weight, queue: 1 + (s.queue-1)*weight,
		full: s.full * weight, offset: s.offset * weight,
		observed: s.observations >= minObservations && weight > 0,
	}
}

// Observed reports whether the coefficients rest on enough recent observations.
func (c *Coefficients) Observed() bool { return c.observed }

// PrefillMillis returns the time to prefill prompt tokens at a runner of usual speed.
func (c *Coefficients) PrefillMillis(tokens int) float64 {
	return float64(tokens) / prefillTokensPerMilli * c.speed
}

// Scaled returns how long work takes that takes the given time by the constants.
func (c *Coefficients) Scaled(millis float64) float64 { return millis * c.speed }

// workMillis returns the time that the work takes at a runner of usual speed.
func (c *Coefficients) workMillis(w *Work) float64 {
	millis := float64(w.Tokens)/prefillTokensPerMilli + float64(w.Running)*decodeMillisPerRequest*c.decode + float64(w.Waiting)*queueMillisPerRequest*c.queue
	millis *= c.speed
	if c.full > 0 {
		millis += millis * c.full * w.fullness()
	}
	return millis
}

// fullness returns how far a runner is from nearlyFull, 0, to full, 1.
func (w *Work) fullness() float64 {
	if w.Slots <= 0 {
		return 0
	}
	share := float64(w.Running) / float64(w.Slots)
	return min(max(share-nearlyFull, 0)/(1-nearlyFull), 1)
}

// observe moves the coefficients towards a time that a runner of usual speed would have taken. The
// error is divided among them by their parts in the prediction (normalised least mean squares).
func (s *Service) observe(w *Work, millis float64, now time.Time) {
	c := s.learned(now)
	s.speed, s.decode, s.queue, s.full, s.offset = c.speed, c.decode, c.queue, c.full, c.offset
	decode := float64(w.Running) * decodeMillisPerRequest * c.speed
	queue := float64(w.Waiting) * queueMillisPerRequest * c.speed
	work := c.workMillis(w)
	speed := work / c.speed
	full := work * w.fullness()
	predicted := work + s.offset*offsetMillis
	// An outlier counts no more than a time at the bound of what can be learned.
	limit := (maxChange - 1) * (predicted + noiseMillis)
	miss := min(max(millis-predicted, -limit), limit)
	step := learningRate * miss /
		(speed*speed + decode*decode + queue*queue + full*full + offsetMillis*offsetMillis + noiseMillis*noiseMillis)
	s.speed = bounded(s.speed + step*speed)
	s.decode = bounded(s.decode + step*decode)
	s.queue = bounded(s.queue + step*queue)
	s.full = min(max(s.full+step*full, 0), maxFullSlowdown)
	s.offset = min(max(s.offset+step*offsetMillis, 0), maxOffset)
	if now.Sub(s.observedAt) >= 2*serviceTTL {
		s.observations = 0 // the earlier ones are forgotten
	}
	s.observations = min(s.observations+1, minObservations)
	s.observedAt = now
}

func bounded(factor float64) float64 { return min(max(factor, 1/maxChange), maxChange) }
