//go:build review

// Command standin2 plays the cases of the second review that are scripts. It
// starts the project's programs as separate processes and stands in for
// requesters, runners, the operator and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD; run it in the repository's root")
		os.Exit(exitCannotRun)
	}
	cases := map[string]func(*record, bool) error{"antiaffinity": antiAffinity, "rackcut": rackCut, "hangup": hangup, "fills": fills, "deadly": deadly}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitCannotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err == nil {
		err = play(rec, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	if len(rec.breaks) > 0 {
		fmt.Printf("broken: %d times, the first: %s\n", len(rec.breaks), rec.breaks[0])
		os.Exit(exitBroken)
	}
	fmt.Println("held")
}
