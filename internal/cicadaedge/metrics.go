package cicadaedge

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMillis is the largest latency of a histogram; latencyDigits is its precision in
	// significant digits.
	maxLatencyMillis = 60_000
	latencyDigits    = 1
)

type (
	// Metrics holds the counters of a router. They are not published globally, since several
	// routers can run in one process.
	Metrics struct {
		Requests expvar.Map // by outcome
		Errors   expvar.Map // by kind
		Ingress  expvar.Map // limits that clients reached, by limit
		Store    expvar.Map // calls, failures and bytes by path
		TakeUps  expvar.Map // broken streams that callers take up, by how it is known where they began
		InFlight expvar.Int
		Dials    expvar.Int // connections dialled to runners
		Relayed  expvar.Int // connections to runners through other routers
		// RelayedForOthers counts the connections to runners that other routers asked for.
		RelayedForOthers expvar.Int
		RelayedRunners   expvar.Int // runners that are reached through other routers only
		Resumed          expvar.Int // streams continued at another runner
		Retried          expvar.Int // retries: attempts after the first one of a request
		RateLimited      expvar.Int // responses that advertise a rate limit
		Paused           expvar.Int // responses of runners that want no requests for a while
		RoomWaits        expvar.Int // waits of requests for room at brittle runners
		Evacuated        expvar.Int // data centres that are evacuated now
		LinkOverloads    expvar.Int
		Crashes          expvar.Int // crashes of runners while they served requests of this router
		Quarantined      expvar.Int // requests refused or not repeated because they are in quarantine
		Blocks           expvar.Int // sets of traits that are in quarantine now
		DeployVersion    expvar.Int
		FirstByte        *LatencyHistogram // until the first byte of a response
		Total            *LatencyHistogram // until the end of a response
		StoreCall        *LatencyHistogram
		// FirstEventError is the error of the predicted times to the first event. ConstantsError is what it
		// would be without the models of runners, by which their gain is measured.
		FirstEventError *LatencyHistogram
		ConstantsError  *LatencyHistogram
	}

	// LatencyHistogram is a histogram of latencies in milliseconds. It is safe for concurrent use.
	LatencyHistogram struct {
		mu sync.Mutex // guards h
		h  *hdrhistogram.Histogram
	}
)

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		FirstByte: newLatencyHistogram(), Total: newLatencyHistogram(), StoreCall: newLatencyHistogram(),
		FirstEventError: newLatencyHistogram(), ConstantsError: newLatencyHistogram(),
	}
	m.Requests.Init()
	m.Errors.Init()
	m.Ingress.Init()
	m.Store.Init()
	m.TakeUps.Init()
	return m
}

func newLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{h: hdrhistogram.New(1, maxLatencyMillis, latencyDigits)}
}

// Record adds one sample.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Values out of range are counted in the first or last bucket.
	_ = l.h.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMillis))
}

// String returns the quantiles as JSON, in the manner of expvar variables.
func (l *LatencyHistogram) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"count":%d,"p50Millis":%d,"p90Millis":%d,"p99Millis":%d,"maxMillis":%d}`,
		l.h.TotalCount(), l.h.ValueAtQuantile(50), l.h.ValueAtQuantile(90), l.h.ValueAtQuantile(99), l.h.Max())
}

// RecordStoreCall records a call to the store.
func (m *Metrics) RecordStoreCall(path string, took time.Duration, sent, received int, err error) {
	m.Store.Add(path, 1)
	m.Store.Add("bytesSent", int64(sent))
	m.Store.Add("bytesReceived", int64(received))
	if err != nil {
		m.Store.Add(path+" failed", 1)
	}
	m.StoreCall.Record(took)
}

// ServeHTTP writes the metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"requests":%s,"errors":%s,"ingress":%s,"store":%s,"inFlight":%s,"dials":%s,"relayed":%s,"relayedForOthers":%s,`+
		`"relayedRunners":%s,"resumed":%s,"takeUps":%s,"repeated":%s,"limited":%s,"paused":%s,"roomWaits":%s,"evacuated":%s,"linkOverloads":%s,`+
		`"crashes":%s,"quarantined":%s,"blocks":%s,"deployVersion":%s,"firstByte":%s,"whole":%s,"storeCall":%s,`+
		`"firstEventError":%s,"constantsError":%s}`+"\n",
		m.Requests.String(), m.Errors.String(), m.Ingress.String(), m.Store.String(), m.InFlight.String(), m.Dials.String(), m.Relayed.String(),
		m.RelayedForOthers.String(), m.RelayedRunners.String(), m.Resumed.String(), m.TakeUps.String(),
		m.Retried.String(), m.RateLimited.String(), m.Paused.String(), m.RoomWaits.String(), m.Evacuated.String(), m.LinkOverloads.String(),
		m.Crashes.String(), m.Quarantined.String(), m.Blocks.String(), m.DeployVersion.String(), m.FirstByte, m.Total, m.StoreCall,
		m.FirstEventError, m.ConstantsError)
}
