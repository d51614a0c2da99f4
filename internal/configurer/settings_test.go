package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestFindings runs the files under testdata: each input is a settings file,
// each output what Load finds in it.
func TestFindings(t *testing.T) {
	datadriven.Walk(t, "testdata/findings", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(name, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadEntrySettings(name)
			if err == nil {
				return "ok"
			}
			return strings.ReplaceAll(err.Error(), name, "settings.yaml")
		})
	})
}
