// Package cicadaconfig distributes service documents: Apply commits a new version
// to the platform, and the Watcher of each router reads the sequence of committed
// changes and publishes Snapshots.
//
// Invariants: each change increments the version of its service by one. A change
// is accepted if and only if its row is committed. The snapshots of a watcher
// never return to an older version of a service.
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
	// Snapshot is the configuration of all services at one point in the
	// sequence of changes. It is immutable once published.
	Snapshot struct {
		seq      uint64
		services map[string]*Service
	}

	// Service is the document of a service with indexes for the look-ups of a
	// request.
	Service struct {
		doc             *cicadadoc.Document
		version         uint64
		rules           cicadadoc.Rules
		orgByName       map[string]*cicadadoc.Organisation
		orgByKeyDigest  map[string]*cicadadoc.Organisation
		budgetByOrg     map[string]cicadadoc.Budget
		upstreamByName  map[string]*cicadadoc.Upstream
		upstreamByModel map[string]*cicadadoc.Upstream
	}

	// VersionedDocument is a document and its version, as sent between peers.
	VersionedDocument struct {
		Version  uint64              `json:"version"`
		Document *cicadadoc.Document `json:"document"`
	}

	// Export is a complete configuration, as sent between peers.
	Export struct {
		Seq      uint64              `json:"seq"`
		Services []VersionedDocument `json:"services"`
	}
)

// emptySnapshot is the configuration before any document is applied.
func emptySnapshot() *Snapshot {
	return &Snapshot{services: make(map[string]*Service)}
}

// Seq returns the sequence number of the last change in the snapshot.
func (s *Snapshot) Seq() uint64 { return s.seq }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []*Service {
	out := make([]*Service, 0, len(s.services))
	for _, svc := range s.services {
		out = append(out, svc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].doc.Service < out[j].doc.Service })
	return out
}

// Versions returns the version of each service by name.
func (s *Snapshot) Versions() map[string]uint64 {
	out := make(map[string]uint64, len(s.services))
	for name, svc := range s.services {
		out[name] = svc.version
	}
	return out
}

// withDocument returns a copy of s with the larger of its own sequence number and
// seq. The document of the service is replaced if v is newer.
func (s *Snapshot) withDocument(seq uint64, v VersionedDocument) *Snapshot {
	out := &Snapshot{seq: max(s.seq, seq), services: maps.Clone(s.services)}
	name := v.Document.Service
	if old, ok := s.services[name]; ok && old.version >= v.Version {
		return out
	}
	out.services[name] = newService(v)
	return out
}

// Export returns the snapshot in the form that is sent between peers.
func (s *Snapshot) Export() *Export {
	out := &Export{Seq: s.seq}
	for _, svc := range s.Services() {
		out.Services = append(out.Services, VersionedDocument{Version: svc.version, Document: svc.doc})
	}
	return out
}

func newService(v VersionedDocument) *Service {
	svc := &Service{
		doc:             v.Document,
		version:         v.Version,
		rules:           v.Document.Rules.WithDefaults(),
		orgByName:       make(map[string]*cicadadoc.Organisation),
		orgByKeyDigest:  make(map[string]*cicadadoc.Organisation),
		budgetByOrg:     make(map[string]cicadadoc.Budget),
		upstreamByName:  make(map[string]*cicadadoc.Upstream),
		upstreamByModel: make(map[string]*cicadadoc.Upstream),
	}
	for i := range v.Document.Organisations {
		o := &v.Document.Organisations[i]
		svc.orgByName[o.Name] = o
		for _, d := range o.KeyDigests {
			svc.orgByKeyDigest[d] = o
		}
	}
	for _, b := range v.Document.Budgets {
		svc.budgetByOrg[b.Organisation] = b
	}
	for i := range v.Document.Upstreams {
		u := &v.Document.Upstreams[i]
		svc.upstreamByName[u.Name] = u
		for _, m := range u.Models {
			svc.upstreamByModel[m] = u
		}
	}
	return svc
}

// Name returns the service's name.
func (s *Service) Name() string { return s.doc.Service }

// Version returns the version of the service's document.
func (s *Service) Version() uint64 { return s.version }

// Document returns the service's document. It must not be modified.
func (s *Service) Document() *cicadadoc.Document { return s.doc }

// Rules returns the rules of the service with defaults applied.
func (s *Service) Rules() cicadadoc.Rules { return s.rules }

// Upstreams returns the upstreams of the service. They must not be modified.
func (s *Service) Upstreams() []cicadadoc.Upstream { return s.doc.Upstreams }

// Upstream returns an upstream by name.
func (s *Service) Upstream(name string) (*cicadadoc.Upstream, bool) {
	u, ok := s.upstreamByName[name]
	return u, ok
}

// UpstreamForModel returns the upstream that serves a model.
func (s *Service) UpstreamForModel(model string) (*cicadadoc.Upstream, bool) {
	u, ok := s.upstreamByModel[model]
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

// BudgetFor returns the ID and the prepaid units of an organisation's budget. The
// ID is unique in the fleet.
func (s *Service) BudgetFor(organisation string) (id string, prepaid cicadabudget.Units, ok bool) {
	b, ok := s.budgetByOrg[organisation]
	if !ok {
		return "", 0, false
	}
	return cicadadoc.BudgetID(s.doc.Service, b.Name), b.Prepaid, true
}

// KeyDigest returns the digest of an API key in the format of service documents.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Authenticate returns the organisation that an API key belongs to. It looks up the
// digest of the key and compares digests in constant time, so that its duration
// reveals nothing about the keys.
func (s *Service) Authenticate(key string) (*cicadadoc.Organisation, bool) {
	digest := KeyDigest(key)
	o, ok := s.orgByKeyDigest[digest]
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
