package cicadacmd

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadareport"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// reportVerb summarises the outcomes of requests and the use of units from the logs
// of routers.
type reportVerb struct {
	step     time.Duration
	examples int
}

func (v *reportVerb) command(env *environment) *ff.Command {
	fs := env.flags("report")
	fs.DurationVar(&v.step, 0, "step", time.Second, "interval that a row covers")
	fs.IntVar(&v.examples, 0, "examples", 3, "number of example request ids for each cause")
	return &ff.Command{
		Name: "report", Usage: "cicadadyke report [FLAGS] FILE|DIR...", ShortHelp: "summarise outcomes of requests and use of units from routers' logs",
		LongHelp: "Reads JSON log lines of many routers in one pass. A file holds the lines of one host and is named after it,\n" +
			"or those of a log collector, with the host as the last word before each line. Directories are searched\n" +
			"for files. Lines that cannot be parsed are counted and listed.\n\n" +
			"Example:\n  cicadadyke report --step 2s logs/",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

func (v *reportVerb) run(ctx context.Context, env *environment, args []string) error {
	switch {
	case len(args) == 0:
		return usageErrorf("name the logs to read: files, or directories of them")
	case v.step < time.Millisecond:
		return usageErrorf("--step %s is too short: the minimum is 1ms", v.step)
	case v.examples < 0:
		return usageErrorf("--examples %d is below zero", v.examples)
	}
	files, size, err := logFiles(args)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	progress := io.Discard
	if f, ok := env.io.Err.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		progress = progressbar.DefaultBytes(size, "reading logs")
	}
	summary := cicadareport.New(cicadareport.Config{Interval: v.step, MaxExamples: v.examples})
	for _, path := range files {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := readLog(summary, path, progress); err != nil {
			return err
		}
	}
	if summary.Requests() == 0 {
		return errors.Errorf("no request in %d files: are these the routers' JSON logs, at level info?", len(files))
	}
	return summary.WriteText(env.io.Out)
}

func readLog(summary *cicadareport.Summary, path string, progress io.Writer) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	return summary.Read(path, cicadareport.HostFromPath(path), io.TeeReader(f, progress))
}

// logFiles returns the files in args and in the directories in args, and their total
// size in bytes.
func logFiles(args []string) (files []string, size int64, err error) {
	for _, arg := range args {
		err = filepath.WalkDir(arg, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			info, err := d.Info()
			if err != nil {
				return err
			}
			files, size = append(files, path), size+info.Size()
			return nil
		})
		if err != nil {
			return nil, 0, errors.Wrap(err, "find logs")
		}
	}
	if len(files) == 0 {
		return nil, 0, errors.Errorf("no files in %v", args)
	}
	return files, size, nil
}
