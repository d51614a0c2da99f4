// Command standin runs one emulated backend server: a model engine or a plain service
// that implements trefoilhead's published protocols. POST /faults selects the faults to
// inject; GET /runs returns the number of requests by request mark.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("standin", flag.ContinueOnError)
	d := &trefoilheadv1.BackendServer{Incarnation: uint64(time.Now().UnixNano())}
	fs.StringVar(&d.VmId, "vm", "engine-1", "id of the VM")
	fs.StringVar(&d.FailureDomain, "failure-domain", "riga-a", "failure domain")
	fs.StringVar(&d.FabricDomain, "fabric-domain", "fabric-1", "fabric domain")
	fs.StringVar(&d.Kind, "kind", emulator.KindEngine, "engine, or the id of a plain service")
	fs.BoolVar(&d.HonoursFencing, "honours-fencing", true, "refuse orders with old fencing tokens")
	accelerators := fs.Uint("accelerators", 8, "number of accelerators")
	listen := fs.String("listen", "127.0.0.1:9000", "ip:port to listen on")
	entries := fs.String("entries", "http://127.0.0.1:7002", "control addresses of entries, separated by commas")
	key := fs.String("key", "", "backend servers' key")
	var p emulator.Profile
	fs.DurationVar(&p.LoadTime, "load-time", 10*time.Second, "time to load weights")
	fs.DurationVar(&p.TimeToFirstToken, "first-token", 50*time.Millisecond, "time to the first token")
	fs.DurationVar(&p.TimeBetweenTokens, "between-tokens", 10*time.Millisecond, "time between tokens")
	fs.DurationVar(&p.WarmUpTime, "warm-up", 10*time.Second, "time until the server is warm")
	warm := fs.Uint("warm", 32, "concurrent requests when warm")
	cold := fs.Uint("cold", 4, "concurrent requests when cold")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		return err
	}
	d.Accelerators, p.WarmConcurrency, p.ColdConcurrency = uint32(*accelerators), uint32(*warm), uint32(*cold)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *listen)
	if err != nil {
		return err
	}
	d.Address = "http://" + l.Addr().String()
	s := &emulator.Server{
		Description: d, Profile: p, EntryURLs: strings.Split(*entries, ","), BackendKey: *key, Client: &http.Client{},
		Logger: log.NewLogfmtLogger(os.Stderr),
	}
	s.Init()
	return s.Serve(ctx, l)
}
