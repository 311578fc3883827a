package cicadadoc_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"golang.org/x/tools/txtar"
)

// TestBadDocuments checks the place, message and remedy of each mistake.
func TestBadDocuments(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "bad.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			lines := strings.SplitN(string(f.Data), "\n", 4)
			_, err := cicadadoc.Decode(f.Name, f.Data)
			var invalid *cicadadoc.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("passed, or failed otherwise: %v", err)
			}
			p := invalid.Problems[0]
			place := fmt.Sprintf("# at %d:%d", p.Line, p.Column)
			if diff := cmp.Diff(lines[0], place); diff != "" {
				t.Errorf("place (-want +got)\n%s%v", diff, err)
			}
			if want := strings.TrimPrefix(lines[1], "# "); !strings.Contains(p.Message, want) {
				t.Errorf("message %q, want %q in it", p.Message, want)
			}
			if want := strings.TrimPrefix(lines[2], "# "); !strings.Contains(p.Remedy, want) {
				t.Errorf("remedy %q, want %q in it", p.Remedy, want)
			}
		})
	}
}

func TestEveryMistakeIsReportedAtOnce(t *testing.T) {
	_, err := cicadadoc.Decode("x", []byte("schema: other\nservice: Bad Name\nplaces: []\nrules: {}\n"))
	var invalid *cicadadoc.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatal(err)
	}
	var paths []string
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	want := []string{"$.schema", "$.service", "$.places", "$.upstreams", "$.rules.weight"}
	if diff := cmp.Diff(want, paths); diff != "" {
		t.Errorf("paths (-want +got)\n%s", diff)
	}
}

// examples decodes the documents that ship with the project.
func examples(t *testing.T) map[string]*cicadadoc.Document {
	t.Helper()
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	out := make(map[string]*cicadadoc.Document)
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		src, err := cicadadoc.Decode(name, text)
		if err != nil {
			t.Fatal(err)
		}
		out[src.Document().Service] = src.Document()
	}
	return out
}

// TestExamplesMatchTheDeployments compares the examples with the sizes that the
// two deployments have today.
func TestExamplesMatchTheDeployments(t *testing.T) {
	type size struct{ Places, Organisations, Runners int }
	want := map[string]size{
		"redacteur": {4, 10, 9}, "guichet": {4, 10, 4}, "cicada-pool": {4, 10, 18}, "ventanilla": {4, 10, 4},
	}
	got := make(map[string]size)
	for name, doc := range examples(t) {
		s := size{Places: len(doc.DataCentres), Organisations: len(doc.Organisations)}
		for i := range doc.Upstreams {
			s.Runners += len(doc.Upstreams[i].Runners)
		}
		got[name] = s
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sizes (-want +got)\n%s", diff)
	}
}

func TestDeltaMakesTheNewDocument(t *testing.T) {
	base := examples(t)["guichet"]
	next := *base
	next.Budgets = append([]cicadadoc.Budget(nil), base.Budgets...)
	next.Budgets[0].Prepaid += 1000
	next.Organisations = append([]cicadadoc.Organisation(nil), base.Organisations[:9]...)
	next.Budgets = next.Budgets[:9]
	next.Rules.RequestDeadline = cicadadoc.Duration(7 * time.Second)

	delta := next.Diff(base, 3, 4)
	var names []string
	for _, c := range delta.Changes(base) {
		names = append(names, c.Entity)
	}
	want := []string{"budget/menages-rive-sud-2026", "rules", "budget/essai-nouveaux-2026", "organisation/essai-nouveaux"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("changed parts (-want +got)\n%s", diff)
	}
	got, err := delta.Apply(base)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(next.Digest(), got.Digest()); diff != "" {
		t.Errorf("digest (-want +got)\n%s", diff)
	}
	if _, err := delta.Apply(nil); !errors.Is(err, cicadadoc.ErrBaseMismatch) {
		t.Errorf("applied to nothing: %v", err)
	}
}

func TestDigestIgnoresOrderAndBase(t *testing.T) {
	doc := examples(t)["guichet"]
	other := *doc
	other.BaseVersion = 9
	other.Budgets = append([]cicadadoc.Budget{doc.Budgets[9]}, doc.Budgets[:9]...)
	if diff := cmp.Diff(doc.Digest(), other.Digest()); diff != "" {
		t.Errorf("digest (-want +got)\n%s", diff)
	}
}

func FuzzDecode(f *testing.F) {
	for _, name := range []string{"../../examples/qc-est/guichet.yaml", "../../examples/heredia/cicada-pool.yaml"} {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("rules: {requestDeadline: -5s}\n"))
	f.Add([]byte("budgets: [{prepaid: 9223372036854775807}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		src, err := cicadadoc.Decode("fuzz", text)
		var invalid *cicadadoc.InvalidError
		if err != nil && (!errors.As(err, &invalid) || len(invalid.Problems) == 0) {
			t.Fatalf("a mistake without a place: %v", err)
		}
		if err != nil {
			return
		}
		doc := src.Document()
		delta := doc.Diff(nil, 0, 1)
		again, err := delta.Apply(nil)
		if err != nil || again.Digest() != doc.Digest() {
			t.Fatalf("the document does not survive its delta: %v", err)
		}
	})
}
