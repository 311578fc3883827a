package cicadacmd

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/peterbourgon/ff/v4"
)

type (
	// keyVerb prints the digest of an API key.
	keyVerb struct{}

	// versionVerb prints the program's version and the schema of documents.
	versionVerb struct{}
)

func (v *keyVerb) command(env *environment) *ff.Command {
	return &ff.Command{
		Name: "key", Usage: "cicadadyke key API-KEY", ShortHelp: "print an API key's digest for the document",
		LongHelp: "Example:\n  cicadadyke key my-secret", Flags: env.flags("key"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return usageErrorf("key takes one API-KEY")
			}
			fmt.Fprintln(env.io.Out, cicadaconfig.KeyDigest(args[0]))
			return nil
		},
	}
}

func (v *versionVerb) command(env *environment) *ff.Command {
	return &ff.Command{
		Name: "version", Usage: "cicadadyke version", ShortHelp: "print the version", Flags: env.flags("version"),
		Exec: func(context.Context, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			fmt.Fprintf(env.io.Out, "cicadadyke %s, document schema %s\n", version, cicadadoc.Schema)
			return nil
		},
	}
}
