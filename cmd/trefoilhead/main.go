// Command trefoilhead serves large models whose replicas span several VMs. Its
// subcommands run the processes of a system, and let operators change and inspect
// what the system serves.
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

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "TREFOILHEAD"

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes a command line and returns the exit status: 0 for success, 1 for a
// failure, and 2 for an invalid command line.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRootCommand().ParseAndRun(ctx, args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 2
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func newRootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "trefoilhead",
		ShortUsage: "trefoilhead <command> [flags]",
		Subcommands: []*ffcli.Command{
			newServeCommand(), newFrontCommand(), newCoreCommand(), newApplyCommand(), newGetCommand(), newDrainCommand("drain", true), newDrainCommand("undrain", false),
			newDumpCommand(), newBackupCommand(), newRestoreCommand(), newVoterCommand(), newValidateCommand(), newDemoCommand(), newLoadCommand(),
			newExplainCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
