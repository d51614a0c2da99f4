package main

import (
	"context"
	"flag"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/fronter"
	"trefoilhead.org/trefoilhead/internal/logger"
	"trefoilhead.org/trefoilhead/internal/reloader"
	"trefoilhead.org/trefoilhead/internal/server"
	"trefoilhead.org/trefoilhead/internal/timekeeper"
	"trefoilhead.org/trefoilhead/platform"
)

// connTimeout is how long the other end of a connection may be unreachable before a
// front or core process closes the connection. It is well below the shortest time
// within which any deployment requires such a failure to be detected.
const connTimeout = time.Second

func newFrontCommand() *ffcli.Command {
	return newNodeCommand("front", "run a front process on the platform", configurer.RoleFront, runFront)
}

func newCoreCommand() *ffcli.Command {
	return newNodeCommand("core", "run a core process on the platform", configurer.RoleCore, runCore)
}

func newNodeCommand(
	name, help string, role configurer.Role,
	run func(ctx context.Context, source settingsSource, cfg configurer.NodeSettings, l log.Logger, registry metrics.Registry) error,
) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	file := fs.String("settings", name+".yaml", "settings file")
	logLevel := fs.String("log-level", "", "debug, info, warn or error; overrides the settings")
	return &ffcli.Command{
		Name: name, ShortUsage: "trefoilhead " + name + " -settings FILE", ShortHelp: help,
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error {
			source := settingsSource{file: *file, sighups: make(chan os.Signal, 1)}
			// Until this call a SIGHUP ends the process.
			signal.Notify(source.sighups, syscall.SIGHUP)
			cfg, err := configurer.LoadNodeSettings(*file, role)
			if err != nil {
				return err
			}
			if *logLevel != "" {
				cfg.Logs.Level = *logLevel
			}
			if err := fillResources(&cfg.MemoryMB, &cfg.MaxDescriptors); err != nil {
				return err
			}
			w := &logger.Writer{Out: os.Stdout}
			defer w.Close()
			registry := metrics.NewRegistry()
			metrics.NewRegisteredFunctionalGauge("log_lines_omitted", registry, w.OmittedLines)
			return run(ctx, source, cfg, newNodeLogger(w, cfg.Logs.Level), registry)
		},
	}
}

// settingsSource is the settings file of a process, and the signals upon which it is loaded again.
type settingsSource struct {
	file    string
	sighups chan os.Signal
}

// newNodeLogger returns a logger that writes to w. A front or core process logs to
// standard output, where the platform collects logs.
func newNodeLogger(w *logger.Writer, minLevel string) log.Logger {
	l := log.NewLogfmtLogger(w)
	l = log.With(l, "time", log.DefaultTimestampUTC)
	return level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}

func runFront(ctx context.Context, source settingsSource, cfg configurer.NodeSettings, l log.Logger, registry metrics.Registry) error {
	network := server.NewNetwork(connTimeout)
	f := &fronter.Front{
		Settings: cfg, Logger: l, Network: network, Dialect: platform.Dialect{}, Metrics: registry,
		DecodeCatalog: platform.DecodeCatalog, Elapsed: timekeeper.SinceBoot, Seed: uint64(time.Now().UnixNano()),
	}
	f.DialBackend = func(ctx context.Context, protocol, address string) (net.Conn, error) {
		return server.DialBackend(ctx, network, protocol, address)
	}
	f.ReadinessHandler = platform.NewReadinessHandler(f.Ready)
	f.Init()
	go watchSettings(ctx, source, configurer.RoleFront, l, f.SetSeedPeers)
	return f.Run(ctx)
}

func runCore(ctx context.Context, source settingsSource, cfg configurer.NodeSettings, l log.Logger, registry metrics.Registry) error {
	network := server.NewNetwork(connTimeout)
	c := &coordinator.Coordinator{
		Settings: cfg, Logger: l, Network: network, Metrics: registry, DecodeCatalog: platform.DecodeCatalog,
		Elapsed: timekeeper.SinceBoot, Seed: uint64(time.Now().UnixNano()),
		OrderSender: &platform.OrderSender{Logger: l, Client: platform.NewOrderClient(network.DialContext)},
	}
	c.ControlHandler = platform.NewControlHandler(c, l)
	c.Init()
	go watchSettings(ctx, source, configurer.RoleCore, l, c.AddSeeds)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		select {
		case <-ctx.Done():
			c.Leave()
			stop()
		case <-runCtx.Done():
		}
	}()
	return c.Run(runCtx)
}

// watchSettings applies the settings that may change while a process runs, whenever
// the settings file changes or the process receives SIGHUP.
func watchSettings(ctx context.Context, source settingsSource, role configurer.Role, l log.Logger, apply func(*configurer.NodeSettings)) {
	reloader.Watch(ctx, source.file, source.sighups, func() {
		cfg, err := configurer.LoadNodeSettings(source.file, role)
		if err != nil {
			_ = level.Error(l).Log("msg", "cannot load changed settings; keeping the current ones", "err", err)
			return
		}
		apply(&cfg)
		_ = level.Info(l).Log("msg", "reloaded the settings", "seeds", len(cfg.Seeds))
	})
}
