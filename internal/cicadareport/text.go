package cicadareport

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// maxNamed bounds the routes and organisations listed for a cause.
const maxNamed = 5

// WriteText writes the report as plain text.
func (s *Summary) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%d requests of %d routers; shares of %d budgets\n\n", s.requests, len(s.hosts), len(s.limits))
	causes := s.Causes()
	fmt.Fprintf(tw, "time\tdrawn\tused\tfree\tdormant\treserved\tout of reach\t%s", outcomeAnswered)
	for _, c := range causes {
		fmt.Fprintf(tw, "\t%s", c.Outcome)
	}
	fmt.Fprintln(tw)
	for _, r := range s.Rows() {
		fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d", r.At.Format("15:04:05.0"),
			r.Drawn, r.Used, r.Free, r.Locked, r.Reserved, r.Unaccounted, r.Outcomes[outcomeAnswered])
		for _, c := range causes {
			fmt.Fprintf(tw, "\t%d", r.Outcomes[c.Outcome])
		}
		fmt.Fprintln(tw)
	}
	fmt.Fprintln(tw)
	for _, c := range causes {
		fmt.Fprintf(tw, "%s: %d; routes %s; organisations %s; such as %s\n", c.Outcome, c.Count,
			formatTopCounts(c.Routes), formatTopCounts(c.Organisations), strings.Join(c.Examples, ", "))
	}
	for _, u := range s.skipped {
		fmt.Fprintf(tw, "not read: %s line %d: %v\n", u.Source, u.Line, u.Err)
	}
	if s.skippedCount > len(s.skipped) {
		fmt.Fprintf(tw, "not read: %d more lines\n", s.skippedCount-len(s.skipped))
	}
	return errors.Wrap(tw.Flush(), "write report")
}

// formatTopCounts formats the maxNamed largest counts with their names, largest first.
func formatTopCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(x, y string) int {
		return cmp.Or(counts[y]-counts[x], strings.Compare(x, y))
	})
	var out []string
	for _, name := range names[:min(len(names), maxNamed)] {
		out = append(out, fmt.Sprintf("%s %d", cmp.Or(name, "none"), counts[name]))
	}
	return strings.Join(out, ", ")
}
