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

// TestDecodeReportsProblems checks the position, message and remedy of each
// problem in testdata/bad.txtar.
func TestDecodeReportsProblems(t *testing.T) {
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
				t.Fatalf("error %v, want an *InvalidError", err)
			}
			p := invalid.Problems[0]
			position := fmt.Sprintf("# at %d:%d", p.Line, p.Column)
			if diff := cmp.Diff(lines[0], position); diff != "" {
				t.Errorf("position (-want +got)\n%s%v", diff, err)
			}
			if want := strings.TrimPrefix(lines[1], "# "); !strings.Contains(p.Message, want) {
				t.Errorf("message %q does not contain %q", p.Message, want)
			}
			if want := strings.TrimPrefix(lines[2], "# "); !strings.Contains(p.Remedy, want) {
				t.Errorf("remedy %q does not contain %q", p.Remedy, want)
			}
		})
	}
}

func TestDecodeReportsAllProblemsAtOnce(t *testing.T) {
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

// examples decodes the example documents and returns them by service name.
func examples(t *testing.T) map[string]*cicadadoc.Document {
	t.Helper()
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example documents found: %v", err)
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

// TestExamplesMatchTheDeployments checks that the example documents have the
// sizes of the two deployments.
func TestExamplesMatchTheDeployments(t *testing.T) {
	type size struct{ DataCentres, Organisations, Runners int }
	want := map[string]size{
		"redacteur": {4, 10, 9}, "guichet": {4, 10, 4}, "cicada-pool": {4, 10, 18}, "ventanilla": {4, 10, 4},
	}
	got := make(map[string]size)
	for name, doc := range examples(t) {
		s := size{DataCentres: len(doc.DataCentres), Organisations: len(doc.Organisations)}
		for i := range doc.Upstreams {
			s.Runners += len(doc.Upstreams[i].Runners)
		}
		got[name] = s
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sizes (-want +got)\n%s", diff)
	}
}

func TestDeltaProducesNewDocument(t *testing.T) {
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
		t.Errorf("changed entities (-want +got)\n%s", diff)
	}
	got, err := delta.Apply(base)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(next.Digest(), got.Digest()); diff != "" {
		t.Errorf("digest (-want +got)\n%s", diff)
	}
	if _, err := delta.Apply(nil); !errors.Is(err, cicadadoc.ErrBaseMismatch) {
		t.Errorf("apply without a base document: error %v, want ErrBaseMismatch", err)
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
			t.Fatalf("error without a problem in it: %v", err)
		}
		if err != nil {
			return
		}
		doc := src.Document()
		delta := doc.Diff(nil, 0, 1)
		rebuilt, err := delta.Apply(nil)
		if err != nil || rebuilt.Digest() != doc.Digest() {
			t.Fatalf("document rebuilt from its delta differs: %v", err)
		}
	})
}
