// Package seeder makes property tests with the rapid library reproducible.
//
// Rapid chooses a random seed for each run. A package that uses rapid calls Main from its
// TestMain, so that go test without flags runs the same cases every time. The flag
// -rapid.seed runs other cases.
package seeder

import (
	"flag"
	"testing"
)

// defaultSeed is used unless the command line sets a seed.
const defaultSeed = "1"

// FlagDefault is a flag of rapid and the value to set unless the command line sets a
// seed.
type FlagDefault struct {
	Name  string
	Value string
}

// Main runs the tests of a package and returns their exit status. Unless the command line
// sets a seed, it sets defaultSeed and the given flags first, and tells rapid not to
// write a file for a failed test.
func Main(m *testing.M, defaults ...FlagDefault) int {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() != seed.DefValue {
		return m.Run()
	}
	common := []FlagDefault{{"rapid.seed", defaultSeed}, {"rapid.nofailfile", "true"}}
	for _, d := range append(common, defaults...) {
		if err := flag.Set(d.Name, d.Value); err != nil {
			// Rapid has renamed the flag, so the run would not be reproducible.
			panic(err)
		}
	}
	return m.Run()
}
