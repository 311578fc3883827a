package cicadacmd

import (
	"context"

	"github.com/peterbourgon/ff/v4"
)

// demoVerb runs the demonstration.
type demoVerb struct{ json bool }

func (v *demoVerb) command(env *environment) *ff.Command {
	fs := env.flags("demo")
	fs.BoolVar(&v.json, 0, "json", "print JSON")
	return &ff.Command{Name: "demo", Usage: "cicadadyke demo", Flags: fs, Exec: func(context.Context, []string) error { return nil }}
}
