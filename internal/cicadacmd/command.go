// Package cicadacmd implements the command line interface and its verbs.
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
	ExitFailed          = 1 // the command failed, or a run violated a guarantee
	ExitUsage           = 2 // invalid flags or arguments
	ExitInvalidDocument = 3 // a document is invalid
	ExitConflict        = 4 // a document is not based on the current version
	ExitUnavailable     = 5 // the platform or a router could not be reached
	ExitNotFound        = 6 // no record of the request was found
	ExitWaitTimeout     = 7 // a change was accepted, but not applied by all routers within --wait
)

// envPrefix is the prefix of the environment variables that set flags, such as
// CICADADYKE_LOG_LEVEL for --log-level.
const envPrefix = "CICADADYKE"

type (
	// IO holds the output streams of a command.
	IO struct {
		Out io.Writer
		Err io.Writer
	}

	// verb is one subcommand.
	verb interface {
		command(env *environment) *ff.Command
	}

	// environment holds the streams, files and common flags that the verbs share.
	environment struct {
		io        IO
		examples  fs.FS
		root      *ff.FlagSet
		logLevel  *string
		logFormat *string
	}

	// exitError is an error with an exit code.
	exitError struct {
		code int
		err  error
	}
)

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

func usageErrorf(format string, args ...any) error {
	return withExitCode(ExitUsage, errors.Errorf(format, args...))
}

// Main runs the command line of the process and returns the exit code. The argument
// examples holds the documents that the demo verb uses.
func Main(args []string, examples fs.FS) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, examples, IO{Out: os.Stdout, Err: os.Stderr})
}

// Run runs the command line with the given arguments and returns the exit code.
func Run(ctx context.Context, args []string, examples fs.FS, stdio IO) int {
	env := &environment{io: stdio, examples: examples, root: ff.NewFlagSet("cicadadyke")}
	env.logLevel = env.root.StringEnumLong("log-level", "minimum severity of log lines", "info", "debug", "warn", "error")
	env.logFormat = env.root.StringEnumLong("log-format", "format of log lines", "text", "json")
	root := &ff.Command{
		Name:      "cicadadyke",
		Usage:     "cicadadyke [FLAGS] VERB [FLAGS] [ARGUMENTS]",
		ShortHelp: "routers that keep organisations within prepaid token budgets",
		LongHelp: "Each flag can also be set by an environment variable: CICADADYKE_LOG_LEVEL for --log-level.\n" +
			"Exit codes: 0 success, 1 failed or a guarantee violated, 2 invalid usage, 3 invalid document,\n" +
			"4 another version came first, 5 platform or router not reached, 6 no such record, 7 not in force in time.",
		Flags: env.root,
	}
	for _, v := range []verb{
		&routerVerb{}, &nodeVerb{}, &checkVerb{}, &diffVerb{}, &applyVerb{}, &explainVerb{}, &stateVerb{}, &topVerb{},
		&reportVerb{}, &quarantineVerb{}, &standinVerb{}, &loadVerb{}, &demoVerb{}, &refusalsVerb{}, &keyVerb{}, &versionVerb{},
	} {
		root.Subcommands = append(root.Subcommands, v.command(env))
	}
	root.Exec = func(context.Context, []string) error { return usageErrorf("name a verb; see cicadadyke --help") }
	return reportError(root, root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix(envPrefix)), stdio)
}

func reportError(root *ff.Command, err error, stdio IO) int {
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
		return exitCodeOf(err)
	}
}

// exitCodeOf returns the exit code for an error that does not carry one.
func exitCodeOf(err error) int {
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

// flags returns the flag set of a verb, with the common flags as its parent.
func (env *environment) flags(name string) *ff.FlagSet {
	return ff.NewFlagSet(name).SetParent(env.root)
}

// logger returns a logger with the format and level that the common flags set.
func (env *environment) logger() log.Interface {
	level := log.MustParseLevel(*env.logLevel)
	if *env.logFormat == "json" {
		return &log.Logger{Handler: json.New(env.io.Err), Level: level}
	}
	return &log.Logger{Handler: logfmt.New(env.io.Err), Level: level}
}
