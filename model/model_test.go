// Package cicadamodel_test checks the Promela models of the core protocol with
// spin, exhaustively within their stated bounds. Mutants of the models show that
// the properties can fail: spin has to find a counterexample for each of them.
package cicadamodel_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// check is one run of the model checker, with a macro that selects a mutant of
// the model, or "" for the model itself.
type check struct {
	model, property, mutant string
	wantCounterexample      bool
}

var checks = []check{
	{"escrow.pml", "solvent", "", false},
	{"escrow.pml", "no_overspend", "", false},
	{"escrow.pml", "no_overspend", "NO_FENCE", true},
	{"escrow.pml", "no_overspend", "NO_SEQ", true},
	{"escrow.pml", "no_overspend", "NO_EVIDENCE", true},
	{"slices.pml", "none_twice", "", false},
	{"slices.pml", "no_overspend", "", false},
	{"slices.pml", "none_twice", "NO_LAPSE", true},
	{"slices.pml", "none_twice", "NO_CLAIM", true},
	{"slices.pml", "none_twice", "LOST_IS_REFUSED", true},
	{"slices.pml", "none_twice", "EARLY_RELEASE", true},
	{"restore.pml", "no_overspend", "", false},
	{"restore.pml", "no_overspend", "NO_SETTLE", true},
	{"restore.pml", "no_overspend", "KEEP_ANSWER", true},
	{"restore.pml", "no_overspend", "SAME_KEY", true},
	{"restore.pml", "no_overspend", "NO_WITHHOLD", true},
	{"restore.pml", "no_overspend", "OLD_READING", true},
	{"key.pml", "at_most_once", "", false},
	{"key.pml", "one_bill", "", false},
	{"key.pml", "not_run_is_true", "", false},
	{"key.pml", "at_most_once", "NO_CLAIM", true},
	{"key.pml", "one_bill", "REBILL", true},
	{"key.pml", "not_run_is_true", "EARLY_NOTRUN", true},
}

var (
	statesPattern     = regexp.MustCompile(`(\d+) states, stored`)
	errorsPattern     = regexp.MustCompile(`errors: (\d+)`)
	incompletePattern = regexp.MustCompile(`max search depth too small|out of memory|Search not completed`)
)

func TestModels(t *testing.T) {
	if _, err := exec.LookPath("spin"); err != nil {
		t.Skip("spin is not installed; .ci/run installs it and never skips")
	}
	for _, c := range checks {
		name := c.model + "/" + c.property
		if c.mutant != "" {
			name += "/" + c.mutant
		}
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

func (c check) run(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	source, err := os.ReadFile(c.model)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "m.pml"), source, 0o600); err != nil {
		t.Fatal(err)
	}
	spinArgs := []string{"-a"}
	if c.mutant != "" {
		spinArgs = append(spinArgs, "-D"+c.mutant)
	}
	runCommand(t, dir, "spin", append(spinArgs, "m.pml")...)
	runCommand(t, dir, "gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=3000", "-o", "pan", "pan.c")
	out := runCommand(t, dir, "./pan", "-m200000", "-n", "-N", c.property)
	states, errorCount := statesPattern.FindStringSubmatch(out), errorsPattern.FindStringSubmatch(out)
	if states == nil || errorCount == nil {
		t.Fatalf("output has no number of states or errors:\n%s", out)
	}
	if got := errorCount[1] != "0"; got != c.wantCounterexample {
		t.Errorf("counterexample found: %v, expected: %v\n%s", got, c.wantCounterexample, out)
	}
	if !c.wantCounterexample && incompletePattern.MatchString(out) {
		t.Errorf("the search was incomplete:\n%s", out)
	}
	result := "holds"
	if c.wantCounterexample {
		result = "counterexample, as expected"
	}
	t.Logf("%s states stored, %s", states[1], result)
}

func runCommand(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
	return string(out)
}
