// Command trefoilhead serves large models whose replicas span several VMs. Its
// subcommands run an entry process and let operators declare what it serves.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// envPrefix starts the environment variable of every flag.
const envPrefix = "TREFOILHEAD"

func main() {
	os.Exit(run(os.Args[1:]))
}

// run returns the exit status: 0 for success, 1 for a failure, 2 for a wrong
// command line.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ParseAndRun(ctx, args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 2
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func newRoot() *ffcli.Command {
	return &ffcli.Command{
		Name:       "trefoilhead",
		ShortUsage: "trefoilhead <command> [flags]",
		Subcommands: []*ffcli.Command{
			newServe(), newFront(), newCore(), newApply(), newGet(), newDrain("drain", true), newDrain("undrain", false),
			newDump(), newBackup(), newRestore(), newVoter(), newValidate(), newDemo(), newLoad(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
