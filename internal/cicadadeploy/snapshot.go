// Package cicadadeploy models one version of a deployment: routes, services,
// organisations with their keys and prepaid budgets, and limits on callers.
//
// A Snapshot is immutable. The package performs no I/O and does not read the clock.
package cicadadeploy

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// The kinds of routes, by whether a request may run more than once.
const (
	KindAtMostOnce Kind = "once"       // a request runs at most once
	KindIdempotent Kind = "idempotent" // a request may run more than once
	KindStream     Kind = "stream"     // server-sent events; a request runs at most once unless the route is resumable
)

type (
	// Kind states whether requests of a route may run more than once.
	Kind string

	// Document is a version of the deployment as it is stored and sent to other
	// routers.
	Document struct {
		Version       uint64         `json:"version"`
		Routes        []Route        `json:"routes"`
		Services      []Service      `json:"services"`
		Organisations []Organisation `json:"organisations"`
		Limits        Limits         `json:"limits"`
		// RequiresKey states that requests need an API key unless their route is
		// public.
		RequiresKey bool `json:"keyed"`
	}

	// Route maps the requests for a host and path prefix to services.
	Route struct {
		Name   string `json:"name"`
		Host   string `json:"host"`
		Prefix string `json:"prefix"`
		Kind   Kind   `json:"kind"`
		// Timeout is the maximum time for which a request may wait.
		Timeout time.Duration `json:"timeout"`
		// LatencyObjective is the target for the time to the response, for
		// streams the time to the first event.
		LatencyObjective time.Duration `json:"objective"`
		// EventIntervalObjective is the target for the maximum interval between
		// two events of a stream.
		EventIntervalObjective time.Duration `json:"pauseObjective"`
		Priority               int           `json:"priority"` // 0 is the most urgent
		Targets                []Target      `json:"targets"`
		// MaxRunners is the maximum number of runners that a request may be sent to.
		MaxRunners int  `json:"maxRunners"`
		Public     bool `json:"public"`
		// Resumable states that a stream may be resumed at another runner.
		Resumable bool `json:"resumable"`
		// HasPromptParts states that requests list the parts of their prompt.
		HasPromptParts bool `json:"prompts"`
		// HomeRegions are the only regions whose runners may get requests; empty for all.
		HomeRegions []string `json:"homeRegions,omitempty"`
	}

	// Target is a service and its weight among the targets of a route.
	Target struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Service is a set of runners of one kind.
	Service struct {
		Name       string `json:"name"`
		HealthPath string `json:"healthPath"`
		// MaxConns is the maximum number of connections that a runner accepts
		// from all its clients.
		MaxConns int `json:"maxConns"`
		// WarmupRate is the number of requests per second that a runner tolerates within
		// WarmupPeriod of its start; zero if it needs no warm-up.
		WarmupRate   float64       `json:"warmupRate,omitempty"`
		WarmupPeriod time.Duration `json:"warmupPeriod,omitempty"`
		// Engine is nil unless the runners are model engines.
		Engine *Engine `json:"engine,omitempty"`
	}

	// Engine holds the properties of a model engine.
	Engine struct {
		Slots          int `json:"slots"`
		KVTokens       int `json:"kvTokens"`
		TokensPerEvent int `json:"tokensPerPart"` // output tokens in one event
	}

	// Organisation is a customer with its keys and its prepaid budget.
	Organisation struct {
		Name     string   `json:"name"`
		Keys     []string `json:"keys"`
		Priority *int     `json:"priority,omitempty"` // overrides the priority of the route
		// HomeRegions are the only regions whose runners may get requests; empty for all.
		HomeRegions []string `json:"homeRegions,omitempty"`
		// Prepaid is the total number of tokens that may be used; nil means no limit.
		Prepaid *int64 `json:"prepaid,omitempty"`
	}

	// Limits bound the size of a caller's requests and the time to send them.
	Limits struct {
		MaxHeaderBytes int           `json:"maxHeaderBytes"`
		MaxBodyBytes   int64         `json:"maxBodyBytes"`
		HeaderTimeout  time.Duration `json:"headerTimeout"`
		IdleTimeout    time.Duration `json:"idleTimeout"`
	}

	// Snapshot is an indexed document.
	Snapshot struct {
		doc      *Document
		byHost   map[string][]*Route // longest prefix first
		byKey    map[string]*Organisation
		services map[string]*Service
	}
)

// New validates and indexes a document.
func New(doc *Document) (*Snapshot, error) {
	s := &Snapshot{
		doc:      doc,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Organisation{},
		services: map[string]*Service{},
	}
	if doc.Version == 0 {
		return nil, errors.New("the configuration has no version")
	}
	for i := range doc.Services {
		s.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if len(r.Targets) == 0 {
			return nil, errors.Errorf("route %q names no service", r.Name)
		}
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
	for _, list := range s.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range doc.Organisations {
		for _, key := range doc.Organisations[i].Keys {
			s.byKey[key] = &doc.Organisations[i]
		}
	}
	return s, nil
}

// Version returns the document's version.
func (s *Snapshot) Version() uint64 { return s.doc.Version }

// Document returns the underlying document. It must not be modified.
func (s *Snapshot) Document() *Document { return s.doc }

// Limits returns the limits on callers.
func (s *Snapshot) Limits() Limits { return s.doc.Limits }

// RequiresKey reports whether requests on routes that are not public need an API
// key.
func (s *Snapshot) RequiresKey() bool { return s.doc.RequiresKey }

// Route returns the route of a host with the longest prefix of path, or nil.
func (s *Snapshot) Route(host, path string) *Route {
	if h, port, ok := strings.Cut(host, ":"); ok && port != "" {
		host = h
	}
	for _, r := range s.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that holds a key, or nil.
func (s *Snapshot) OrganisationByKey(key string) *Organisation { return s.byKey[key] }

// Service returns the service with a name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// CanRunAgain reports whether a request on the route may run more than once.
func (r *Route) CanRunAgain() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// SelectService returns the service for a request. The choice is the same for each
// call with the same id, and is distributed over ids in proportion to the weights.
func (r *Route) SelectService(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	remaining := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if remaining -= max(t.Weight, 0); remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
