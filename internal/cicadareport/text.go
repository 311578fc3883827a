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

// mostNamed bounds the routes and organisations named for a cause.
const mostNamed = 5

// WriteText writes the report as text.
func (t *Summary) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "%d requests of %d routers; shares of %d budgets\n\n", t.requests, len(t.hosts), len(t.limits))
	causes := t.Causes()
	fmt.Fprintf(tab, "time\tdrawn\tused\tfree\tdormant\treserved\tout of reach\t%s", answered)
	for _, c := range causes {
		fmt.Fprintf(tab, "\t%s", c.Outcome)
	}
	fmt.Fprintln(tab)
	for _, r := range t.Rows() {
		fmt.Fprintf(tab, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d", r.At.Format("15:04:05.0"),
			r.Drawn, r.Used, r.Free, r.Locked, r.Reserved, r.Unaccounted, r.Outcomes[answered])
		for _, c := range causes {
			fmt.Fprintf(tab, "\t%d", r.Outcomes[c.Outcome])
		}
		fmt.Fprintln(tab)
	}
	fmt.Fprintln(tab)
	for _, c := range causes {
		fmt.Fprintf(tab, "%s: %d; routes %s; organisations %s; such as %s\n", c.Outcome, c.Count,
			mostOf(c.Routes), mostOf(c.Organisations), strings.Join(c.Examples, ", "))
	}
	for _, u := range t.unread {
		fmt.Fprintf(tab, "not read: %s line %d: %v\n", u.Source, u.Line, u.Err)
	}
	if t.unreadCount > len(t.unread) {
		fmt.Fprintf(tab, "not read: %d more lines\n", t.unreadCount-len(t.unread))
	}
	return errors.Wrap(tab.Flush(), "write report")
}

// mostOf names the largest counts.
func mostOf(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(x, y string) int {
		return cmp.Or(counts[y]-counts[x], strings.Compare(x, y))
	})
	var out []string
	for _, name := range names[:min(len(names), mostNamed)] {
		out = append(out, fmt.Sprintf("%s %d", cmp.Or(name, "none"), counts[name]))
	}
	return strings.Join(out, ", ")
}
