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

// reportVerb says where requests and units went, from the logs of routers.
type reportVerb struct {
	step     time.Duration
	examples int
}

func (v *reportVerb) command(env *environment) *ff.Command {
	fs := env.flags("report")
	fs.DurationVar(&v.step, 0, "step", time.Second, "time that a row covers")
	fs.IntVar(&v.examples, 0, "examples", 3, "request ids to name for each cause")
	return &ff.Command{
		Name: "report", Usage: "cicadadyke report [FLAGS] FILE|DIR...", ShortHelp: "say from routers' logs where requests and units went",
		LongHelp: "Reads JSON log lines of many routers in one pass. A file holds one host's lines and is named after it,\n" +
			"or a collector's, with the host as the last word before each line. A directory stands for its files.\n" +
			"Lines that cannot be read are counted and named.\n\n" +
			"Example:\n  cicadadyke report --step 2s logs/",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

func (v *reportVerb) run(ctx context.Context, env *environment, args []string) error {
	switch {
	case len(args) == 0:
		return usagef("name the logs to read: files, or directories of them")
	case v.step < time.Millisecond:
		return usagef("--step %s is too short: a millisecond is the least", v.step)
	case v.examples < 0:
		return usagef("--examples %d is below zero", v.examples)
	}
	files, size, err := logFiles(args)
	if err != nil {
		return fail(ExitUsage, err)
	}
	progress := io.Discard
	if f, ok := env.io.Err.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		progress = progressbar.DefaultBytes(size, "reading logs")
	}
	tally := cicadareport.New(cicadareport.Config{Interval: v.step, MaxExamples: v.examples})
	for _, path := range files {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := readLog(tally, path, progress); err != nil {
			return err
		}
	}
	if tally.Requests() == 0 {
		return errors.Errorf("no request in %d files: are these the routers' JSON logs, at level info?", len(files))
	}
	return tally.WriteText(env.io.Out)
}

func readLog(tally *cicadareport.Summary, path string, progress io.Writer) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	return tally.Read(path, cicadareport.HostFromPath(path), io.TeeReader(f, progress))
}

// logFiles lists the files that arguments name, and their size in bytes.
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
