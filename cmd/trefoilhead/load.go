package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"trefoilhead.org/trefoilhead/internal/loader"
)

func newLoad() *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	entries := fs.String("entries", "http://127.0.0.1:7001", "callers' addresses of entries, separated by commas")
	t := loader.Traffic{Team: "team"}
	fs.StringVar(&t.APIKey, "api-key", "", "API key of the team")
	fs.StringVar(&t.Service, "service", "dispatch-assistant", "model service to ask")
	fs.Float64Var(&t.RequestsPerSecond, "rate", 50, "requests per second")
	arrivals := fs.String("arrivals", string(loader.Poisson), "constant, poisson, ramp or festival")
	fs.IntVar(&t.MeanAnswerTokens, "tokens", 32, "tokens of each answer")
	fs.Float64Var(&t.AnswerTokenSpread, "spread", 0, "share by which the tokens of answers vary")
	fs.IntVar(&t.MeanPromptBytes, "prompt-bytes", 400, "mean length of a prompt")
	fs.IntVar(&t.PromptPrefixes, "prefixes", 0, "number of distinct starts of prompts; 0 makes all differ")
	duration := fs.Duration("duration", 10*time.Second, "length of the run")
	timeout := fs.Duration("timeout", 30*time.Second, "what callers wait at most")
	seed := fs.Uint64("seed", 1, "seed of arrivals and prompts")
	report := fs.String("report", "", "file for the report in JSON")
	return &ffcli.Command{
		Name: "load", ShortUsage: "trefoilhead load [flags]", ShortHelp: "send load and check every answer",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error {
			t.Arrivals = loader.ArrivalPattern(*arrivals)
			l := &loader.LoadTest{
				EntryURLs: strings.Split(*entries, ","), Traffic: []loader.Traffic{t}, Duration: *duration,
				Timeout: *timeout, Seed: *seed,
				Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
				Progress: func(c loader.Counts) {
					_, _ = fmt.Fprintf(os.Stderr, "sent %d, complete %d, refused %d, broken %d, wrong %d\n",
						c.Sent, c.Complete, c.NotRun+c.MayHaveRun, c.Broken, c.Wrong)
				},
			}
			return writeReport(l.Run(ctx), *report)
		},
	}
}

func writeReport(reports []loader.TeamReport, file string) error {
	b, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	if file == "" {
		_, err = fmt.Println(string(b))
		return err
	}
	return os.WriteFile(file, b, 0o600)
}
