package cicadadoc

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// ErrBaseMismatch is returned when a delta is based on another version of the
// document than the one it is applied to.
var ErrBaseMismatch = errors.New("delta is based on another version of the document")

type (
	// Entity is one JSON-encoded part of a document: an organisation, a budget,
	// an upstream, a data centre, or the rules.
	Entity struct {
		Name  string          `json:"name"` // kind and name, such as budget/acme-2026
		Value json.RawMessage `json:"value,omitempty"`
	}

	// Delta holds the changes from version BaseVersion of a service's document
	// to Version.
	Delta struct {
		Service     string   `json:"service"`
		BaseVersion uint64   `json:"base"`
		Version     uint64   `json:"version"`
		Changed     []Entity `json:"changed,omitempty"`
		Removed     []string `json:"removed,omitempty"`
	}

	// Change is one difference between two documents, for display.
	Change struct {
		Entity string `json:"entity"`
		Before string `json:"before,omitempty"`
		After  string `json:"after,omitempty"`
	}
)

// Kinds of entities. An entity's name is its kind, a slash and the name within
// the document; the rules have the kind only.
const (
	entityDataCentre   = "place"
	entityOrganisation = "organisation"
	entityBudget       = "budget"
	entityUpstream     = "upstream"
	entityRules        = "rules"
)

// Digest returns a digest of the document's entities. It does not depend on the
// order of the entities in the document or on BaseVersion, but on the order of the
// lists within an entity, such as the runners of an upstream.
func (d *Document) Digest() string {
	sum := sha256.New()
	for _, e := range d.entities() {
		sum.Write([]byte(e.Name))
		sum.Write(e.Value)
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// entities returns the entities of d, sorted by name.
func (d *Document) entities() []Entity {
	out := []Entity{{Name: entityRules, Value: encodeEntity(d.Rules)}}
	for _, v := range d.DataCentres {
		out = append(out, Entity{Name: entityDataCentre + "/" + v.Name, Value: encodeEntity(v)})
	}
	for _, v := range d.Organisations {
		out = append(out, Entity{Name: entityOrganisation + "/" + v.Name, Value: encodeEntity(v)})
	}
	for _, v := range d.Budgets {
		out = append(out, Entity{Name: entityBudget + "/" + v.Name, Value: encodeEntity(v)})
	}
	for _, v := range d.Upstreams {
		out = append(out, Entity{Name: entityUpstream + "/" + v.Name, Value: encodeEntity(v)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func encodeEntity(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode document entity")) // cannot fail for these plain data types
	}
	return data
}

// Diff returns the delta from old to d, where old may be nil.
func (d *Document) Diff(old *Document, baseVersion, version uint64) Delta {
	delta := Delta{Service: d.Service, BaseVersion: baseVersion, Version: version}
	before := make(map[string]json.RawMessage)
	if old != nil {
		for _, e := range old.entities() {
			before[e.Name] = e.Value
		}
	}
	for _, e := range d.entities() {
		if !bytes.Equal(before[e.Name], e.Value) {
			delta.Changed = append(delta.Changed, e)
		}
		delete(before, e.Name)
	}
	for name := range before {
		delta.Removed = append(delta.Removed, name)
	}
	sort.Strings(delta.Removed)
	return delta
}

// Changes lists the changes of the delta relative to old, for display.
func (delta *Delta) Changes(old *Document) []Change {
	before := make(map[string]string)
	if old != nil {
		for _, e := range old.entities() {
			before[e.Name] = string(e.Value)
		}
	}
	var out []Change
	for _, e := range delta.Changed {
		out = append(out, Change{Entity: e.Name, Before: before[e.Name], After: string(e.Value)})
	}
	for _, name := range delta.Removed {
		out = append(out, Change{Entity: name, Before: before[name]})
	}
	return out
}

// ChangedBudgets returns the names of the budgets that the delta adds or changes.
func (delta *Delta) ChangedBudgets() []string {
	var out []string
	for _, e := range delta.Changed {
		if name, ok := strings.CutPrefix(e.Name, entityBudget+"/"); ok {
			out = append(out, name)
		}
	}
	return out
}

// RemovedBudgets returns the names of the budgets that the delta removes.
func (delta *Delta) RemovedBudgets() []string {
	var out []string
	for _, name := range delta.Removed {
		if budget, ok := strings.CutPrefix(name, entityBudget+"/"); ok {
			out = append(out, budget)
		}
	}
	return out
}

// Apply returns the document that results from applying the delta to old, which
// is nil if BaseVersion is zero. It does not modify old.
func (delta *Delta) Apply(old *Document) (*Document, error) {
	if (old == nil) != (delta.BaseVersion == 0) {
		return nil, errors.Wrapf(ErrBaseMismatch, "base version %d", delta.BaseVersion)
	}
	values := make(map[string]json.RawMessage)
	if old != nil {
		for _, e := range old.entities() {
			values[e.Name] = e.Value
		}
	}
	for _, name := range delta.Removed {
		delete(values, name)
	}
	for _, e := range delta.Changed {
		values[e.Name] = e.Value
	}
	return assemble(delta.Service, delta.BaseVersion, values)
}

func assemble(service string, baseVersion uint64, values map[string]json.RawMessage) (*Document, error) {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	doc := &Document{Schema: Schema, Service: service, BaseVersion: baseVersion}
	for _, name := range names {
		if err := doc.addEntity(name, values[name]); err != nil {
			return nil, errors.Wrapf(err, "entity %s", name)
		}
	}
	return doc, nil
}

func (d *Document) addEntity(name string, value json.RawMessage) error {
	kind, _, _ := strings.Cut(name, "/")
	switch kind {
	case entityRules:
		return errors.WithStack(json.Unmarshal(value, &d.Rules))
	case entityDataCentre:
		return appendEntity(&d.DataCentres, value)
	case entityOrganisation:
		return appendEntity(&d.Organisations, value)
	case entityBudget:
		return appendEntity(&d.Budgets, value)
	case entityUpstream:
		return appendEntity(&d.Upstreams, value)
	default:
		return errors.Errorf("unknown entity kind %q", kind)
	}
}

func appendEntity[T any](list *[]T, value json.RawMessage) error {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return errors.WithStack(err)
	}
	*list = append(*list, v)
	return nil
}
