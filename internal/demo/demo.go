// Package demo runs a small service in one process, to try out: a roster, a store, workers and one front end, each on
// its own socket. Their settings files lie in the same folder as the sockets and may be edited.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/gateway"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
	"mallowlanding/router"
)

// WorkerCount is the number of workers of the demo.
const WorkerCount = 4

// serviceElement is the service in the front end's settings. What it leaves out has the schema's defaults.
const serviceElement = `
  <service>
    <method name="query" effect="idempotent" gain="1" soft-deadline-ms="1000" deadline-ms="3000" load-ms="300"/>
    <method name="book" effect="tokened" group="all" window-ms="3000" gain="2" soft-deadline-ms="800" deadline-ms="3000" load-ms="300"/>
    <method name="hold" effect="side-effecting" gain="2" soft-deadline-ms="800" deadline-ms="3000" load-ms="300"/>
    <kind name="std" memory-mb="4096"/>
  </service>
`

// settingsFiles returns the default settings files by name, with sockets in dir.
func settingsFiles(dir string) map[string]string {
	files := map[string]string{
		"roster.xml": fmt.Sprintf(`<roster socket="%[1]s/roster.sock" lag-ms="200">
  <store socket="%[1]s/store.sock" mean-ms="20"/>
</roster>
`, dir),
		"front-0.xml": fmt.Sprintf(`<front-end name="front-0">
  <clients socket="%[1]s/front-0.sock"/>
  <roster socket="%[1]s/roster.sock" cache="%[1]s/front-0.list"/>%[2]s</front-end>
`, dir, serviceElement),
	}
	for i := range WorkerCount {
		files[fmt.Sprintf("worker-%d.xml", i)] = fmt.Sprintf(`<worker name="worker-%[2]d" socket="%[1]s/worker-%[2]d.sock"
    control="%[1]s/worker-%[2]d.control" kind="std" cold="no" log="%[1]s/worker-%[2]d.log">
  <machine cores="2" memory-mb="4096"/>
  <work method="query" mean-ms="5"/>
  <work method="book" mean-ms="5" effect="tokened" window-ms="3000"/>
  <work method="hold" mean-ms="5" effect="side-effecting"/>
  <roster socket="%[1]s/roster.sock"/>
  <store socket="%[1]s/store.sock"/>
</worker>
`, dir, i)
	}
	return files
}

// Run writes those settings files that dir does not have yet and runs the service until the context ends. When the
// front end accepts RPCs, it prints one line: "ready" and the path of the client socket.
func Run(ctx context.Context, dir string, out io.Writer, log zerolog.Logger) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	dir = filepath.Clean(dir)
	for name, text := range settingsFiles(dir) {
		file := filepath.Join(dir, name)
		if _, err := os.Stat(file); err == nil {
			continue
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
	}
	roster, err := settings.ReadRoster(filepath.Join(dir, "roster.xml"))
	if err != nil {
		return err
	}
	frontEnd, err := settings.ReadFrontEnd(filepath.Join(dir, "front-0.xml"))
	if err != nil {
		return err
	}
	// The stand-ins outlive the front end, so that it can still answer its open RPCs.
	standInCtx, stopStandIns := context.WithCancel(context.Background())
	defer stopStandIns()
	var standIns, frontEnds errgroup.Group
	startStandIn := func(run func(ready func()) error) error {
		ready, failed := make(chan struct{}), make(chan error, 1)
		standIns.Go(func() error {
			err := run(func() { close(ready) })
			failed <- err
			return err
		})
		select {
		case <-ready:
			return nil
		case err := <-failed:
			return err
		}
	}
	err = startStandIn(func(ready func()) error { return standin.Roster(standInCtx, roster, log, ready) })
	for i := 0; err == nil && i < WorkerCount; i++ {
		var worker *settings.Worker
		if worker, err = settings.ReadWorker(filepath.Join(dir, fmt.Sprintf("worker-%d.xml", i))); err == nil {
			err = startStandIn(func(ready func()) error { return standin.Worker(standInCtx, worker, 0, log, ready) })
		}
	}
	if err == nil {
		// The roster reports the workers after its lag.
		wait := time.Duration(roster.Lag+router.Time(1000)) * 100 * time.Microsecond
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		frontEnds.Go(func() error {
			return gateway.Serve(ctx, frontEnd, log, func() { fmt.Fprintln(out, "ready", frontEnd.Clients.Socket) })
		})
		err = frontEnds.Wait()
	}
	stopStandIns()
	if err2 := standIns.Wait(); err == nil {
		err = err2
	}
	return err
}
