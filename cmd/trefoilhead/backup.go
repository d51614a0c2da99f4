package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
)

// backupFile is the JSON content of a backup file.
type backupFile struct {
	Revision uint64          `json:"revision"`
	Checksum uint64          `json:"checksum"`
	State    json.RawMessage `json:"state"`
}

func newBackupCommand() *ffcli.Command {
	fs := flag.NewFlagSet("backup", flag.ContinueOnError)
	var f serverFlags
	f.addFlags(fs)
	file := fs.String("f", "", "file to write")
	return &ffcli.Command{
		Name: "backup", ShortUsage: "trefoilhead backup -f FILE", ShortHelp: "write the configuration to a file",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return writeBackup(ctx, &f, *file) },
	}
}

func writeBackup(ctx context.Context, f *serverFlags, file string) error {
	resp, err := f.newClient().Backup(ctx, connect.NewRequest(&trefoilheadv1.BackupRequest{}))
	if err != nil {
		return err
	}
	m := resp.Msg
	data, err := json.Marshal(backupFile{Revision: m.GetRevision(), Checksum: m.GetChecksum(), State: m.GetData()})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	_, _ = fmt.Printf("revision %d written to %s\n", m.GetRevision(), file)
	return nil
}

func newRestoreCommand() *ffcli.Command {
	fs := flag.NewFlagSet("restore", flag.ContinueOnError)
	var a applyOptions
	a.addFlags(fs)
	file := fs.String("f", "", "backup file")
	fs.BoolVar(&a.dryRun, "dry-run", false, "print the change without making it")
	fs.DurationVar(&a.waitTimeout, "wait", 0, "wait up to this time until the change is in force everywhere")
	fs.StringVar(&a.requestID, "request-id", "", "id of this call; a repeated call with the same id returns the outcome of the first")
	return &ffcli.Command{
		Name: "restore", ShortUsage: "trefoilhead restore -f FILE", ShortHelp: "replace the declared objects with those of a backup, as a new revision",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return a.restoreBackup(ctx, os.Stdout, *file) },
	}
}

// restoreBackup makes the declared objects match those of a backup. It does not
// change drains.
func (a *applyOptions) restoreBackup(ctx context.Context, w io.Writer, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	objects, err := readBackup(data)
	if err != nil {
		return err
	}
	return a.applyObjects(ctx, w, objects)
}

// readBackup verifies the checksum of a backup and returns its declared objects.
func readBackup(data []byte) ([]declarer.Object, error) {
	var b backupFile
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("the file is not a backup: %w", err)
	}
	if xxhash.Sum64(b.State) != b.Checksum {
		return nil, errors.New("the backup is damaged: its checksum does not match")
	}
	var state struct {
		Objects []declarer.Object `json:"objects"`
	}
	if err := json.Unmarshal(b.State, &state); err != nil {
		return nil, fmt.Errorf("the backup is damaged: %w", err)
	}
	return state.Objects, nil
}
