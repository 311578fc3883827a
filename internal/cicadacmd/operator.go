package cicadacmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadahome"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadanet"
	"github.com/cicadadyke/cicadadyke/internal/cicadarefusal"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

const (
	operatorTimeout = 2 * time.Second
	maxOperatorBody = 64 << 20 // bytes of a response
)

// errNoRecord is returned when a router has no audit trail of a request.
var errNoRecord = errors.New("no record of the request")

type (
	// operatorClient queries routers at their addresses for operators.
	operatorClient struct {
		token string
		http  *http.Client
	}

	// explainVerb prints the audit trail or the bill of a request.
	explainVerb struct {
		platform platformFlags
		token    string
		json     bool
	}

	// stateVerb prints the state of a router.
	stateVerb struct{ token string }

	// topVerb prints an overview of budgets, spent units and refusals.
	topVerb struct {
		platform platformFlags
		token    string
		json     bool
	}
)

func newOperatorClient(token string) *operatorClient {
	transport := cicadanet.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: (&net.Dialer{}).DialContext})
	return &operatorClient{token: token, http: &http.Client{Transport: transport, Timeout: operatorTimeout}}
}

func (c *operatorClient) get(ctx context.Context, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, withExitCode(ExitUnavailable, errors.Wrap(err, "router not reached"))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOperatorBody))
	switch {
	case err != nil:
		return nil, withExitCode(ExitUnavailable, errors.Wrap(err, "read response of router"))
	case resp.StatusCode == http.StatusNotFound:
		return nil, errNoRecord
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}

func (c *operatorClient) state(ctx context.Context, addr string) (*cicadarouter.State, error) {
	data, err := c.get(ctx, addr, "/debug/state")
	if err != nil {
		return nil, err
	}
	var state cicadarouter.State
	return &state, errors.Wrap(json.Unmarshal(data, &state), "decode state of router")
}

func (v *explainVerb) command(env *environment) *ff.Command {
	fs := env.flags("explain")
	v.platform.register(fs)
	fs.StringVar(&v.token, 0, "operator-token", "", "operators' token of the routers")
	fs.BoolVar(&v.json, 0, "json", "print JSON")
	return &ff.Command{
		Name: "explain", Usage: "cicadadyke explain [FLAGS] REQUEST-ID", ShortHelp: "explain why a request was routed, refused, billed or interrupted",
		LongHelp: "Queries the router that the id names, then the other routers, and finally the bills in the platform's store.\n\n" +
			"Example:\n  cicadadyke explain --operator-token op r1-19b2f-1a",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("explain takes one REQUEST-ID")
			}
			return v.run(ctx, env, args[0])
		},
	}
}

func (v *explainVerb) run(ctx context.Context, env *environment, id string) error {
	client := v.platform.client()
	hosts, err := client.Hosts(ctx)
	if err != nil {
		return err
	}
	// Query the router whose name is the prefix of the id first.
	sort.SliceStable(hosts, func(i, j int) bool {
		return strings.HasPrefix(id, hosts[i].Name+"-") && !strings.HasPrefix(id, hosts[j].Name+"-")
	})
	path := "/debug/requests/" + id
	if !v.json {
		path += "?format=text"
	}
	op := newOperatorClient(v.token)
	for _, h := range hosts {
		if h.State == cicadastore.HostEnded {
			continue
		}
		data, err := op.get(ctx, h.OperatorAddr, path)
		if err != nil {
			if !errors.Is(err, errNoRecord) {
				fmt.Fprintf(env.io.Err, "router %s: %v\n", h.Name, err)
			}
			continue
		}
		_, _ = env.io.Out.Write(data)
		return nil
	}
	return v.explainFromBills(ctx, env, client, id)
}

// explainFromBills searches the store for the bill of a request of which no reachable
// router has a record.
func (v *explainVerb) explainFromBills(ctx context.Context, env *environment, client *cicadastore.Client, id string) error {
	rows, err := cicadastore.ScanAll(ctx, client, cicadastore.TableBatch, "", "")
	if err != nil {
		return err
	}
	for _, row := range rows {
		rec, err := cicadaledger.DecodeRecord(row.Value)
		if err != nil {
			return err
		}
		for _, bill := range rec.BillsOf(id) {
			data, err := json.MarshalIndent(bill, "", "  ")
			if err != nil {
				return errors.Wrap(err, "encode bill")
			}
			fmt.Fprintf(env.io.Out, "no reachable router has a record of the request; its bill in batch row %s:\n%s\n", row.Key, data)
			return nil
		}
	}
	return withExitCode(ExitNotFound, errors.Errorf("no router and no bill knows request %s", id))
}

func (v *stateVerb) command(env *environment) *ff.Command {
	fs := env.flags("state")
	fs.StringVar(&v.token, 0, "operator-token", "", "operators' token of the router")
	return &ff.Command{
		Name: "state", Usage: "cicadadyke state [FLAGS] ADDRESS", ShortHelp: "print the full state of a router as JSON",
		LongHelp: "Example:\n  cicadadyke state --operator-token op 127.0.0.1:8081",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("state takes one ADDRESS, the router's address for operators")
			}
			data, err := newOperatorClient(v.token).get(ctx, args[0], "/debug/state")
			if err != nil {
				return err
			}
			_, err = env.io.Out.Write(data)
			return errors.Wrap(err, "write")
		},
	}
}

func (v *topVerb) command(env *environment) *ff.Command {
	fs := env.flags("top")
	v.platform.register(fs)
	fs.StringVar(&v.token, 0, "operator-token", "", "operators' token of the routers")
	fs.BoolVar(&v.json, 0, "json", "print JSON")
	return &ff.Command{
		Name: "top", Usage: "cicadadyke top [FLAGS]", ShortHelp: "show an overview of budgets, spent units and refusals",
		LongHelp: "Example:\n  cicadadyke top --operator-token op",
		Flags:    fs,
		Exec:     func(ctx context.Context, _ []string) error { return v.run(ctx, env) },
	}
}

type (
	budgetSummary struct {
		Budget      string             `json:"budget"`
		Prepaid     cicadabudget.Units `json:"prepaid"`
		Allotted    cicadabudget.Units `json:"allotted"`
		Spent       cicadabudget.Units `json:"spent"`
		Withheld    cicadabudget.Units `json:"withheld"`
		Held        cicadabudget.Units `json:"held"`
		HeldByEnded cicadabudget.Units `json:"heldByEndedRouters"`
		Home        string             `json:"home"`
	}

	fleetOverview struct {
		Routers  []string         `json:"routers"`
		Budgets  []budgetSummary  `json:"budgets"`
		Refusals map[string]int64 `json:"refusals"`
	}
)

func (v *topVerb) run(ctx context.Context, env *environment) error {
	client := v.platform.client()
	hosts, err := client.Hosts(ctx)
	if err != nil {
		return err
	}
	rows, err := cicadastore.ScanAll(ctx, client, cicadastore.TableBudget, "", "")
	if err != nil {
		return err
	}
	summaries := make(map[string]*budgetSummary)
	for _, row := range rows {
		var br cicadaledger.BudgetRow
		if err := cicadaledger.DecodeRow(row.Value, &br); err != nil {
			return err
		}
		summaries[row.Key] = &budgetSummary{Budget: row.Key, Prepaid: br.Prepaid, Allotted: br.TotalAllotted()}
	}
	overview := fleetOverview{Refusals: make(map[string]int64)}
	op := newOperatorClient(v.token)
	for _, h := range hosts {
		overview.Routers = append(overview.Routers, fmt.Sprintf("%s (%s, %s)", h.Name, h.DataCentre, h.State))
		if h.State != cicadastore.HostEnded {
			v.addRouter(ctx, env, op, h, summaries, overview.Refusals)
		}
	}
	for _, row := range rows {
		overview.Budgets = append(overview.Budgets, *summaries[row.Key])
	}
	if v.json {
		enc := json.NewEncoder(env.io.Out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(overview), "write")
	}
	return printOverview(env.io.Out, &overview)
}

func (v *topVerb) addRouter(
	ctx context.Context, env *environment, op *operatorClient, h cicadastore.Host, summaries map[string]*budgetSummary, refusals map[string]int64,
) {
	st, err := op.state(ctx, h.OperatorAddr)
	if err != nil {
		fmt.Fprintf(env.io.Err, "router %s: %v\n", h.Name, err)
		return
	}
	for _, partition := range st.Homes {
		for _, balance := range partition.Budgets {
			summary, ok := summaries[balance.Budget]
			if !ok {
				continue
			}
			summary.Spent, summary.Withheld, summary.Held, summary.Home =
				summary.Spent+balance.Spent, summary.Withheld+balance.Withheld, summary.Held+balance.Held, h.Name
			for _, holder := range partition.Holders {
				summary.HeldByEnded += heldByEnded(&holder, balance.Budget)
			}
		}
	}
	data, err := op.get(ctx, h.OperatorAddr, "/debug/vars")
	if err != nil {
		return
	}
	var vars struct {
		Refusals map[string]int64 `json:"refusals"`
	}
	if json.Unmarshal(data, &vars) == nil {
		for code, n := range vars.Refusals {
			refusals[code] += n
		}
	}
}

// heldByEnded returns the units of a budget that a holder still holds if its process
// has ended, otherwise zero.
func heldByEnded(holder *cicadahome.HolderState, budget string) cicadabudget.Units {
	var sum cicadabudget.Units
	for _, a := range holder.Held {
		if holder.Ended && a.Budget == budget {
			sum += a.Units
		}
	}
	return sum
}

func printOverview(w io.Writer, overview *fleetOverview) error {
	fmt.Fprintf(w, "routers: %s\n\n", strings.Join(overview.Routers, ", "))
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "budget\tprepaid\tallotted\tspent\twithheld\theld\theld by ended routers\thome\t")
	for _, b := range overview.Budgets {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", b.Budget, b.Prepaid, b.Allotted, b.Spent, b.Withheld, b.Held, b.HeldByEnded, b.Home)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	fmt.Fprintln(w, "\nrefusals since the start of the routers:")
	codes := make([]string, 0, len(overview.Refusals))
	for code := range overview.Refusals {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		fmt.Fprintf(w, "  %s: %d\n", code, overview.Refusals[code])
	}
	return nil
}

// refusalsVerb lists the refusal codes and their remedies.
type refusalsVerb struct{}

func (v *refusalsVerb) command(env *environment) *ff.Command {
	return &ff.Command{
		Name: "refusals", Usage: "cicadadyke refusals", ShortHelp: "list every refusal code with its remedy",
		Flags: env.flags("refusals"),
		Exec: func(context.Context, []string) error {
			for _, k := range cicadarefusal.Kinds() {
				fmt.Fprintf(env.io.Out, "%-20s %d  %s; %s\n", k.Code, k.Status, k.Title, k.Remedy)
			}
			return nil
		},
	}
}
