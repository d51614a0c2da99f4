package reloader

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

func TestWatchReportsChangesAndSignals(t *testing.T) {
	name := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a")
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		signals := make(chan os.Signal, 1)
		n := 0
		go Watch(ctx, name, signals, func() { n++ })
		for _, step := range []struct {
			what string
			do   func()
			want int
		}{
			{"nothing", func() {}, 0},
			{"a change of the file", func() { write("ab") }, 1},
			{"nothing more", func() {}, 1},
			{"a signal", func() { signals <- os.Interrupt }, 2},
			{"the file is away", func() { _ = os.Remove(name) }, 3},
			{"the file is back", func() { write("abc") }, 4},
		} {
			step.do()
			time.Sleep(2 * pace)
			synctest.Wait()
			if n != step.want {
				t.Errorf("after %s: %d calls, want %d", step.what, n, step.want)
			}
		}
		stop()
		synctest.Wait()
	})
}
