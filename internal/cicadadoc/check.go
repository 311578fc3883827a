package cicadadoc

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
)

// digestPrefix begins every key digest; 64 hexadecimal digits follow.
const digestPrefix = "sha256:"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker collects the problems of one document.
type checker struct {
	src      *Source
	doc      *Document
	problems []Problem
}

func (s *Source) check() []Problem {
	c := &checker{src: s, doc: s.doc}
	c.checkHead()
	c.checkPlaces()
	c.checkOrganisations()
	c.checkBudgets()
	c.checkUpstreams()
	c.checkRules()
	return c.problems
}

func (c *checker) add(path, remedy, format string, args ...any) {
	c.problems = append(c.problems, c.src.Problemf(path, remedy, format, args...))
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, "use lower-case letters, digits and hyphens, at most 63", "%q is no name", name)
	}
}

func (c *checker) checkHead() {
	if c.doc.Schema != Schema {
		c.add("$.schema", "write schema: "+Schema, "unknown schema %q", c.doc.Schema)
	}
	c.checkName("$.service", c.doc.Service)
}

func (c *checker) checkPlaces() {
	seen := newNames(c, "place")
	for i, p := range c.doc.DataCentres {
		path := fmt.Sprintf("$.places[%d]", i)
		seen.add(path+".name", p.Name)
		c.checkName(path+".region", p.Region)
	}
	if len(c.doc.DataCentres) == 0 {
		c.add("$.places", "declare at least one place with its region", "no places")
	}
}

func (c *checker) checkOrganisations() {
	seen := newNames(c, "organisation")
	digests := make(map[string]string)
	for i, o := range c.doc.Organisations {
		path := fmt.Sprintf("$.organisations[%d]", i)
		seen.add(path+".name", o.Name)
		c.checkDigests(path, o, digests)
		if o.Priority != "" && o.Priority != PriorityLive && o.Priority != PriorityBatch {
			c.add(path+".priority", "write live or batch", "unknown priority %q", o.Priority)
		}
		if o.Limits.Concurrency < 0 || o.Limits.RequestsPerSecond < 0 {
			c.add(path+".limits", "write zero or leave it out for no limit", "negative limit")
		}
	}
}

func (c *checker) checkDigests(path string, o Organisation, digests map[string]string) {
	if len(o.KeyDigests) == 0 {
		c.add(path+".keyDigests", "add the SHA-256 of an API key as sha256:<64 hex digits>", "organisation %q has no key", o.Name)
	}
	for j, d := range o.KeyDigests {
		at := fmt.Sprintf("%s.keyDigests[%d]", path, j)
		digest, ok := strings.CutPrefix(d, digestPrefix)
		raw, err := hex.DecodeString(digest)
		if !ok || err != nil || len(raw) != 32 {
			c.add(at, "write sha256: and the 64 hex digits of the key's SHA-256, never the key", "no key digest")
			continue
		}
		if other, doubled := digests[d]; doubled {
			c.add(at, "give each organisation keys of its own", "key already belongs to %q", other)
		}
		digests[d] = o.Name
	}
}

func (c *checker) checkBudgets() {
	seen := newNames(c, "budget")
	owners := make(map[string]string)
	for i, b := range c.doc.Budgets {
		path := fmt.Sprintf("$.budgets[%d]", i)
		seen.add(path+".name", b.Name)
		if !c.hasOrganisation(b.Organisation) {
			c.add(path+".organisation", "declare it under organisations", "unknown organisation %q", b.Organisation)
		}
		if b.Prepaid < 0 {
			c.add(path+".prepaid", "write the total of all payments, zero or more", "negative budget %d", b.Prepaid)
		}
		if b.Prepaid > cicadabudget.MaxUnits {
			c.add(path+".prepaid", fmt.Sprintf("at most %d", cicadabudget.MaxUnits), "budget %d is too large", b.Prepaid)
		}
		if other, ok := owners[b.Organisation]; ok {
			c.add(path+".organisation", "keep one budget for each organisation in a service",
				"organisation %q already draws on budget %q", b.Organisation, other)
		}
		owners[b.Organisation] = b.Name
	}
}

func (c *checker) hasOrganisation(name string) bool {
	return slices.ContainsFunc(c.doc.Organisations, func(o Organisation) bool { return o.Name == name })
}

func (c *checker) checkUpstreams() {
	seen := newNames(c, "upstream")
	models := make(map[string]string)
	addresses := make(map[string]string)
	for i := range c.doc.Upstreams {
		u := &c.doc.Upstreams[i]
		path := fmt.Sprintf("$.upstreams[%d]", i)
		seen.add(path+".name", u.Name)
		c.checkKind(path, u)
		for j, m := range u.Models {
			at := fmt.Sprintf("%s.models[%d]", path, j)
			if other, ok := models[m]; ok {
				c.add(at, "serve each model by one upstream", "model %q is served by upstream %q already", m, other)
			}
			models[m] = u.Name
		}
		c.checkRunners(path, u, addresses)
	}
	if len(c.doc.Upstreams) == 0 {
		c.add("$.upstreams", "declare at least one upstream with its runners", "no upstreams")
	}
}

func (c *checker) checkKind(path string, u *Upstream) {
	switch u.Kind {
	case KindModelEngine:
		if len(u.Models) == 0 {
			c.add(path+".models", "name the models that the engines serve", "model engine without models")
		}
		if len(u.NonIdempotent) > 0 || u.UnitsPerCall != 0 {
			c.add(path+".kind", "move nonIdempotent and unitsPerCall to a plainService", "not for a model engine")
		}
	case KindPlainService:
		if u.UnitsPerCall < 0 {
			c.add(path+".unitsPerCall", "write zero or more", "negative charge %d", u.UnitsPerCall)
		}
		for j, call := range u.NonIdempotent {
			method, prefix, ok := strings.Cut(call, " ")
			if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(prefix, "/") {
				c.add(fmt.Sprintf("%s.nonIdempotent[%d]", path, j), "write it like POST /transfers", "%q is no call", call)
			}
		}
	default:
		c.add(path+".kind", "write modelEngine or plainService", "unknown kind %q", u.Kind)
	}
}

func (c *checker) checkRunners(path string, u *Upstream, addresses map[string]string) {
	seen := newNames(c, "runner")
	for j, r := range u.Runners {
		at := fmt.Sprintf("%s.runners[%d]", path, j)
		seen.add(at+".name", r.Name)
		if addr, err := netip.ParseAddrPort(r.Address); err != nil || addr.Port() == 0 {
			c.add(at+".address", "write IP and port, such as 10.0.0.7:8000", "%q is no address", r.Address)
		}
		if other, ok := addresses[r.Address]; ok {
			c.add(at+".address", "give each runner an address of its own", "address %s belongs to runner %q", r.Address, other)
		}
		addresses[r.Address] = r.Name
		if c.doc.RegionOf(r.DataCentre) == "" {
			c.add(at+".place", "declare it under places", "unknown place %q", r.DataCentre)
		}
		if r.Capacity < 1 {
			c.add(at+".capacity", "write the number of requests it runs at once", "capacity %d", r.Capacity)
		}
	}
	if len(u.Runners) == 0 {
		c.add(path+".runners", "declare at least one runner", "upstream %q has no runners", u.Name)
	}
}

func (c *checker) checkRules() {
	r := c.doc.Rules
	if r.Preference != PreferNoOverspend && r.Preference != PreferNoFalseRefusals {
		c.add("$.rules.weight", "write overspend or falseRefusals", "unknown weight %q", r.Preference)
	}
	full := r.WithDefaults()
	c.checkDeadline("requestDeadline", full.RequestDeadline, Duration(MaxRequestDeadline))
	c.checkDeadline("firstByteDeadline", full.FirstByteDeadline, full.RequestDeadline)
	c.checkDeadline("progressTimeout", full.ProgressTimeout, full.RequestDeadline)
	c.checkDeadline("admissionWait", full.AdmissionWait, full.RequestDeadline)
	if full.KeyWindow < full.RequestDeadline {
		c.add("$.rules.keyWindow", "make it at least the request deadline",
			"keys are forgotten after %s while a request may run %s", text(full.KeyWindow), text(full.RequestDeadline))
	}
	if full.RetryPercent < 0 || full.RetryPercent > 100 {
		c.add("$.rules.retryPercent", "write 0 to 100", "%d percent of retries", full.RetryPercent)
	}
	if full.DefaultMaxTokens < 1 || full.DefaultMaxTokens > full.MaxTokens {
		c.add("$.rules.defaultMaxTokens", "write 1 to maxTokens",
			"default of %d tokens with a maximum of %d", full.DefaultMaxTokens, full.MaxTokens)
	}
}

func (c *checker) checkDeadline(field string, d, limit Duration) {
	if d <= 0 || d > limit {
		c.add("$.rules."+field, "write a duration above zero and at most "+text(limit), "impossible deadline %s", text(d))
	}
}

func text(d Duration) string { return time.Duration(d).String() }

// names finds names that stand twice in a list.
type names struct {
	c    *checker
	what string
	seen map[string]bool
}

func newNames(c *checker, what string) *names {
	return &names{c: c, what: what, seen: make(map[string]bool)}
}

func (n *names) add(path, name string) {
	n.c.checkName(path, name)
	if n.seen[name] {
		n.c.add(path, "give each "+n.what+" a name of its own", "%s %q is declared twice", n.what, name)
	}
	n.seen[name] = true
}
