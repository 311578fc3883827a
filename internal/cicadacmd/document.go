package cicadacmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

type (
	// platformFlags are those of verbs that talk to the platform.
	platformFlags struct {
		url   string
		token string
	}

	// checkVerb looks for mistakes in documents.
	checkVerb struct{}

	// diffVerb shows what an apply would change.
	diffVerb struct{ platform platformFlags }

	// applyVerb brings a document into force.
	applyVerb struct {
		platform      platformFlags
		wait          time.Duration
		operatorToken string
	}
)

func (p *platformFlags) add(fs *ff.FlagSet) {
	fs.StringVar(&p.url, 0, "platform", "http://127.0.0.1:9000", "base URL of the platform")
	fs.StringVar(&p.token, 0, "platform-token", "", "bearer token for the platform")
}

func (p *platformFlags) client() *cicadastore.Client {
	return cicadastore.NewClient(cicadastore.ClientConfig{BaseURL: p.url, Token: p.token, Timeout: 5 * time.Second})
}

func readDocument(name string) (*cicadadoc.Source, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fail(ExitUsage, errors.Wrap(err, "read document"))
	}
	return cicadadoc.Decode(name, text)
}

func oneFile(verb string, args []string) (string, error) {
	if len(args) != 1 {
		return "", usagef("%s takes one FILE", verb)
	}
	return args[0], nil
}

func (v *checkVerb) command(env *environment) *ff.Command {
	return &ff.Command{
		Name: "check", Usage: "cicadadyke check FILE...", ShortHelp: "look for mistakes in service documents",
		LongHelp: "Prints every mistake with its line, column and remedy.\n\nExample:\n  cicadadyke check examples/qc-est/redacteur.yaml",
		Flags:    env.flags("check"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("check takes at least one FILE")
			}
			return v.run(env, args)
		},
	}
}

func (v *checkVerb) run(env *environment, files []string) error {
	var first error
	for _, name := range files {
		src, err := readDocument(name)
		if err != nil {
			if first == nil {
				first = err
				continue
			}
			fmt.Fprintln(env.io.Err, err)
			continue
		}
		doc := src.Document()
		runners := 0
		for i := range doc.Upstreams {
			runners += len(doc.Upstreams[i].Runners)
		}
		fmt.Fprintf(env.io.Out, "%s: service %s is in order: %d organisations, %d budgets, %d upstreams with %d runners in %d places\n",
			name, doc.Service, len(doc.Organisations), len(doc.Budgets), len(doc.Upstreams), runners, len(doc.DataCentres))
	}
	return first
}

func (v *diffVerb) command(env *environment) *ff.Command {
	fs := env.flags("diff")
	v.platform.add(fs)
	return &ff.Command{
		Name: "diff", Usage: "cicadadyke diff [FLAGS] FILE", ShortHelp: "show what an apply would change",
		LongHelp: "Example:\n  cicadadyke diff --platform http://127.0.0.1:9000 examples/qc-est/redacteur.yaml",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := oneFile("diff", args)
			if err != nil {
				return err
			}
			src, err := readDocument(name)
			if err != nil {
				return err
			}
			res, err := cicadaconfig.Preview(ctx, v.platform.client(), src)
			if err != nil {
				return err
			}
			printResult(env, res, "would become")
			return nil
		},
	}
}

func printResult(env *environment, res *cicadaconfig.Result, verb string) {
	if res.Unchanged || len(res.Changes) == 0 {
		fmt.Fprintf(env.io.Out, "service %s: no change, version %d is in force\n", res.Service, res.Version)
		return
	}
	fmt.Fprintf(env.io.Out, "service %s %s version %d:\n", res.Service, verb, res.Version)
	for _, c := range res.Changes {
		fmt.Fprintf(env.io.Out, "  %s\n", c.Entity)
		if c.Before != "" {
			fmt.Fprintf(env.io.Out, "    - %s\n", c.Before)
		}
		if c.After != "" {
			fmt.Fprintf(env.io.Out, "    + %s\n", c.After)
		}
	}
}

func (v *applyVerb) command(env *environment) *ff.Command {
	fs := env.flags("apply")
	v.platform.add(fs)
	fs.DurationVar(&v.wait, 0, "wait", 0, "wait at most so long until every live router has the change in force")
	fs.StringVar(&v.operatorToken, 0, "operator-token", "", "operators' token of the routers, for --wait")
	return &ff.Command{
		Name: "apply", Usage: "cicadadyke apply [FLAGS] FILE", ShortHelp: "bring a service document into force",
		LongHelp: "The document says in basedOn which version it changes. If another version came first,\n" +
			"nothing is changed and the differences are shown. Applying the same document again is harmless.\n\n" +
			"Example:\n  cicadadyke apply --wait 8s --operator-token op examples/qc-est/redacteur.yaml",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			name, err := oneFile("apply", args)
			if err != nil {
				return err
			}
			return v.run(ctx, env, name)
		},
	}
}

func (v *applyVerb) run(ctx context.Context, env *environment, name string) error {
	src, err := readDocument(name)
	if err != nil {
		return err
	}
	client := v.platform.client()
	res, err := cicadaconfig.Apply(ctx, client, src)
	if err != nil {
		return err
	}
	printResult(env, res, "is now")
	if v.wait <= 0 {
		return nil
	}
	return v.await(ctx, env, client, res)
}

// await watches the routers until all have the change in force.
func (v *applyVerb) await(ctx context.Context, env *environment, client *cicadastore.Client, res *cicadaconfig.Result) error {
	const look = 100 * time.Millisecond
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, v.wait)
	defer cancel()
	op := newOperatorClient(v.operatorToken)
	for {
		have, lack, err := countInForce(ctx, client, op, res)
		if err == nil && len(lack) == 0 && have > 0 {
			fmt.Fprintf(env.io.Out, "in force at all %d routers after %s\n", have, time.Since(begin).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return fail(ExitWaitTimeout, errors.Errorf("accepted, but after %s in force at %d routers and not at %v (%v)", v.wait, have, lack, err))
		case <-time.After(look):
		}
	}
}

func countInForce(ctx context.Context, client *cicadastore.Client, op *operatorClient, res *cicadaconfig.Result) (have int, lack []string, err error) {
	hosts, err := client.Hosts(ctx)
	if err != nil {
		return 0, nil, err
	}
	for _, h := range hosts {
		if h.State == cicadastore.HostEnded {
			continue
		}
		st, err := op.state(ctx, h.OperatorAddr)
		if err == nil && st.Versions[res.Service] >= res.Version {
			have++
			continue
		}
		lack = append(lack, h.Name)
	}
	return have, lack, nil
}
