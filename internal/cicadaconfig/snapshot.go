// Package cicadaconfig brings service documents into force: Apply commits a
// new version to the platform, and each router's Watcher follows the sequence
// of committed changes and publishes Snapshots.
//
// Invariants: a service's version is raised by one in each change; a change is
// accepted if and only if its row is committed; a watcher's snapshot never
// goes back to an older version of any service.
package cicadaconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"sort"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
)

type (
	// Snapshot is the configuration in force, of every service. It is never
	// changed once published.
	Snapshot struct {
		seq      uint64
		services map[string]*Service
	}

	// Service is one service's document in force, with the look-ups that a
	// request needs.
	Service struct {
		doc           *cicadadoc.Document
		version       uint64
		rules         cicadadoc.Rules
		organisations map[string]*cicadadoc.Organisation
		byDigest      map[string]*cicadadoc.Organisation
		budgets       map[string]cicadadoc.Budget // by organisation
		upstreams     map[string]*cicadadoc.Upstream
		byModel       map[string]*cicadadoc.Upstream
	}

	// VersionedDocument is a document with its version, as peers pass it on.
	VersionedDocument struct {
		Version  uint64              `json:"version"`
		Document *cicadadoc.Document `json:"document"`
	}

	// Export is a whole configuration, as peers pass it on.
	Export struct {
		Seq      uint64              `json:"seq"`
		Services []VersionedDocument `json:"services"`
	}
)

// emptySnapshot is the configuration before any document is applied.
func emptySnapshot() *Snapshot {
	return &Snapshot{services: make(map[string]*Service)}
}

// Seq returns the number of the last change in the snapshot.
func (s *Snapshot) Seq() uint64 { return s.seq }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Services returns all services, by name.
func (s *Snapshot) Services() []*Service {
	out := make([]*Service, 0, len(s.services))
	for _, svc := range s.services {
		out = append(out, svc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].doc.Service < out[j].doc.Service })
	return out
}

// Versions returns the version in force of each service.
func (s *Snapshot) Versions() map[string]uint64 {
	out := make(map[string]uint64, len(s.services))
	for name, svc := range s.services {
		out[name] = svc.version
	}
	return out
}

// with returns a copy of s with a service replaced, unless s has the same or a
// newer version of it.
func (s *Snapshot) with(seq uint64, v VersionedDocument) *Snapshot {
	out := &Snapshot{seq: max(s.seq, seq), services: maps.Clone(s.services)}
	name := v.Document.Service
	if old, ok := s.services[name]; ok && old.version >= v.Version {
		return out
	}
	out.services[name] = newService(v)
	return out
}

// Export returns the snapshot in the form that peers pass on.
func (s *Snapshot) Export() *Export {
	out := &Export{Seq: s.seq}
	for _, svc := range s.Services() {
		out.Services = append(out.Services, VersionedDocument{Version: svc.version, Document: svc.doc})
	}
	return out
}

func newService(v VersionedDocument) *Service {
	svc := &Service{
		doc:           v.Document,
		version:       v.Version,
		rules:         v.Document.Rules.WithDefaults(),
		organisations: make(map[string]*cicadadoc.Organisation),
		byDigest:      make(map[string]*cicadadoc.Organisation),
		budgets:       make(map[string]cicadadoc.Budget),
		upstreams:     make(map[string]*cicadadoc.Upstream),
		byModel:       make(map[string]*cicadadoc.Upstream),
	}
	for i := range v.Document.Organisations {
		o := &v.Document.Organisations[i]
		svc.organisations[o.Name] = o
		for _, d := range o.KeyDigests {
			svc.byDigest[d] = o
		}
	}
	for _, b := range v.Document.Budgets {
		svc.budgets[b.Organisation] = b
	}
	for i := range v.Document.Upstreams {
		u := &v.Document.Upstreams[i]
		svc.upstreams[u.Name] = u
		for _, m := range u.Models {
			svc.byModel[m] = u
		}
	}
	return svc
}

// Name returns the service's name.
func (s *Service) Name() string { return s.doc.Service }

// Version returns the version in force.
func (s *Service) Version() uint64 { return s.version }

// Document returns the document in force. It must not be changed.
func (s *Service) Document() *cicadadoc.Document { return s.doc }

// Rules returns the rules with every default filled in.
func (s *Service) Rules() cicadadoc.Rules { return s.rules }

// Upstreams returns the service's upstreams. They must not be changed.
func (s *Service) Upstreams() []cicadadoc.Upstream { return s.doc.Upstreams }

// Upstream returns an upstream by name.
func (s *Service) Upstream(name string) (*cicadadoc.Upstream, bool) {
	u, ok := s.upstreams[name]
	return u, ok
}

// UpstreamForModel returns the upstream that serves a model.
func (s *Service) UpstreamForModel(model string) (*cicadadoc.Upstream, bool) {
	u, ok := s.byModel[model]
	return u, ok
}

// PlainUpstream returns the first plain service among the upstreams.
func (s *Service) PlainUpstream() (*cicadadoc.Upstream, bool) {
	for i := range s.doc.Upstreams {
		if s.doc.Upstreams[i].Kind == cicadadoc.KindPlainService {
			return &s.doc.Upstreams[i], true
		}
	}
	return nil, false
}

// BudgetFor returns the budget that an organisation draws on, with its
// fleet-wide name.
func (s *Service) BudgetFor(organisation string) (id string, prepaid cicadabudget.Units, ok bool) {
	b, ok := s.budgets[organisation]
	if !ok {
		return "", 0, false
	}
	return cicadadoc.BudgetID(s.doc.Service, b.Name), b.Prepaid, true
}

// KeyDigest returns the digest of an API key in the document's form.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Authenticate returns the organisation that an API key belongs to. The look-up
// is by the key's digest, and the digests are compared in constant time, so the
// time taken tells nothing about any key.
func (s *Service) Authenticate(key string) (*cicadadoc.Organisation, bool) {
	digest := KeyDigest(key)
	o, ok := s.byDigest[digest]
	if !ok {
		return nil, false
	}
	for _, d := range o.KeyDigests {
		if subtle.ConstantTimeCompare([]byte(d), []byte(digest)) == 1 {
			return o, true
		}
	}
	return nil, false
}
