package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestEntrySettingsFindings runs testdata/findings: each input is a settings file
// of an entry process, each output the findings of LoadEntrySettings or ok.
func TestEntrySettingsFindings(t *testing.T) {
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
