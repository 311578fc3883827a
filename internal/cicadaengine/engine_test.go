package cicadaengine_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaengine"
)

var start = time.Unix(1_700_000_000, 0)

// observe has a runner take a multiple of the time by the constants for a prompt of the usual size, with a
// number of requests each second apart, and returns the time of the last one.
func observe(s *cicadaengine.Service, r *cicadaengine.Runner, factor float64, n int, every time.Duration, now time.Time) time.Time {
	for range n {
		now = now.Add(every)
		c := s.Coefficients(now)
		p := r.Predict(&c, cicadaengine.Work{Tokens: 8000}, now)
		r.ObserveFirstEvent(&p, time.Duration(float64(p.WithConstants())*factor), now)
	}
	return now
}

func estimate(s *cicadaengine.Service, r *cicadaengine.Runner, w cicadaengine.Work, now time.Time) float64 {
	c := s.Coefficients(now)
	return r.Millis(&c, &w, now)
}

// TestServiceWithoutObservations guards against another placing where nothing is observed: the estimates
// are those of the constants to the last bit. After a silence they are again.
func TestServiceWithoutObservations(t *testing.T) {
	models := cicadaengine.NewModels()
	s, r := models.Service("s"), models.Runner("s")
	end := observe(models.Service("other"), models.Runner("other"), 3, 100, time.Second, start)
	quiet := observe(models.Service("quiet"), models.Runner("quiet"), 3, 100, time.Second, start).Add(2 * time.Minute)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		w := cicadaengine.Work{Tokens: rng.IntN(100_000), Running: rng.IntN(70), Waiting: rng.IntN(20), Slots: 64}
		want := float64(w.Tokens)/55.0 + float64(w.Running)*0.4 + float64(w.Waiting)*70.0
		if got := estimate(s, r, w, end); got != want {
			t.Fatalf("%+v takes %v ms, want %v", w, got, want)
		}
		if got := estimate(models.Service("quiet"), models.Runner("quiet"), w, quiet); got != want {
			t.Fatalf("%+v takes %v ms after a silence, want %v", w, got, want)
		}
	}
}

// TestEstimatesAreBounded guards against a runner that goes out of use for outlying times and reports, or
// attracts all requests.
func TestEstimatesAreBounded(t *testing.T) {
	w := cicadaengine.Work{Tokens: 8000, Running: 30, Slots: 64}
	for name, c := range map[string]struct {
		observe func(s *cicadaengine.Service, r *cicadaengine.Runner) time.Time
		min     float64 // of the estimate, relative to that by the constants
		max     float64
	}{
		"one time of 50 s": {func(s *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			return observe(s, r, 350, 1, time.Second, start)
		}, 1, 1.4},
		"times of 50 s": {func(s *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			return observe(s, r, 350, 1000, 100*time.Millisecond, start)
		}, 2, 9},
		"times of nothing": {func(s *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			return observe(s, r, 0, 1000, 100*time.Millisecond, start)
		}, 1.0 / 9, 0.5},
		"a negative time": {func(s *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			return observe(s, r, -5, 100, time.Second, start)
		}, 1, 1},
		"a slowness of a million": {func(_ *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			r.ObserveLoad(100_000_000, start)
			return start
		}, 1.5, 2},
		"a negative slowness": {func(_ *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			r.ObserveLoad(-100, start)
			return start
		}, 1, 1},
		"a stale slowness": {func(_ *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			r.ObserveLoad(300, start)
			return start.Add(200 * time.Millisecond)
		}, 1, 1},
		"a clock that steps back": {func(s *cicadaengine.Service, r *cicadaengine.Runner) time.Time {
			r.ObserveLoad(300, start)
			return observe(s, r, 1, 1, -time.Hour, start)
		}, 0.5, 2},
	} {
		t.Run(name, func(t *testing.T) {
			models := cicadaengine.NewModels()
			s, r := models.Service("s"), models.Runner("s")
			now := c.observe(s, r)
			got := estimate(s, r, w, now) / (8000/55.0 + 30*0.4)
			if math.IsNaN(got) || got < c.min || got > c.max {
				t.Errorf("the estimate is %.3f times that by the constants, want %.3f to %.3f", got, c.min, c.max)
			}
		})
	}
}

// TestRunnersAreToldApart checks what a router learns in 10 s: one that places a group sees 10 requests of
// each of 90 runners, and one with a sixtieth of the traffic 62 in all, of different runners.
func TestRunnersAreToldApart(t *testing.T) {
	models := cicadaengine.NewModels()
	s := models.Service("s")
	runners := map[float64]*cicadaengine.Runner{0.6: models.Runner("s"), 1: models.Runner("s"), 1.6: models.Runner("s")}
	now := start
	for range 10 {
		for factor, r := range runners {
			observe(s, r, factor, 1, 0, now)
		}
		now = now.Add(time.Second)
	}
	fast, usual, slow := runners[0.6].Factor(now), runners[1].Factor(now), runners[1.6].Factor(now)
	t.Logf("factors after 10 requests each: %.2f, %.2f, %.2f", fast, usual, slow)
	if fast > 0.97 || usual < 0.95 || usual > 1.05 || slow < 1.05 {
		t.Errorf("runners with the factors 0.6, 1 and 1.6 are told apart as %.2f, %.2f and %.2f", fast, usual, slow)
	}

	small := models.Service("small")
	for range 62 {
		now = observe(small, models.Runner("small"), 1.6, 1, 160*time.Millisecond, now)
	}
	fresh := models.Runner("small")
	got := estimate(small, fresh, cicadaengine.Work{Tokens: 8000}, now) / (8000 / 55.0)
	t.Logf("a service with the factor 1.6 is taken for %.2f after 62 requests", got)
	if got < 1.2 || got > 1.6 {
		t.Errorf("a service with the factor 1.6 is taken for %.2f after 62 requests, want 1.2 to 1.6", got)
	}
}

// TestFullRunnersAreSlower guards against requests that are sent to a runner with its last slots as if it
// were as fast as the others.
func TestFullRunnersAreSlower(t *testing.T) {
	models := cicadaengine.NewModels()
	s, r := models.Service("s"), models.Runner("s")
	full, half := cicadaengine.Work{Tokens: 8000, Running: 64, Slots: 64}, cicadaengine.Work{Tokens: 8000, Running: 32, Slots: 64}
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		for w, factor := range map[cicadaengine.Work]float64{full: 1.8, half: 1} {
			c := s.Coefficients(now)
			p := r.Predict(&c, w, now)
			r.ObserveFirstEvent(&p, time.Duration(float64(p.WithConstants())*factor), now)
		}
	}
	if got := estimate(s, r, full, now) / estimate(s, r, half, now); got < 1.5 || got > 2.2 {
		t.Errorf("a full runner takes %.2f times as long as one that is half full, want about 1.8", got)
	}
}
