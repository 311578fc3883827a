package cicadacmd_test

import (
	"bytes"
	"context"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cicadadyke/cicadadyke/internal/cicadacmd"
	"github.com/google/go-cmp/cmp"
)

const examples = "../../examples"

// run executes the command line and returns its exit code and output.
func run(ctx context.Context, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cicadacmd.Run(ctx, args, os.DirFS(examples), cicadacmd.IO{Out: &o, Err: &e})
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("schema: cicadadyke/v1\nservice: svc\nbudgetz: []\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := examples + "/qc-est/guichet.yaml"
	for _, tc := range []struct {
		name   string
		args   []string
		code   int
		output string
	}{
		{"check", []string{"check", good}, cicadacmd.ExitOK, "service guichet is in order"},
		{"check a bad document", []string{"check", bad}, cicadacmd.ExitInvalidDocument, "bad.yaml:3:1"},
		{"check a good and a bad document", []string{"check", good, bad}, cicadacmd.ExitInvalidDocument, "bad.yaml:3:1"},
		{"check nothing", []string{"check"}, cicadacmd.ExitUsage, "at least one FILE"},
		{"check a missing file", []string{"check", "missing.yaml"}, cicadacmd.ExitUsage, "no such file"},
		{"no verb", nil, cicadacmd.ExitUsage, "name a verb"},
		{"unknown flag", []string{"check", "--nonsense", good}, cicadacmd.ExitUsage, "nonsense"},
		{"help", []string{"apply", "--help"}, cicadacmd.ExitOK, "basedOn"},
		{"version", []string{"version"}, cicadacmd.ExitOK, "document schema cicadadyke/v1"},
		{"key", []string{"key", "demo-key-pme-levis"}, cicadacmd.ExitOK, "sha256:0bee040fe454f3ad"},
		{"refusals", []string{"refusals"}, cicadacmd.ExitOK, "budgetExhausted"},
		{"apply without platform", []string{"apply", "--platform", "http://127.0.0.1:1", good}, cicadacmd.ExitUnavailable, "platform unavailable"},
		{"load elsewhere", []string{"load", "--target", "http://10.0.0.1:80", "--api-key", "k", "--model", "m"}, cicadacmd.ExitUsage, "loopback"},
		{"load without anything", []string{"load"}, cicadacmd.ExitUsage, "--model is missing"},
		{"standin without anything", []string{"standin"}, cicadacmd.ExitUsage, "--platform, a FILE"},
		{"quarantine without settings", []string{"quarantine", "--settings", "missing.yaml"}, cicadacmd.ExitUsage, "missing.yaml"},
		{"report on nothing", []string{"report"}, cicadacmd.ExitUsage, "name the logs"},
		{"report on a missing log", []string{"report", "missing.log"}, cicadacmd.ExitUsage, "no such file"},
		{"report on no log", []string{"report", good}, cicadacmd.ExitFailed, "no request in 1 files"},
		{"report in no time", []string{"report", "--step", "0s", good}, cicadacmd.ExitUsage, "--step 0s"},
		{"demo too long", []string{"demo", "--duration", "5m"}, cicadacmd.ExitUsage, "1s to 30s"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, out, errOut := run(t.Context(), tc.args...)
			if diff := cmp.Diff(tc.code, code); diff != "" {
				t.Errorf("exit code (-want +got)\n%s%s", diff, errOut)
			}
			if !strings.Contains(out+errOut, tc.output) {
				t.Errorf("output does not contain %q:\n%s%s", tc.output, out, errOut)
			}
		})
	}
}

// TestRouterReportsAllFlagProblemsAtOnce starts a router with missing and invalid
// flags and checks that the error names all of them.
func TestRouterReportsAllFlagProblemsAtOnce(t *testing.T) {
	code, _, errOut := run(t.Context(), "router", "--listen", "everywhere", "--tls-cert", "x")
	if diff := cmp.Diff(cicadacmd.ExitUsage, code); diff != "" {
		t.Errorf("exit code (-want +got)\n%s", diff)
	}
	for _, want := range []string{"--name", "--place", "--region", "--listen", "--peer-key", "--tls-key"} {
		if !strings.Contains(errOut, want) {
			t.Errorf("error does not mention %s:\n%s", want, errOut)
		}
	}
}

func TestFlagsAreReadFromEnvironment(t *testing.T) {
	t.Setenv("CICADADYKE_NAME", "from the environment")
	_, _, errOut := run(t.Context(), "router")
	if !strings.Contains(errOut, "--name may not contain") {
		t.Errorf("CICADADYKE_NAME was not read:\n%s", errOut)
	}
}

// TestCoreHasNoInputOrOutput checks that the core packages do not import packages for
// I/O and do not read the clock.
func TestCoreHasNoInputOrOutput(t *testing.T) {
	banned := map[string]bool{
		"net": true, "net/http": true, "os": true, "io": true, "io/fs": true, "syscall": true,
		"expvar": true, "github.com/apex/log": true, "log": true,
	}
	for _, pkg := range []string{
		"cicadabudget", "cicadaledger", "cicadaroute", "cicadamember", "cicadadoc", "cicadadeploy", "cicadaplace", "cicadaretry", "cicadalimit",
		"cicadaquarantine", "cicadaresume",
	} {
		files, err := filepath.Glob("../" + pkg + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("no files in %s: %v", pkg, err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, text, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			for _, imp := range file.Imports {
				if path, _ := strconv.Unquote(imp.Path.Value); banned[path] {
					t.Errorf("%s imports %s", name, path)
				}
			}
			if strings.Contains(string(text), "time.Now(") || strings.Contains(string(text), "time.Sleep(") {
				t.Errorf("%s reads the clock", name)
			}
		}
	}
}
