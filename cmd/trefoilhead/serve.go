package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/demonstrator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/server"
)

func newServe() *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	settings := fs.String("settings", "trefoilhead.yaml", "settings file")
	logLevel := fs.String("log-level", "", "debug, info, warn or error; overrides the settings")
	return &ffcli.Command{
		Name: "serve", ShortUsage: "trefoilhead serve -settings FILE", ShortHelp: "run an entry process",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return serve(ctx, *settings, *logLevel) },
	}
}

// flagOptions lets every flag also come from the environment and from a file of
// lines with a flag's name and value, in that order of precedence after the
// command line.
func flagOptions(fs *flag.FlagSet) []ff.Option {
	fs.String("config", "", "file of flags, a name and a value in each line")
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser),
	}
}

func serve(ctx context.Context, file, logLevel string) error {
	set, err := configurer.LoadEntrySettings(file)
	if err != nil {
		return err
	}
	if logLevel != "" {
		set.Logs.Level = logLevel
	}
	logger := newLogger(set.Logs.Level)
	now := time.Now()
	s := &server.Server{
		Settings: set, Logger: logger,
		Incarnation: identifier.Incarnation(now.UnixNano()), Seed: uint64(now.UnixNano()),
	}
	dumps := make(chan os.Signal, 1)
	signal.Notify(dumps, syscall.SIGUSR1)
	go func() {
		for range dumps {
			_, _ = os.Stderr.Write(append(s.Dump(), '\n'))
		}
	}()
	return s.Run(ctx)
}

func newLogger(lowest string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	l = log.With(l, "time", log.DefaultTimestampUTC)
	return level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
}

func newDemo() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	once := fs.Bool("once", false, "end after the steps; the exit status tells whether all held")
	logLevel := fs.String("log-level", "error", "debug, info, warn or error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "trefoilhead demo [-once]", ShortHelp: "show a small system on the loopback interface",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error {
			d := &demonstrator.Demo{Out: os.Stdout, Logger: newLogger(*logLevel), Once: *once}
			return d.Run(ctx)
		},
	}
}
