// Package seeder makes property tests repeat.
//
// The rapid library draws a random seed for each run. A package that uses it
// calls Main from its TestMain, so that plain go test gives the same verdict on
// every run, and a seed on the command line gives another one.
package seeder

import (
	"flag"
	"testing"
)

// defaultSeed is the seed of runs that name none.
const defaultSeed = "1"

// FlagDefault is a flag of the rapid library and the value that it has when the
// command line names no seed.
type FlagDefault struct {
	Name  string
	Value string
}

// Main runs the tests of a package and returns the exit status. It fixes the
// seed and the given settings unless the command line names a seed.
func Main(m *testing.M, settings ...FlagDefault) int {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() != seed.DefValue {
		return m.Run()
	}
	fixed := []FlagDefault{{"rapid.seed", defaultSeed}, {"rapid.nofailfile", "true"}}
	for _, s := range append(fixed, settings...) {
		if err := flag.Set(s.Name, s.Value); err != nil {
			// The flag was renamed: the run would not repeat.
			panic(err)
		}
	}
	return m.Run()
}
