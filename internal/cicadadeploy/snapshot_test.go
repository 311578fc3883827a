package cicadadeploy_test

import (
	"fmt"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/google/go-cmp/cmp"
)

func snapshot(t *testing.T) *cicadadeploy.Snapshot {
	t.Helper()
	to := func(s string) []cicadadeploy.Target { return []cicadadeploy.Target{{Service: s, Weight: 1}} }
	s, err := cicadadeploy.New(&cicadadeploy.Document{
		Version: 3,
		Routes: []cicadadeploy.Route{
			{Name: "short", Host: "A.example", Prefix: "/a/", Targets: to("x")},
			{Name: "long", Host: "a.example", Prefix: "/a/b/", Targets: to("y")},
		},
		Services:      []cicadadeploy.Service{{Name: "x"}, {Name: "y"}},
		Organisations: []cicadadeploy.Organisation{{Name: "acme", Keys: []string{"k1", "k2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLongestPrefixWins(t *testing.T) {
	s := snapshot(t)
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/a/c", "short"},
		{"A.EXAMPLE:80", "/a/b/c", "long"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/b/", ""},
		{"b.example", "/a/", ""},
	} {
		got := ""
		if r := s.Route(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s%s (-want +got):\n%s", tt.host, tt.path, diff)
		}
	}
}

func TestKeys(t *testing.T) {
	s := snapshot(t)
	if o := s.OrganisationByKey("k2"); o == nil || o.Name != "acme" {
		t.Errorf("organisation of k2: %v", o)
	}
	if o := s.OrganisationByKey(""); o != nil {
		t.Errorf("organisation of no key: %v", o)
	}
}

// TestWeights checks that a route's requests are dealt in proportion, and each
// id always to the same service.
func TestWeights(t *testing.T) {
	r := cicadadeploy.Route{Targets: []cicadadeploy.Target{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z"}}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint(i)
		first, second := r.SelectService(id), r.SelectService(id)
		counts[first]++
		if first != second {
			t.Fatalf("id %s goes to two services", id)
		}
	}
	if counts["y"] < 800 || counts["y"] > 1200 || counts["z"] != 0 {
		t.Errorf("dealt %v by weights 90, 10, 0", counts)
	}
}

func TestInvalidDocuments(t *testing.T) {
	for name, doc := range map[string]*cicadadeploy.Document{
		"no version": {},
		"no service": {Version: 1, Routes: []cicadadeploy.Route{{Name: "r"}}},
	} {
		if _, err := cicadadeploy.New(doc); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestRepeatable(t *testing.T) {
	for _, tt := range []struct {
		route cicadadeploy.Route
		want  bool
	}{
		{cicadadeploy.Route{Kind: cicadadeploy.KindAtMostOnce, Resumable: true}, false},
		{cicadadeploy.Route{Kind: cicadadeploy.KindIdempotent}, true},
		{cicadadeploy.Route{Kind: cicadadeploy.KindStream}, false},
		{cicadadeploy.Route{Kind: cicadadeploy.KindStream, Resumable: true}, true},
	} {
		if got := tt.route.CanRunAgain(); got != tt.want {
			t.Errorf("%+v: %v", tt.route, got)
		}
	}
}
