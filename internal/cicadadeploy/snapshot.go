// Package cicadadeploy models one version of a deployment: routes, services,
// organisations with their keys and prepaid budgets, and limits on callers.
//
// A Snapshot never changes once built. The package does no input or output and
// reads no clock.
package cicadadeploy

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// The kinds of route, by what may be repeated.
const (
	KindAtMostOnce Kind = "once"       // at most one run for each request
	KindIdempotent Kind = "idempotent" // may run more than once
	KindStream     Kind = "stream"     // server-sent events, at most one run unless resumable
)

type (
	// Kind tells what may be repeated on a route.
	Kind string

	// Document is a version of the deployment as it is stored and relayed.
	Document struct {
		Version       uint64         `json:"version"`
		Routes        []Route        `json:"routes"`
		Services      []Service      `json:"services"`
		Organisations []Organisation `json:"organisations"`
		Limits        Limits         `json:"limits"`
		// RequiresKey tells that requests need a key, unless their route is public.
		RequiresKey bool `json:"keyed"`
	}

	// Route sends requests of a host and path prefix to a service.
	Route struct {
		Name   string `json:"name"`
		Host   string `json:"host"`
		Prefix string `json:"prefix"`
		Kind   Kind   `json:"kind"`
		// Timeout is the longest time that a request may be kept waiting.
		Timeout time.Duration `json:"timeout"`
		// LatencyObjective is the time to the answer, for streams to the first event.
		LatencyObjective time.Duration `json:"objective"`
		// EventIntervalObjective is the longest pause between two events of a stream.
		EventIntervalObjective time.Duration `json:"pauseObjective"`
		Priority               int           `json:"priority"` // 0 is the most urgent
		Targets                []Target      `json:"targets"`
		// MaxRunners is the most runners that one request may be sent to.
		MaxRunners int  `json:"maxRunners"`
		Public     bool `json:"public"`
		// Resumable tells that a stream may go on at another runner.
		Resumable bool `json:"resumable"`
		// HasPromptParts tells that requests carry their prompt's parts.
		HasPromptParts bool `json:"prompts"`
	}

	// Target is a service with its share of a route's requests.
	Target struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Service is a set of runners of one kind.
	Service struct {
		Name       string `json:"name"`
		HealthPath string `json:"healthPath"`
		// MaxConns is the most connections that a runner takes from all callers.
		MaxConns int `json:"maxConns"`
		// Engine is set for services whose runners are model engines.
		Engine *Engine `json:"engine,omitempty"`
	}

	// Engine describes a model engine.
	Engine struct {
		Slots          int `json:"slots"`
		KVTokens       int `json:"kvTokens"`
		TokensPerEvent int `json:"tokensPerPart"` // output tokens in one event
	}

	// Organisation is a customer with its keys and its prepaid budget.
	Organisation struct {
		Name     string   `json:"name"`
		Keys     []string `json:"keys"`
		Priority *int     `json:"priority,omitempty"` // goes before the route's
		// Prepaid is the most that may be used in all, in tokens; nil for no bound.
		Prepaid *int64 `json:"prepaid,omitempty"`
	}

	// Limits bound what a caller may send and how long it may take.
	Limits struct {
		MaxHeaderBytes int           `json:"maxHeaderBytes"`
		MaxBodyBytes   int64         `json:"maxBodyBytes"`
		HeaderTimeout  time.Duration `json:"headerTimeout"`
		IdleTimeout    time.Duration `json:"idleTimeout"`
	}

	// Snapshot is a document with its indexes.
	Snapshot struct {
		doc      *Document
		byHost   map[string][]*Route // longest prefix first
		byKey    map[string]*Organisation
		services map[string]*Service
	}
)

// New checks a document and indexes it.
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

// Document returns what the snapshot was made from. It must not be changed.
func (s *Snapshot) Document() *Document { return s.doc }

// Limits returns the bounds on callers.
func (s *Snapshot) Limits() Limits { return s.doc.Limits }

// RequiresKey tells whether requests on routes that are not public need a key.
func (s *Snapshot) RequiresKey() bool { return s.doc.RequiresKey }

// Route returns the route with the longest prefix of path at host, or nil.
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

// Service returns a service by name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// CanRunAgain tells whether a request on the route may run more than once.
func (r *Route) CanRunAgain() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// SelectService returns the service for a request: the same one each time for the same
// id, and in proportion to the weights over many ids.
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
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if at -= max(t.Weight, 0); at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
