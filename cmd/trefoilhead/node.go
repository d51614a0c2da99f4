package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
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

// nodeSilence is how long a connection of a front or core process to another
// process or a backend server may be silent on the network's level: well below
// the shortest time in which a deployment expects others to notice.
const nodeSilence = time.Second

// memoryShare is the part of the VM's memory from which on the runtime collects
// garbage more often; the rest is for stacks and what the kernel holds.
const memoryShare = 0.7

func newFront() *ffcli.Command {
	return newNode("front", "run a front process on the users' platform", configurer.RoleFront, runFront)
}

func newCore() *ffcli.Command {
	return newNode("core", "run a core process on the users' platform", configurer.RoleCore, runCore)
}

func newNode(
	name, help string, role configurer.Role,
	run func(ctx context.Context, file string, set configurer.NodeSettings, l log.Logger, shown metrics.Registry) error,
) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	file := fs.String("settings", name+".yaml", "settings file")
	logLevel := fs.String("log-level", "", "debug, info, warn or error; overrides the settings")
	return &ffcli.Command{
		Name: name, ShortUsage: "trefoilhead " + name + " -settings FILE", ShortHelp: help,
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error {
			set, err := configurer.LoadNodeSettings(*file, role)
			if err != nil {
				return err
			}
			if *logLevel != "" {
				set.Logs.Level = *logLevel
			}
			if set.MemoryMB > 0 {
				debug.SetMemoryLimit(int64(float64(set.MemoryMB<<20) * memoryShare))
			}
			w := &logger.Writer{Out: os.Stdout}
			defer w.Close()
			shown := metrics.NewRegistry()
			metrics.NewRegisteredFunctionalGauge("log_lines_omitted", shown, w.OmittedLines)
			return run(ctx, *file, set, newNodeLogger(w, set.Logs.Level), shown)
		},
	}
}

// newNodeLogger writes to standard output, where the platform takes logs.
func newNodeLogger(w *logger.Writer, lowest string) log.Logger {
	l := log.NewLogfmtLogger(w)
	l = log.With(l, "time", log.DefaultTimestampUTC)
	return level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
}

func runFront(ctx context.Context, file string, set configurer.NodeSettings, l log.Logger, shown metrics.Registry) error {
	f := &fronter.Front{
		Settings: set, Logger: l, Network: server.NewNetwork(nodeSilence), Dialect: platform.Dialect{}, Metrics: shown,
		DecodeCatalog: platform.DecodeCatalog, Elapsed: timekeeper.SinceBoot, Seed: uint64(time.Now().UnixNano()),
	}
	f.ReadinessHandler = platform.NewReadinessHandler(f.Ready)
	f.Init()
	go watchSettings(ctx, file, configurer.RoleFront, l, f.SetSeedPeers)
	return f.Run(ctx)
}

func runCore(ctx context.Context, file string, set configurer.NodeSettings, l log.Logger, shown metrics.Registry) error {
	network := server.NewNetwork(nodeSilence)
	c := &coordinator.Coordinator{
		Settings: set, Logger: l, Network: network, Metrics: shown, DecodeCatalog: platform.DecodeCatalog,
		Elapsed: timekeeper.SinceBoot, Seed: uint64(time.Now().UnixNano()),
		OrderSender: &platform.OrderSender{
			Logger: l,
			Client: &http.Client{Transport: &http.Transport{
				DialContext: network.DialContext, DisableCompression: true, IdleConnTimeout: time.Second,
			}},
		},
	}
	c.ControlHandler = platform.NewControlHandler(c, l)
	c.Init()
	go watchSettings(ctx, file, configurer.RoleCore, l, c.AddSeeds)
	return c.Run(ctx)
}

// watchSettings takes over what may change while a process runs.
func watchSettings(ctx context.Context, file string, role configurer.Role, l log.Logger, apply func(*configurer.NodeSettings)) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	reloader.Watch(ctx, file, hups, func() {
		set, err := configurer.LoadNodeSettings(file, role)
		if err != nil {
			_ = level.Error(l).Log("msg", "changed settings are not taken", "err", err)
			return
		}
		apply(&set)
		_ = level.Info(l).Log("msg", "settings were read again", "seeds", len(set.Seeds))
	})
}
