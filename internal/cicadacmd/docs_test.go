package cicadacmd_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
)

// TestOperatorsPagesAreComplete checks that the operators' documentation lists every
// refusal code with its remedy and every field of the document's rules.
func TestOperatorsPagesAreComplete(t *testing.T) {
	refusals, err := os.ReadFile("../../docs/operators/refusals.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range cicadarefusal.Kinds() {
		if !strings.Contains(string(refusals), "`"+string(k.Code)+"` | ") || !strings.Contains(string(refusals), k.Remedy) {
			t.Errorf("refusals.md does not contain %s or its remedy", k.Code)
		}
	}
	document, err := os.ReadFile("../../docs/operators/document.md")
	if err != nil {
		t.Fatal(err)
	}
	rules := reflect.TypeFor[cicadadoc.Rules]()
	for i := range rules.NumField() {
		name, _, _ := strings.Cut(rules.Field(i).Tag.Get("yaml"), ",")
		if !strings.Contains(string(document), name) {
			t.Errorf("document.md does not contain the rule %s", name)
		}
	}
}
