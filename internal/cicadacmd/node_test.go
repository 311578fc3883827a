package cicadacmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadacmd"
)

// TestNodeWithBadSettings checks that a node does not start with invalid settings
// and that the error names each problem.
func TestNodeWithBadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte("NodeName: n\nBounds: {GraceS: 8}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	code := cicadacmd.Run(t.Context(), []string{"node", "--settings", path}, os.DirFS("."), cicadacmd.IO{Out: &out, Err: &errs})
	if code != cicadacmd.ExitUsage {
		t.Errorf("exit code %d, want ExitUsage", code)
	}
	for _, want := range []string{path, "Zone", "Listen.Front", "Platform.Address", "Bounds.ConfigMs"} {
		if !strings.Contains(errs.String(), want) {
			t.Errorf("error does not contain %q: %s", want, errs.String())
		}
	}
	if out.Len() > 0 {
		t.Errorf("node wrote output: %s", out.String())
	}
}
