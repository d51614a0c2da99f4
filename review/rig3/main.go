//go:build review

// Command rig3 plays the cases of the third review: it starts the roles of the deploy file as
// separate processes on loopback addresses, with stand-ins for backend servers, callers, operators
// and the network.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// play is one case. It returns what broke the rule, or an empty string if it held. An error means
// that the case could not run.
type play func(s *system, trouble bool) (broken string, err error)

var plays = map[string]play{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is how long a case may take.
const longest = 112 * time.Second

// endEarly ends the case upon a signal, or if it takes too long.
func (s *system) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case sig := <-signals:
		s.log("could not run: %v", sig)
	case <-time.After(longest):
		s.log("could not run: it takes too long")
	}
	s.end()
	os.Exit(exitNotRun)
}

func main() {
	name := flag.String("case", "", "number of the case")
	words := flag.String("words", "", "file with the platform's names")
	program := flag.String("program", "", "the program under test")
	record := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *words, *program, *record, *trouble))
}

func run(name, words, program, record string, trouble bool) int {
	p := plays[name]
	if p == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	s, err := newSystem(words, program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.end()
	go s.endEarly()
	broken, err := p(s, trouble)
	switch {
	case err != nil:
		s.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken != "":
		s.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	s.log("held")
	fmt.Println("held")
	return exitHeld
}
