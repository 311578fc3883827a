// Package cicadacmd is the command line: one file for each verb.
package cicadacmd

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadadoc"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	ExitOK              = 0
	ExitFailed          = 1 // the command failed, or a run broke a promise
	ExitUsage           = 2 // wrong flags or arguments
	ExitInvalidDocument = 3 // a document has mistakes
	ExitConflict        = 4 // another version came first
	ExitUnavailable     = 5 // the platform or a router could not be reached
	ExitNotFound        = 6 // there is no record of the request
	ExitWaitTimeout     = 7 // a change was accepted, but --wait ran out
)

// envPrefix begins the environment variables that stand for flags:
// CICADADYKE_LOG_LEVEL for --log-level.
const envPrefix = "CICADADYKE"

type (
	// IO is where a command reads and writes.
	IO struct {
		Out io.Writer
		Err io.Writer
	}

	// verb is one subcommand.
	verb interface {
		command(env *environment) *ff.Command
	}

	// environment is what the verbs share.
	environment struct {
		io       IO
		examples fs.FS
		root     *ff.FlagSet
		logLevel *string
		logForm  *string
	}

	// exitError carries an exit code.
	exitError struct {
		code int
		err  error
	}
)

// Error returns the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func fail(code int, err error) error { return &exitError{code: code, err: err} }

func usagef(format string, args ...any) error {
	return fail(ExitUsage, errors.Errorf(format, args...))
}

// Main runs the command line and returns the exit code. Examples holds the
// documents that the demonstration uses.
func Main(args []string, examples fs.FS) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, examples, IO{Out: os.Stdout, Err: os.Stderr})
}

// Run runs the command line with the given arguments and returns the exit code.
func Run(ctx context.Context, args []string, examples fs.FS, stdio IO) int {
	env := &environment{io: stdio, examples: examples, root: ff.NewFlagSet("cicadadyke")}
	env.logLevel = env.root.StringEnumLong("log-level", "least severity of log lines", "info", "debug", "warn", "error")
	env.logForm = env.root.StringEnumLong("log-format", "form of log lines", "text", "json")
	root := &ff.Command{
		Name:      "cicadadyke",
		Usage:     "cicadadyke [FLAGS] VERB [FLAGS] [ARGUMENTS]",
		ShortHelp: "routers that keep organisations within prepaid token budgets",
		LongHelp: "Each flag has an environment variable as its twin: --log-level is CICADADYKE_LOG_LEVEL.\n" +
			"Exit codes: 0 done, 1 failed or a promise broken, 2 wrong usage, 3 document with mistakes,\n" +
			"4 another version came first, 5 platform or router not reached, 6 no such record, 7 not in force in time.",
		Flags: env.root,
	}
	for _, v := range []verb{
		&routerVerb{}, &nodeVerb{}, &checkVerb{}, &diffVerb{}, &applyVerb{}, &explainVerb{}, &stateVerb{}, &topVerb{},
		&reportVerb{}, &standinVerb{}, &loadVerb{}, &demoVerb{}, &refusalsVerb{}, &keyVerb{}, &versionVerb{},
	} {
		root.Subcommands = append(root.Subcommands, v.command(env))
	}
	root.Exec = func(context.Context, []string) error { return usagef("name a verb; see cicadadyke --help") }
	return finish(root, root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix(envPrefix)), stdio)
}

func finish(root *ff.Command, err error, stdio IO) int {
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprintln(stdio.Out, ffhelp.Command(root.GetSelected()))
		return ExitOK
	case errors.As(err, &exit):
		fmt.Fprintln(stdio.Err, "cicadadyke:", err)
		return exit.code
	default:
		fmt.Fprintln(stdio.Err, "cicadadyke:", err)
		return codeOf(err)
	}
}

// codeOf returns the exit code of an error from a layer below.
func codeOf(err error) int {
	var invalid *cicadadoc.InvalidError
	var conflict *cicadaconfig.ConflictError
	switch {
	case errors.As(err, &invalid):
		return ExitInvalidDocument
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, cicadastore.ErrUnavailable), errors.Is(err, cicadastore.ErrThrottled):
		return ExitUnavailable
	case errors.Is(err, ff.ErrUnknownFlag), errors.Is(err, ff.ErrDuplicateFlag):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// flags returns a verb's flag set, with the common flags as its parent.
func (env *environment) flags(name string) *ff.FlagSet {
	return ff.NewFlagSet(name).SetParent(env.root)
}

// logger returns the logger that the common flags ask for.
func (env *environment) logger() log.Interface {
	level := log.MustParseLevel(*env.logLevel)
	if *env.logForm == "json" {
		return &log.Logger{Handler: json.New(env.io.Err), Level: level}
	}
	return &log.Logger{Handler: logfmt.New(env.io.Err), Level: level}
}
