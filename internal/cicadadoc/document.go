// Package cicadadoc is the service document: the one file in which the team
// that owns a service declares its organisations, budgets, upstreams and rules.
//
// Decode reads it strictly, Check finds every mistake with its place and a
// remedy, Diff shows what one version changes against another, and a Delta
// carries that change to the routers.
package cicadadoc

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Schema is the name and version of the document's format.
const Schema = "cicadadyke/v1"

type (
	// Duration is a time.Duration written as text, such as 30s.
	Duration time.Duration

	// UpstreamKind tells how an upstream is spoken to.
	UpstreamKind string

	// Preference tells which of the two measures a service fears more.
	Preference string

	// Priority orders requests under load.
	Priority string

	// Document is one service's declaration.
	Document struct {
		Schema        string         `yaml:"schema" json:"schema"`
		Service       string         `yaml:"service" json:"service"`
		BaseVersion   uint64         `yaml:"basedOn" json:"basedOn"`
		DataCentres   []DataCentre   `yaml:"places" json:"places"`
		Organisations []Organisation `yaml:"organisations" json:"organisations"`
		Budgets       []Budget       `yaml:"budgets" json:"budgets"`
		Upstreams     []Upstream     `yaml:"upstreams" json:"upstreams"`
		Rules         Rules          `yaml:"rules" json:"rules"`
	}

	// DataCentre is a data centre and the region that it lies in.
	DataCentre struct {
		Name   string `yaml:"name" json:"name"`
		Region string `yaml:"region" json:"region"`
	}

	// Organisation is a customer. Its API keys appear as digests only.
	Organisation struct {
		Name       string   `yaml:"name" json:"name"`
		KeyDigests []string `yaml:"keyDigests" json:"keyDigests"`
		Priority   Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
		Limits     Limits   `yaml:"limits,omitempty" json:"limits,omitzero"`
	}

	// Limits bound what an organisation may do at once, over the whole fleet.
	// Zero is no limit.
	Limits struct {
		Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
		RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	}

	// Budget is a prepaid amount. Prepaid is the total of all payments ever
	// made, so that applying a top-up twice changes nothing.
	Budget struct {
		Name         string             `yaml:"name" json:"name"`
		Organisation string             `yaml:"organisation" json:"organisation"`
		Prepaid      cicadabudget.Units `yaml:"prepaid" json:"prepaid"`
	}

	// Upstream is a group of runners that serve the same requests.
	Upstream struct {
		Name   string       `yaml:"name" json:"name"`
		Kind   UpstreamKind `yaml:"kind" json:"kind"`
		Models []string     `yaml:"models,omitempty" json:"models,omitempty"`
		// ChecksFencing tells that the runners refuse orders and requests
		// with an old fencing number.
		ChecksFencing bool `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
		ReportsLoad   bool `yaml:"reportsLoad,omitempty" json:"reportsLoad,omitempty"`
		// NonIdempotent lists the calls of a plain service that may run at
		// most once, as a method and a path prefix: POST /transfers.
		NonIdempotent []string `yaml:"nonIdempotent,omitempty" json:"nonIdempotent,omitempty"`
		// UnitsPerCall is the charge of one call of a plain service.
		UnitsPerCall cicadabudget.Units `yaml:"unitsPerCall,omitempty" json:"unitsPerCall,omitempty"`
		Runners      []Runner           `yaml:"runners" json:"runners"`
	}

	// Runner is one process of an upstream.
	Runner struct {
		Name       string `yaml:"name" json:"name"`
		Address    string `yaml:"address" json:"address"`
		DataCentre string `yaml:"place" json:"place"`
		Capacity   int    `yaml:"capacity" json:"capacity"`
		// Draining stops new work for the runner.
		Draining bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	}

	// Rules are the service's decisions on routing, limits and retries.
	Rules struct {
		Preference        Preference `yaml:"weight" json:"weight"`
		DefaultMaxTokens  int        `yaml:"defaultMaxTokens,omitempty" json:"defaultMaxTokens,omitempty"`
		MaxTokens         int        `yaml:"maxTokens,omitempty" json:"maxTokens,omitempty"`
		RequestDeadline   Duration   `yaml:"requestDeadline,omitempty" json:"requestDeadline,omitempty"`
		FirstByteDeadline Duration   `yaml:"firstByteDeadline,omitempty" json:"firstByteDeadline,omitempty"`
		ProgressTimeout   Duration   `yaml:"progressTimeout,omitempty" json:"progressTimeout,omitempty"`
		// AdmissionWait is how long a request may wait for units or for a
		// free runner before it is refused.
		AdmissionWait Duration `yaml:"admissionWait,omitempty" json:"admissionWait,omitempty"`
		// RetryPercent bounds retries to a share of the requests.
		RetryPercent int `yaml:"retryPercent,omitempty" json:"retryPercent,omitempty"`
		// KeyWindow is how long an idempotency key is remembered.
		KeyWindow Duration `yaml:"keyWindow,omitempty" json:"keyWindow,omitempty"`
		// LocalFirst prefers runners in the router's own place.
		LocalFirst *bool `yaml:"localFirst,omitempty" json:"localFirst,omitempty"`
	}
)

// The kinds of upstream.
const (
	KindModelEngine  UpstreamKind = "modelEngine"
	KindPlainService UpstreamKind = "plainService"
)

// The weights between the two measures.
const (
	PreferNoOverspend     Preference = "overspend"
	PreferNoFalseRefusals Preference = "falseRefusals"
)

// The priorities of requests.
const (
	PriorityLive  Priority = "live"
	PriorityBatch Priority = "batch"
)

// Defaults of the rules.
const (
	DefaultMaxTokens         = 512
	DefaultMaxTokensCeiling  = 4096
	DefaultRequestDeadline   = 60 * time.Second
	DefaultFirstByteDeadline = 5 * time.Second
	DefaultProgressTimeout   = 3 * time.Second
	DefaultAdmissionWait     = 400 * time.Millisecond
	DefaultRetryPercent      = 10
	DefaultKeyWindow         = 15 * time.Minute
	// MaxRequestDeadline is the longest a request may run in any service.
	MaxRequestDeadline = 10 * time.Minute
)

// MarshalText writes d like 1m30s.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration; write it like 500ms, 30s or 2m", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML reads a duration and reports the place of one that is none.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	tok := node.GetToken()
	if err := d.UnmarshalText([]byte(tok.Value)); err != nil {
		return &valueError{token: tok, cause: err}
	}
	return nil
}

// WithDefaults returns the rules with every omitted value filled in.
func (r Rules) WithDefaults() Rules {
	setDefault(&r.DefaultMaxTokens, DefaultMaxTokens)
	setDefault(&r.MaxTokens, max(DefaultMaxTokensCeiling, r.DefaultMaxTokens))
	setDefault(&r.RequestDeadline, Duration(DefaultRequestDeadline))
	setDefault(&r.FirstByteDeadline, Duration(min(DefaultFirstByteDeadline, time.Duration(r.RequestDeadline))))
	setDefault(&r.ProgressTimeout, Duration(min(DefaultProgressTimeout, time.Duration(r.RequestDeadline))))
	setDefault(&r.AdmissionWait, Duration(DefaultAdmissionWait))
	setDefault(&r.RetryPercent, DefaultRetryPercent)
	setDefault(&r.KeyWindow, Duration(DefaultKeyWindow))
	if r.LocalFirst == nil {
		local := true
		r.LocalFirst = &local
	}
	return r
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// BudgetID returns the fleet-wide name of a service's budget.
func BudgetID(service, budget string) string { return service + "/" + budget }

// RegionOf returns the region of a place, or an empty string.
func (d *Document) RegionOf(place string) string {
	for _, p := range d.DataCentres {
		if p.Name == place {
			return p.Region
		}
	}
	return ""
}

// Regions lists the regions of the document's places, each once.
func (d *Document) Regions() []string {
	var out []string
	seen := make(map[string]bool)
	for _, p := range d.DataCentres {
		if !seen[p.Region] {
			seen[p.Region] = true
			out = append(out, p.Region)
		}
	}
	return out
}
