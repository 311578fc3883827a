package cicadaedge

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
)

const (
	// mostLatency is the largest latency that a histogram tells apart, in
	// milliseconds; latencyDigits is its precision.
	mostLatency   = 60_000
	latencyDigits = 1
)

type (
	// Metrics are the counters of a process. They are its own variables and not
	// published globally, as several routers can run in one process.
	Metrics struct {
		Requests      expvar.Map // by outcome
		Errors        expvar.Map // by kind
		Store         expvar.Map // calls, failures and bytes by path
		InFlight      expvar.Int
		Dials         expvar.Int // connections to runners
		Resumed       expvar.Int // streams continued at another runner
		Retried       expvar.Int // requests sent to a second runner
		RateLimited   expvar.Int // answers that name a runner's limit
		DeployVersion expvar.Int
		FirstByte     *LatencyHistogram // to the first byte of an answer
		Total         *LatencyHistogram // to the end of an answer
		StoreCall     *LatencyHistogram
	}

	// LatencyHistogram is a histogram of milliseconds. Safe for concurrent use.
	LatencyHistogram struct {
		mu sync.Mutex // guards h
		h  *hdrhistogram.Histogram
	}
)

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{FirstByte: newLatency(), Total: newLatency(), StoreCall: newLatency()}
	m.Requests.Init()
	m.Errors.Init()
	m.Store.Init()
	return m
}

func newLatency() *LatencyHistogram {
	return &LatencyHistogram{h: hdrhistogram.New(1, mostLatency, latencyDigits)}
}

// Record adds one measurement.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Values beyond the range are counted at its end.
	_ = l.h.RecordValue(min(max(d.Milliseconds(), 1), mostLatency))
}

// String returns the quantiles as JSON, as expvar variables do.
func (l *LatencyHistogram) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"count":%d,"p50Millis":%d,"p90Millis":%d,"p99Millis":%d,"maxMillis":%d}`,
		l.h.TotalCount(), l.h.ValueAtQuantile(50), l.h.ValueAtQuantile(90), l.h.ValueAtQuantile(99), l.h.Max())
}

// RecordStoreCall counts a call to the store.
func (m *Metrics) RecordStoreCall(path string, took time.Duration, sent, received int, err error) {
	m.Store.Add(path, 1)
	m.Store.Add("bytesSent", int64(sent))
	m.Store.Add("bytesReceived", int64(received))
	if err != nil {
		m.Store.Add(path+" failed", 1)
	}
	m.StoreCall.Record(took)
}

// ServeHTTP writes the metrics as JSON text.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"requests":%s,"errors":%s,"store":%s,"inFlight":%s,"dials":%s,"resumed":%s,"repeated":%s,"limited":%s,`+
		`"deployVersion":%s,"firstByte":%s,"whole":%s,"storeCall":%s}`+"\n",
		m.Requests.String(), m.Errors.String(), m.Store.String(), m.InFlight.String(), m.Dials.String(), m.Resumed.String(),
		m.Retried.String(), m.RateLimited.String(), m.DeployVersion.String(), m.FirstByte, m.Total, m.StoreCall)
}

// logRequest writes the line of a request with what decided it.
func (rt *Router) logRequest(q *request, res *result, status int) {
	now := time.Now()
	outcome := "answered"
	switch {
	case res.refusal != nil:
		outcome = string(res.refusal.kind)
	case res.left:
		outcome = "callerLeft"
	case res.cut != nil:
		outcome = "cut"
	}
	rt.cfg.Metrics.Requests.Add(outcome, 1)
	rt.cfg.Metrics.Total.Record(now.Sub(q.arrived))
	if q.attempts > 1 {
		rt.cfg.Metrics.Retried.Add(int64(q.attempts - 1))
	}
	f := log.Fields{
		"requestId": q.demand.ID, "outcome": outcome, "status": status, "millis": now.Sub(q.arrived).Milliseconds(),
		"attempts": q.attempts, "runner": q.runner, "units": int64(q.reserved), "events": q.delivered,
		"estimateMillis": int64(q.cost), "cachedTokens": q.cached, "promptTokens": q.demand.PromptTokens,
	}
	if q.deploy != nil {
		f["version"] = q.deploy.Version()
		f["deployAgeMillis"] = rt.deployAge(now).Milliseconds()
	}
	if q.route != nil {
		f["route"] = q.route.Name
	}
	if q.limited {
		f["runnerRate"] = q.rate
	}
	if q.org != nil {
		f["organisation"] = q.org.Name
	}
	if !q.firstAt.IsZero() {
		rt.cfg.Metrics.FirstByte.Record(q.firstAt.Sub(q.arrived))
		f["firstMillis"] = q.firstAt.Sub(q.arrived).Milliseconds()
		f["longestPauseMillis"] = q.longestPause.Milliseconds()
	}
	if res.refusal != nil {
		f["detail"] = res.refusal.detail
	}
	if res.cut != nil {
		f["cut"] = res.cut.Error()
	}
	if q.cause != nil {
		f["cause"] = q.cause.Error()
	}
	rt.cfg.Log.WithFields(f).Info("request")
}
