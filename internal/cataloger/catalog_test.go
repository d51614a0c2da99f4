package cataloger

import (
	"strings"
	"testing"
	"time"
)

func validCatalog() *Catalog {
	return &Catalog{
		Version:  1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "r1", Host: "h.example", PathPrefix: "/x/", Timeout: time.Second, Targets: []Target{{"a", 1}}},
			{Name: "r2", Host: "h.example", PathPrefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"b", 0}, {"a", 3}}},
			{Name: "r3", Host: "o.example", PathPrefix: "/x/", Timeout: time.Second, Targets: []Target{{"b", 1}}},
		},
		Teams: []Team{{Name: "t", Keys: []string{"k1", "k2"}}, {Name: "u", Keys: []string{"k3"}}},
	}
}

func TestIndexRejectsInvalidCatalogs(t *testing.T) {
	for name, test := range map[string]struct {
		modify func(c *Catalog)
		want   string
	}{
		"valid":           {func(*Catalog) {}, ""},
		"no version":      {func(c *Catalog) { c.Version = 0 }, "version"},
		"unknown service": {func(c *Catalog) { c.Routes[0].Targets[0].Service = "z" }, `"z" is not listed`},
		"same prefix":     {func(c *Catalog) { c.Routes[1].PathPrefix = "/x/" }, `another route has "h.example/x/"`},
		"same host, different case": {func(c *Catalog) {
			c.Routes[1].Host, c.Routes[1].PathPrefix = "H.Example", "/x/"
		}, "another route has"},
		"no weight":         {func(c *Catalog) { c.Routes[1].Targets[1].Weight = 0 }, "add up to 0"},
		"negative weight":   {func(c *Catalog) { c.Routes[1].Targets[0].Weight = -1 }, "below 0"},
		"no timeout":        {func(c *Catalog) { c.Routes[2].Timeout = 0 }, "timeout"},
		"shared key":        {func(c *Catalog) { c.Teams[1].Keys[0] = "k1" }, "shares a key"},
		"duplicate service": {func(c *Catalog) { c.Services[1].Name = "a" }, "listed twice"},
		"open-ended prefix": {func(c *Catalog) { c.Routes[0].PathPrefix = "/x" }, "begin and end with a slash"},
	} {
		t.Run(name, func(t *testing.T) {
			c := validCatalog()
			test.modify(c)
			err := c.Index()
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	c := validCatalog()
	if err := c.Index(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/x/1", "r1"},
		{"h.example", "/x/y/1", "r2"},
		{"h.example", "/x/y", "r1"},
		{"H.EXAMPLE", "/x/", "r1"},
		{"h.example", "/x", ""},
		{"o.example", "/x/y/1", "r3"},
		{"p.example", "/x/1", ""},
	} {
		got := ""
		if r := c.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
	if team := c.TeamByKey("k2"); team == nil || team.Name != "t" {
		t.Errorf("key k2 belongs to %v", team)
	}
	if c.TeamByKey("k9") != nil {
		t.Error("an unknown key has a team")
	}
}
