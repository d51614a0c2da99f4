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

func newServeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	settings := fs.String("settings", "trefoilhead.yaml", "settings file")
	logLevel := fs.String("log-level", "", "debug, info, warn or error; overrides the settings")
	return &ffcli.Command{
		Name: "serve", ShortUsage: "trefoilhead serve -settings FILE", ShortHelp: "run an entry process",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return runServe(ctx, *settings, *logLevel) },
	}
}

// flagOptions allows every flag to be set on the command line, in the environment,
// or in a file with a flag name and a value on each line. The command line takes
// precedence over the environment, and the environment over the file.
func flagOptions(fs *flag.FlagSet) []ff.Option {
	fs.String("config", "", "file of flags, a name and a value in each line")
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser),
	}
}

func runServe(ctx context.Context, file, logLevel string) error {
	cfg, err := configurer.LoadEntrySettings(file)
	if err != nil {
		return err
	}
	if logLevel != "" {
		cfg.Logs.Level = logLevel
	}
	if err := fillResources(&cfg.Limits.MemoryMB, &cfg.Limits.MaxDescriptors); err != nil {
		return err
	}
	logger := newLogger(cfg.Logs.Level)
	now := time.Now()
	s := &server.Server{
		Settings: cfg, Logger: logger,
		Incarnation: identifier.Incarnation(now.UnixNano()), Seed: uint64(now.UnixNano()),
	}
	dumpSignals := make(chan os.Signal, 1)
	signal.Notify(dumpSignals, syscall.SIGUSR1)
	go func() {
		for range dumpSignals {
			_, _ = os.Stderr.Write(append(s.Dump(), '\n'))
		}
	}()
	return s.Run(ctx)
}

func newLogger(minLevel string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	l = log.With(l, "time", log.DefaultTimestampUTC)
	return level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}

func newDemoCommand() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	once := fs.Bool("once", false, "exit after the demo steps; the exit status is 0 if all of them succeeded")
	logLevel := fs.String("log-level", "error", "debug, info, warn or error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "trefoilhead demo [-once]", ShortHelp: "run and demonstrate a small system on the loopback interface",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error {
			d := &demonstrator.Demo{Out: os.Stdout, Logger: newLogger(*logLevel), Once: *once}
			return d.Run(ctx)
		},
	}
}
