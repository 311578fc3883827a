// Package cicadaedge implements the router process on a platform that keeps the configuration, the
// list of runners and the budgets in a single store.
//
// The router parses and checks each request, and reserves, in the organisation's account, the
// largest number of units that the request may use (serve.go). An exchange sends the request to a
// runner and forwards the response (exchange.go, stream.go). Table watchers track the deployment,
// the runners and the pools (watch.go). The pool syncer draws budget units from the store
// (pool_sync.go). Routers that cannot reach the store get configuration and runners from those that
// can (peer_rpc.go).
//
// A Dialect parses the headers of callers and runners, so that platform-specific names stay in the
// platform's adapter.
package cicadaedge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaretry"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
)

type (
	// Store is the part of the platform's store that a router uses.
	Store interface {
		cicadastore.Tables
		cicadastore.ChangeFeed
	}

	// Sources locates the deployment and the runners in the store, and decodes them.
	Sources struct {
		DeploymentTable, DeploymentKey string
		// EvacuationPrefix is followed, in the keys of DeploymentTable, by the name of a data centre
		// that is evacuated as long as the row exists. DecodeEvacuation checks its value.
		EvacuationPrefix string
		DecodeEvacuation func(data []byte) error
		RunnerTable      string
		DecodeDeployment func(data []byte) (*cicadadeploy.Document, error)
		DecodeRunner     func(id string, data []byte) (cicadaplace.Entry, error)
	}

	// RequestInfo holds what the caller states in the headers of its request.
	RequestInfo struct {
		ID string
		// Timeout is how long the caller waits; zero if it does not state it.
		Timeout time.Duration
		APIKey  string // API key of the organisation; empty for none
		// PromptTokens and MaxOutputTokens bound the budget units that the request can use.
		PromptTokens, MaxOutputTokens int64
		PromptParts                   []cicadaplace.Part
		// LastEventID is set if the caller takes up a broken stream: the id of the last event that it has.
		// FirstRequestID is then the ID of the request that brought the first event.
		LastEventID, FirstRequestID string
	}

	// RunnerHeaders holds the values that the router adds to the headers of a request to a runner.
	RunnerHeaders struct {
		RunnerID     string
		Remaining    time.Duration // time until the deadline of the request, less deadlineHeadroom
		Organisation string
		Priority     int
		LastEventID  string // id of the last event that the caller received; empty for none
	}

	// ResponseInfo holds what a runner states in the headers of its response.
	ResponseInfo struct {
		RequestID string
		Sealed    bool // the runner has confirmed status and body
		NotRun    bool
		Load      *cicadaplace.Load
		// RateLimits are the rate limits that the runner advertises, in requests per second of all
		// routers together; empty for none. RateLimitErr is set if a value cannot be parsed.
		RateLimits   []float64
		RateLimitErr error
		// Brittle reports that the runner crashes if it has to reject more than BrittleRejections requests
		// in a second. BrittleErr is set if the number cannot be parsed.
		Brittle           bool
		BrittleRejections float64
		BrittleErr        error
		// Draining reports that the runner is about to leave.
		Draining bool
		// RetryAfter is how long the runner wants no requests of this router; zero if it does not
		// say so. RetryAfterErr is set if the value cannot be parsed.
		RetryAfter    time.Duration
		RetryAfterErr error
	}

	// Dialect reads and writes the headers of a platform.
	Dialect interface {
		ParseRequest(h http.Header) (RequestInfo, error)
		// StripRouterHeaders removes the headers of a caller that runners must not receive.
		StripRouterHeaders(h http.Header)
		SetRunnerHeaders(h http.Header, rh *RunnerHeaders)
		ParseResponse(resp *http.Response) ResponseInfo
		// RunnerID returns the id that a runner states in its response to a health check; empty for none.
		// Each process of a runner has its own.
		RunnerID(resp *http.Response) string
		// RefusalStatus returns the HTTP status for a refusal.
		RefusalStatus(k RefusalKind) int
	}

	// RuntimeSettings are settings that may change while a router runs.
	RuntimeSettings struct {
		RetryBudget cicadaretry.Config
		// ConfigDeadline is the time within which a new configuration must be applied.
		// ConfigDeadlineExtension is added to it to allow for outages of the store.
		ConfigDeadline, ConfigDeadlineExtension time.Duration
		// WarmupExcess and WarmupSlack bound the requests in any second to a runner that warms up, of
		// all routers together, to the service's rate times WarmupExcess, plus WarmupSlack.
		WarmupExcess, WarmupSlack float64
		// Seeds are peer addresses of other routers, used while no other router is known from the
		// store. They may be out of date.
		Seeds []string
	}

	// Config sets up a Router.
	Config struct {
		Name, DataCentre string
		// Regions maps data centres to their regions.
		Regions map[string]string
		// Host identifies the machine, address included. A later process with the same Host proves
		// that the earlier one has ended.
		Host string
		// BootID distinguishes this process from earlier ones on the same host. StartedAt is its
		// start time.
		BootID    string
		StartedAt time.Time
		// FirstStart is set when the whole system starts for the first time, so that the store
		// holds nothing yet that another router could know in a newer version.
		FirstStart     bool
		CallerListener net.Listener
		HealthListener net.Listener // readiness, metrics and state
		ReadyPath      string
		// PeerListener accepts calls of other routers; nil for none.
		PeerListener net.Listener
		// DialRunner opens connections to runners; nil for the default.
		DialRunner func(ctx context.Context, network, addr string) (net.Conn, error)
		Store      Store
		Sources    Sources
		Dialect    Dialect
		Runtime    RuntimeSettings
		// StopTimeout is the time between the stop signal and the kill.
		StopTimeout time.Duration
		// HoldPeriod is how long, after an outage of the store, runners stay in use whose entries
		// disappeared during it.
		HoldPeriod time.Duration
		// HeartbeatInterval is the time between two updates of a runner's entry.
		HeartbeatInterval time.Duration
		MaxOpenFiles      int
		// LinkMbps is the bandwidth of the host's link in Mbit/s; zero if it is not known.
		LinkMbps float64
		// MemoryLimitBytes is the memory limit at which the process is killed; zero for no limit.
		MemoryLimitBytes int64
		Log              log.Interface
		Metrics          *Metrics
	}
)
