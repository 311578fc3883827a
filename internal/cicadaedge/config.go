// Package cicadaedge is the router process on a platform that keeps
// configuration, list of runners and budgets in one store.
//
// A request takes one way: serve reads and checks it (serve.go), reserves its
// worst case in the organisation's account, and an exchange sends it to a runner
// and forwards the answer (exchange.go, stream.go). Followers keep the view of
// deployment, runners and pools (follow.go); the bank draws slices of budgets
// from the store (bank.go); the relay lets routers that the store turns away
// learn from those that it serves (relay.go).
//
// What a caller or a runner says is read by a Dialect, so that the names of a
// platform stay in its adapter.
package cicadaedge

import (
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
	// Store is what a router needs of the platform's store.
	Store interface {
		cicadastore.Tables
		cicadastore.ChangeFeed
	}

	// Sources tells where deployment and runners stand in the store, and reads
	// them.
	Sources struct {
		DeploymentTable, DeploymentKey string
		RunnerTable                    string
		DecodeDeployment               func(data []byte) (*cicadadeploy.Document, error)
		DecodeRunner                   func(id string, data []byte) (cicadaplace.Entry, error)
	}

	// RequestInfo is what a caller says of its request.
	RequestInfo struct {
		ID string
		// Timeout is how long the caller waits; zero if it does not say.
		Timeout time.Duration
		APIKey  string // of its organisation; empty for none
		// PromptTokens and MaxOutput bound what the request can use of a budget.
		PromptTokens, MaxOutputTokens int64
		PromptParts                   []cicadaplace.Part
	}

	// RunnerHeaders is what a runner is told of a request beside what the caller said.
	RunnerHeaders struct {
		RunnerID     string
		Remaining    time.Duration // until the caller or the route gives up
		Organisation string
		Priority     int
		LastEventID  string // id of the last event that the caller has; empty for none
	}

	// ResponseInfo is what a runner says with its answer beside status and body.
	ResponseInfo struct {
		RequestID string
		Sealed    bool // the runner stands for status and body
		NotRun    bool
		Load      *cicadaplace.Load
		// RateLimits are the rate limits that the runner announces, in requests a second of
		// all routers together; empty for none. RateErr is why one cannot be read.
		RateLimits   []float64
		RateLimitErr error
	}

	// Dialect reads and writes a platform's headers.
	Dialect interface {
		ParseRequest(h http.Header) (RequestInfo, error)
		// StripRouterHeaders removes from a caller's header what runners may not see.
		StripRouterHeaders(h http.Header)
		SetRunnerHeaders(h http.Header, m *RunnerHeaders)
		ParseResponse(resp *http.Response) ResponseInfo
		// RefusalStatus is the HTTP status of a refusal.
		RefusalStatus(k RefusalKind) int
	}

	// RuntimeSettings are settings that may change while a router runs.
	RuntimeSettings struct {
		RetryBudget cicadaretry.Config
		// ConfigDeadline is the time within which a change must be in force, and
		// Stretch what is added while the store is unsure.
		ConfigDeadline, ConfigDeadlineExtension time.Duration
		// Seeds are relay addresses of other routers that may be stale.
		Seeds []string
	}

	// Config sets up a Router.
	Config struct {
		Name, DataCentre string
		// Host names the machine, address included: a later process of the same
		// Host proves that the earlier one has ended.
		Host string
		// BootID tells this process from earlier ones on the same host, Began is
		// when it started.
		BootID    string
		StartedAt time.Time
		// FirstStart tells that the whole system starts for the first time: there
		// is nothing in the store that another router could know better.
		FirstStart     bool
		CallerListener net.Listener
		HealthListener net.Listener // readiness, metrics, state
		ReadyPath      string
		// PeerListener is where other routers ask; nil for no relay.
		PeerListener net.Listener
		Store        Store
		Sources      Sources
		Dialect      Dialect
		Runtime      RuntimeSettings
		// StopTimeout is the time between the signal to stop and the kill.
		StopTimeout time.Duration
		// HoldPeriod is for how long after an outage of the store the entries
		// that vanished in it are kept.
		HoldPeriod time.Duration
		// HeartbeatInterval is the time between two writings of a runner's entry.
		HeartbeatInterval time.Duration
		MaxOpenFiles      int
		// MemoryLimitBytes is the memory beyond which the process is killed; zero if it is not
		// bounded.
		MemoryLimitBytes int64
		Log              log.Interface
		Metrics          *Metrics
	}
)
