package cicadaedge

import (
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
)

// maxPauseMeasured is the longest pause of this process with which a time still tells how fast a runner is.
const maxPauseMeasured = 20 * time.Millisecond

type (
	// forecast is what the router that places a request expects of it.
	forecast struct {
		FirstMillis    int64 `json:"firstMillis"`    // until the first event
		ConstantMillis int64 `json:"constantMillis"` // the same without the models of runners
		WaitMillis     int64 `json:"waitMillis"`     // for earlier requests
	}

	// firstEventRecord is the predicted and the actual time from the choice of a runner to the first event.
	firstEventRecord struct {
		forecast *forecast     // nil for a request without a prompt
		took     time.Duration // zero if there was no event
	}
)

// newForecast returns the forecast of an assignment, or nil for a request without a prompt.
func newForecast(a *cicadaplace.Assignment) *forecast {
	p, ok := a.Prediction()
	if !ok {
		return nil
	}
	return &forecast{FirstMillis: p.FirstEvent().Milliseconds(), ConstantMillis: p.WithConstants().Milliseconds(), WaitMillis: int64(a.WaitMillis())}
}

// predict records what is expected of a placement.
func (e *firstEventRecord) predict(p *placement) {
	*e = firstEventRecord{forecast: p.forecast}
	if e.forecast == nil {
		e.forecast = newForecast(p.Assignment)
	}
}

// recordFirstEvent compares the time to the first event of a stream with the predicted one. It returns the
// time, or zero if that says nothing about the runner: this process did not run meanwhile, or the runner
// repeated events that the caller has before the first one that was forwarded.
func (x *exchange) recordFirstEvent(now time.Time) time.Duration {
	e := &x.firstEvent
	if e.forecast == nil || x.pausedFor > maxPauseMeasured || x.info.LastEventID != "" {
		return 0
	}
	e.took = now.Sub(x.currentTry().startedAt)
	m := x.rt.cfg.Metrics
	m.FirstEventError.Record((e.took - time.Duration(e.forecast.FirstMillis)*time.Millisecond).Abs())
	m.ConstantsError.Record((e.took - time.Duration(e.forecast.ConstantMillis)*time.Millisecond).Abs())
	return e.took
}

// addTo adds the fields of the request's log line.
func (e *firstEventRecord) addTo(f log.Fields) {
	if e.forecast == nil {
		return
	}
	f["waitMillis"], f["predictedFirstMillis"] = e.forecast.WaitMillis, e.forecast.FirstMillis
	if e.took > 0 {
		f["actualFirstMillis"] = e.took.Milliseconds()
	}
}
