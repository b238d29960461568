//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["snapshot"] = killedDuringSnapshot }

const (
	// exitsThatCount is the number of times that a process has to end by itself
	// for the rule. The first end counts as part of the restart before it.
	exitsThatCount = 3
	maxWipes       = 12
)

// killedDuringSnapshot kills two control daemons, one after the other, that
// have lost their disks, while they store the snapshot that they receive from
// the leader. Both are back at once and work. Later they are stopped and
// started in turn.
func killedDuringSnapshot(ctx context.Context, w *world, trouble bool) (bool, error) {
	for i := range 4 {
		if err := w.startWorker(ctx, fmt.Sprintf("i-%04d", i), []string{"zone-a", "zone-b"}[i%2]); err != nil {
			return false, err
		}
	}
	w.runTime.Store(int64(200 * time.Millisecond))
	go func() {
		for sleep(ctx, 100*time.Millisecond) {
			w.submit(3, 4000)
		}
	}()
	if !sleep(ctx, 4*time.Second) {
		return false, errNotRun
	}
	victims := w.daemons[controls-2 : controls]
	for _, d := range victims {
		if trouble {
			if err := w.killWhileStoring(ctx, d); err != nil {
				return false, err
			}
		}
		// The daemon has catchUpS (4 s) and works on.
		if !sleep(ctx, 6*time.Second) {
			return false, errNotRun
		}
		if d.ended() {
			return false, fmt.Errorf("%w: %s has ended before the restarts", errNotRun, d.name)
		}
	}
	exits := make(map[string]int)
	for _, d := range victims {
		w.record.printf("%s gets SIGTERM", d.name)
		d.stop(syscall.SIGTERM)
		if err := w.start(d); err != nil {
			return false, err
		}
		w.record.printf("%s is started again", d.name)
		if !sleep(ctx, contact+restartDelay) {
			return false, errNotRun
		}
		for exits[d.name] <= exitsThatCount && d.ended() {
			exits[d.name]++
			w.record.printf("%s has ended by itself: %s", d.name, strings.ReplaceAll(lastLine(d.log), w.dir, "DIR"))
			if err := w.start(d); err != nil {
				return false, err
			}
			if !sleep(ctx, 2*time.Second) {
				return false, errNotRun
			}
		}
	}
	w.writeRuns()
	failing := 0
	for _, d := range victims {
		counted := max(0, exits[d.name]-1)
		w.record.printf("%s ended by itself %d times, %d of them with no impairment", d.name, exits[d.name], counted)
		if counted >= exitsThatCount {
			failing++
		}
	}
	if failing >= len(victims) {
		w.record.printf("Fault BROKEN: the processes of %d of %d machines end by themselves whenever they are started", failing, controls+entries)
		return true, nil
	}
	w.record.printf("Fault HELD: %d of %d machines have processes that ended by themselves three times", failing, controls+entries)
	return false, nil
}

// killWhileStoring empties the disk of a daemon, starts it, kills it at the
// first sight of its snapshot file and starts it again. It does so once more if
// the daemon had stored its log by then, or gets another snapshot afterwards.
func (w *world) killWhileStoring(ctx context.Context, d *daemon) error {
	for range maxWipes {
		w.record.printf("%s is killed and loses its disk", d.name)
		d.stop(syscall.SIGKILL)
		if err := os.RemoveAll(d.data); err != nil {
			return err
		}
		if err := w.start(d); err != nil {
			return err
		}
		if err := awaitFile(ctx, filepath.Join(d.data, "snapshot")); err != nil {
			return err
		}
		d.stop(syscall.SIGKILL)
		w.record.printf("%s is killed as its snapshot appears", d.name)
		if err := w.start(d); err != nil {
			return err
		}
		w.record.printf("%s is started again with its disk", d.name)
		if !sleep(ctx, 2*time.Second) {
			return errNotRun
		}
		logs, err := filepath.Glob(filepath.Join(d.data, "wal", "*.wal"))
		if err != nil {
			return err
		}
		if len(logs) == 1 && strings.HasSuffix(logs[0], "0001.wal") {
			return nil
		}
		w.record.printf("%s has written its log anew since it received a snapshot", d.name)
	}
	return fmt.Errorf("%w: no kill fell between the snapshot and the log", errNotRun)
}

func awaitFile(ctx context.Context, name string) error {
	for ctx.Err() == nil {
		switch _, err := os.Lstat(name); {
		case err == nil:
			return nil
		case !errors.Is(err, os.ErrNotExist):
			return err
		}
	}
	return errNotRun
}

// lastLine returns the end of a daemon's log.
func lastLine(name string) string {
	data, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}
