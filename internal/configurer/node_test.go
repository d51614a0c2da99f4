package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestNodeFindings is TestFindings for the settings of the roles front and core.
func TestNodeFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/node", func(t *testing.T, d *datadriven.TestData) string {
		name := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(name, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadNodeSettings(name, Role(d.Cmd)); err != nil {
			return strings.ReplaceAll(err.Error(), name, "settings.yaml")
		}
		return "ok"
	})
}
