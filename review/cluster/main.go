//go:build review

// Command cluster runs one case of the review: a small deployment of the
// project's own programs on loopback addresses, with stand-ins for runners,
// clients and the operator.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

// cases maps names of cases to their functions, which report whether the rule
// was broken.
var cases = map[string]func(ctx context.Context, w *world, trouble bool) (bool, error){}

// longestRun leaves time to end the processes within 120 s.
const longestRun = 105 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	broken, err := execute()
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// execute runs the case named by the first argument with the program in the
// second one, and writes the record to the file in the third one. TROUBLE=0
// leaves the disruption out.
func execute() (bool, error) {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		return false, errors.New("usage: cluster CASE PROGRAM RECORD")
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		return false, err
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs in", dir)
		}
	}()
	c, err := newCluster(dir, program)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	w := &world{
		cluster: c, record: &record{file: file, start: time.Now()},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, longestRun)
	defer cancelTimeout()
	if !w.configure(ctx) {
		return false, fmt.Errorf("%w: the first manifest was not accepted", errNotRun)
	}
	if err := c.formed(); err != nil {
		return false, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.record.printf("disruption: %t", trouble)
	broken, err := cases[os.Args[1]](ctx, w, trouble)
	if err != nil {
		w.record.printf("not run: %v", err)
	}
	return broken, err
}
