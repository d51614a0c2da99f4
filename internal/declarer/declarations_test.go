package declarer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDeclarations runs the files under testdata: parse shows findings or the
// objects, diff the change from one set of declarations to another.
func TestDeclarations(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "diff" {
				have, want, _ := strings.Cut(d.Input, "=>\n")
				return diffOf(have, want)
			}
			ds, err := Parse("d.yaml", []byte(d.Input))
			if err != nil {
				return err.Error()
			}
			var b strings.Builder
			for _, o := range ds.Objects() {
				fmt.Fprintf(&b, "%s %s %s\n", o.Kind, o.ID, o.Body)
			}
			return b.String()
		})
	})
}

func diffOf(have, want string) string {
	a, err := Parse("have.yaml", []byte(have))
	if err != nil {
		return err.Error()
	}
	b, err := Parse("want.yaml", []byte(want))
	if err != nil {
		return err.Error()
	}
	diff := ComputeDiff(a.Objects(), b.Objects())
	var out strings.Builder
	for _, o := range diff.Put {
		fmt.Fprintf(&out, "put %s %s\n", o.Kind, o.ID)
	}
	for _, k := range diff.Remove {
		fmt.Fprintf(&out, "remove %s %s\n", k.Kind, k.ID)
	}
	return out.String()
}

// TestCheckObject gives objects as they may come over the network.
func TestCheckObject(t *testing.T) {
	good := newObject(KindService, "s", Service{ID: "s", Kind: PlainService, Concurrency: 2, ColdConcurrency: 1})
	cases := []struct {
		name string
		o    Object
		ok   bool
	}{
		{"a whole service", good, true},
		{"another id than its body", Object{Key{KindService, "t"}, good.Body}, false},
		{"an unknown kind", Object{Key{"node", "s"}, good.Body}, false},
		{"no JSON", Object{Key{KindTeam, "s"}, []byte("{")}, false},
		{"a team without a key", newObject(KindTeam, "t", Team{ID: "t", Weight: 1}), false},
	}
	for _, c := range cases {
		if err := CheckObject(c.o); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// FuzzCheckObject requires that whatever comes over the network is judged
// without a panic.
func FuzzCheckObject(f *testing.F) {
	f.Add(KindService, "s", []byte(`{"id":"s","kind":"plain"}`))
	f.Fuzz(func(t *testing.T, kind, id string, body []byte) {
		if err := CheckObject(Object{Key{kind, id}, body}); err == nil && id == "" {
			t.Error("an object without an id was accepted")
		}
	})
}
