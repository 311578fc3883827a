package cicadacmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/cicadadyke/cicadadyke/internal/cicadaedge"
	"github.com/cicadadyke/cicadadyke/internal/cicadaquarantine"
	cicadaplatform "github.com/cicadadyke/cicadadyke/platform"
	"github.com/peterbourgon/ff/v4"
)

// quarantineVerb lists what is in quarantine because it crashes runners, and lifts it.
type quarantineVerb struct {
	settings string
	lift     string
}

func (v *quarantineVerb) command(env *environment) *ff.Command {
	fs := env.flags("quarantine")
	fs.StringVar(&v.settings, 0, "settings", "", "settings file of a router; if empty, the path set by the platform is used")
	fs.StringVar(&v.lift, 0, "lift", "", "trait to clear, as it is listed")
	return &ff.Command{
		Name: "quarantine", Usage: "cicadadyke quarantine [FLAGS]", ShortHelp: "list or lift the quarantine of requests that crash runners",
		LongHelp: "Reads the crashes that routers have reported in the platform's store, and prints the traits of the requests\n" +
			"that they refuse: parts of prompts, and hashes of single requests. --lift clears a trait, once runners no longer\n" +
			"crash over it. Routers follow within seconds; further crashes put it in quarantine again.\n\n" +
			"Example:\n  cicadadyke quarantine --settings node.yaml --lift part:5c1e07a2",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

func (v *quarantineVerb) run(ctx context.Context, env *environment, args []string) error {
	if len(args) > 0 {
		return usageErrorf("quarantine takes no arguments")
	}
	settings, err := cicadaplatform.LoadSettings(settingsPath(v.settings))
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	store := cicadaplatform.NewStore(cicadaplatform.StoreConfig{Addr: settings.StoreAddr(), Timeout: storeTimeout, LinkMbps: settings.LinkMbps()})
	if v.lift != "" {
		if err := cicadaedge.LiftQuarantine(ctx, store, cicadaquarantine.Trait(v.lift)); err != nil {
			return withExitCode(ExitFailed, err)
		}
	}
	blocks, err := cicadaedge.ReadQuarantine(ctx, store)
	if err != nil {
		return withExitCode(ExitUnavailable, err)
	}
	w := tabwriter.NewWriter(env.io.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "TRAITS\tCRASHES\tFIRST\tLAST\tUNTIL\tRUNNERS\n")
	for _, b := range blocks {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\n", b.String(), len(b.Runners), b.FirstMillis, b.LastMillis, b.UntilMillis, b.Runners)
	}
	return w.Flush()
}
