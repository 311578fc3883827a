// Package cicadadoc defines the service document: the file in which the owners of
// a service declare its organisations, budgets, upstreams and rules.
//
// Decode parses and validates a document and reports all problems with their
// positions and remedies. Diff compares two versions; the resulting Delta is sent
// to the routers.
package cicadadoc

import (
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Schema is the name and version of the document format.
const Schema = "cicadadyke/v1"

type (
	// Duration is a time.Duration that is encoded as text, such as 30s.
	Duration time.Duration

	// UpstreamKind selects the protocol of an upstream.
	UpstreamKind string

	// Preference states which of two errors a service rather avoids: spending
	// more than the prepaid units, or refusing requests that could be paid for.
	Preference string

	// Priority determines which requests are served first under load.
	Priority string

	// Document is the configuration of one service.
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

	// DataCentre is a data centre and its region.
	DataCentre struct {
		Name   string `yaml:"name" json:"name"`
		Region string `yaml:"region" json:"region"`
	}

	// Organisation is a customer. The document holds only digests of its API keys.
	Organisation struct {
		Name       string   `yaml:"name" json:"name"`
		KeyDigests []string `yaml:"keyDigests" json:"keyDigests"`
		Priority   Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
		Limits     Limits   `yaml:"limits,omitempty" json:"limits,omitzero"`
	}

	// Limits are the limits of an organisation on the whole fleet. Zero means
	// no limit.
	Limits struct {
		Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
		RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	}

	// Budget is a prepaid amount of units. Prepaid is the total of all payments
	// made so far, so applying a top-up twice has no effect.
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
		// ChecksFencing states that the runners refuse commands and requests
		// with an outdated fencing number.
		ChecksFencing bool `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
		ReportsLoad   bool `yaml:"reportsLoad,omitempty" json:"reportsLoad,omitempty"`
		// NonIdempotent lists the calls of a plain service that must not run
		// more than once, each as a method and a path prefix: POST /transfers.
		NonIdempotent []string `yaml:"nonIdempotent,omitempty" json:"nonIdempotent,omitempty"`
		// UnitsPerCall is the charge for one call of a plain service.
		UnitsPerCall cicadabudget.Units `yaml:"unitsPerCall,omitempty" json:"unitsPerCall,omitempty"`
		Runners      []Runner           `yaml:"runners" json:"runners"`
	}

	// Runner is one process of an upstream.
	Runner struct {
		Name       string `yaml:"name" json:"name"`
		Address    string `yaml:"address" json:"address"`
		DataCentre string `yaml:"place" json:"place"`
		Capacity   int    `yaml:"capacity" json:"capacity"`
		// Draining means that the runner gets no new requests.
		Draining bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	}

	// Rules configure routing, limits and retries of a service.
	Rules struct {
		Preference        Preference `yaml:"weight" json:"weight"`
		DefaultMaxTokens  int        `yaml:"defaultMaxTokens,omitempty" json:"defaultMaxTokens,omitempty"`
		MaxTokens         int        `yaml:"maxTokens,omitempty" json:"maxTokens,omitempty"`
		RequestDeadline   Duration   `yaml:"requestDeadline,omitempty" json:"requestDeadline,omitempty"`
		FirstByteDeadline Duration   `yaml:"firstByteDeadline,omitempty" json:"firstByteDeadline,omitempty"`
		ProgressTimeout   Duration   `yaml:"progressTimeout,omitempty" json:"progressTimeout,omitempty"`
		// AdmissionWait is the time for which a request may wait for units or
		// for a free runner before it is refused.
		AdmissionWait Duration `yaml:"admissionWait,omitempty" json:"admissionWait,omitempty"`
		// RetryPercent is the maximum number of retries in percent of the requests.
		RetryPercent int `yaml:"retryPercent,omitempty" json:"retryPercent,omitempty"`
		// KeyWindow is the time for which an idempotency key is stored.
		KeyWindow Duration `yaml:"keyWindow,omitempty" json:"keyWindow,omitempty"`
		// LocalFirst prefers runners in the router's own data centre.
		LocalFirst *bool `yaml:"localFirst,omitempty" json:"localFirst,omitempty"`
	}
)

// The kinds of upstreams.
const (
	KindModelEngine  UpstreamKind = "modelEngine"
	KindPlainService UpstreamKind = "plainService"
)

// The preferences of a service.
const (
	PreferNoOverspend     Preference = "overspend"
	PreferNoFalseRefusals Preference = "falseRefusals"
)

// The priorities of requests, the higher one first.
const (
	PriorityLive  Priority = "live"
	PriorityBatch Priority = "batch"
)

// Defaults and limits of the rules.
const (
	DefaultMaxTokens         = 512
	DefaultMaxTokensCeiling  = 4096
	DefaultRequestDeadline   = 60 * time.Second
	DefaultFirstByteDeadline = 5 * time.Second
	DefaultProgressTimeout   = 3 * time.Second
	DefaultAdmissionWait     = 400 * time.Millisecond
	DefaultRetryPercent      = 10
	DefaultKeyWindow         = 15 * time.Minute
	// MaxRequestDeadline is the upper limit of RequestDeadline.
	MaxRequestDeadline = 10 * time.Minute
)

// MarshalText formats d, for example as 1m30s.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the format that MarshalText writes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; write it like 500ms, 30s or 2m", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML parses a duration. The error for an invalid one has its position.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	tok := node.GetToken()
	if err := d.UnmarshalText([]byte(tok.Value)); err != nil {
		return &valueError{token: tok, cause: err}
	}
	return nil
}

// WithDefaults returns the rules with defaults for all omitted values.
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

// BudgetID returns the identifier of a service's budget, unique in the fleet.
func BudgetID(service, budget string) string { return service + "/" + budget }

// RegionOf returns the region of a data centre, or an empty string if the data
// centre is not declared.
func (d *Document) RegionOf(dataCentre string) string {
	for _, p := range d.DataCentres {
		if p.Name == dataCentre {
			return p.Region
		}
	}
	return ""
}

// Regions returns the regions of the document's data centres without duplicates.
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
