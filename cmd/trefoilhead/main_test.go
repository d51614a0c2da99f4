package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func TestReadBackup(t *testing.T) {
	state := []byte(`{"objects":[{"kind":"team","id":"t","body":{"weight":1}}]}`)
	valid, err := json.Marshal(backupFile{Revision: 3, Checksum: xxhash.Sum64(state), State: state})
	if err != nil {
		t.Fatal(err)
	}
	objects, err := readBackup(valid)
	if err != nil || len(objects) != 1 || objects[0].ID != "t" {
		t.Errorf("read %v, error %v", objects, err)
	}
	for i := range valid {
		damaged := append([]byte(nil), valid...)
		damaged[i] ^= 1
		objects, err := readBackup(damaged)
		if err == nil && (len(objects) != 1 || objects[0].ID != "t" || string(objects[0].Body) != `{"weight":1}`) {
			t.Errorf("a backup damaged at byte %d was read as %v", i, objects)
		}
	}
}

// TestFlagSources sets flags on the command line, in the environment and in a file,
// and checks which source takes precedence.
func TestFlagSources(t *testing.T) {
	file := filepath.Join(t.TempDir(), "flags")
	if err := os.WriteFile(file, []byte("# comment\nserver http://file:1\nkey file\nf from-file\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TREFOILHEAD_KEY", "environment")
	c := newBackupCommand()
	c.Exec = func(context.Context, []string) error { return nil }
	if err := c.ParseAndRun(context.Background(), []string{"-config", file, "-f", "line"}); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"f": "line", "key": "environment", "server": "http://file:1"} {
		if got := c.FlagSet.Lookup(name).Value.String(); got != want {
			t.Errorf("flag %s is %q, want %q", name, got, want)
		}
	}
}

// TestExitStatus checks the exit status for valid and invalid command lines.
func TestExitStatus(t *testing.T) {
	cases := []struct {
		args []string
		want int
	}{
		{[]string{"validate", "-settings", "../../examples/daugava/settings.yaml", "-f", "../../examples/daugava/declarations"}, 0},
		{[]string{"validate", "-settings", "main.go"}, 1},
		{[]string{"validate", "-f", "nowhere"}, 1},
		{[]string{"drain", "failure_domain"}, 2},
		{[]string{"voter", "promote", "vm"}, 2},
		{[]string{}, 2},
	}
	for _, c := range cases {
		if got := run(c.args); got != c.want {
			t.Errorf("%v exited with status %d, want %d", c.args, got, c.want)
		}
	}
}
