package main

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"trefoilhead.org/trefoilhead/internal/explainer"
)

// followDefault is how long before the end of a request explain -id looks for lines
// about its servers.
const followDefault = 10 * time.Second

func newExplainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	phase := fs.Duration("phase", 0, "also show the causes for each phase of this length")
	id := fs.String("id", "", "show the lines about the request with this id and about its servers instead")
	before := fs.Duration("before", followDefault, "with -id: how long before the request's end lines about its servers are shown")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "trefoilhead explain [flags] [log ...]",
		ShortHelp: "add up from logs of front and core processes what became of requests and why",
		LongHelp:  "Reads the named logs, or standard input if none is named. Logs of several processes may be mixed.",
		FlagSet:   fs, Options: flagOptions(fs),
		Exec: func(_ context.Context, args []string) error {
			in, closeAll, err := openLogs(args)
			if err != nil {
				return err
			}
			defer closeAll()
			if *id != "" {
				return explainer.Follow(os.Stdout, in, *id, *before)
			}
			e := explainer.Explainer{Phase: *phase}
			if err := e.Read(in); err != nil {
				return err
			}
			r := e.Report()
			return r.WriteText(os.Stdout)
		},
	}
}

// openLogs returns the named files one after the other, or standard input if there are
// none, and a function that closes them.
func openLogs(names []string) (io.Reader, func(), error) {
	if len(names) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	var readers []io.Reader
	for _, n := range names {
		f, err := os.Open(n)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
