// Package demo runs a small service in one process, to try: a roster, a store, workers and one front end, each on
// its socket, with settings that can be read and changed beside them.
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

// Workers is how many the demo has.
const Workers = 4

// service is what the demo's documents share; what it leaves out has the schema's defaults.
const service = `
  <service>
    <method name="query" effect="idempotent" gain="1" soft-deadline-ms="1000" deadline-ms="3000" load-ms="300"/>
    <method name="book" effect="tokened" group="all" window-ms="3000" gain="2" soft-deadline-ms="800" deadline-ms="3000" load-ms="300"/>
    <method name="hold" effect="side-effecting" gain="2" soft-deadline-ms="800" deadline-ms="3000" load-ms="300"/>
    <kind name="std" memory-mb="4096"/>
  </service>
`

func documents(dir string) map[string]string {
	docs := map[string]string{
		"roster.xml": fmt.Sprintf(`<roster socket="%[1]s/roster.sock" lag-ms="200">
  <store socket="%[1]s/store.sock" mean-ms="20"/>
</roster>
`, dir),
		"front-0.xml": fmt.Sprintf(`<front-end name="front-0">
  <clients socket="%[1]s/front-0.sock"/>
  <roster socket="%[1]s/roster.sock" cache="%[1]s/front-0.list"/>%[2]s</front-end>
`, dir, service),
	}
	for i := range Workers {
		docs[fmt.Sprintf("worker-%d.xml", i)] = fmt.Sprintf(`<worker name="worker-%[2]d" socket="%[1]s/worker-%[2]d.sock"
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
	return docs
}

// Run writes the settings into dir where they are missing, runs the service until the context ends, and prints one
// line, "ready" and the client socket's path, once RPCs are taken.
func Run(ctx context.Context, dir string, out io.Writer, log zerolog.Logger) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	dir = filepath.Clean(dir)
	for name, text := range documents(dir) {
		file := filepath.Join(dir, name)
		if _, err := os.Stat(file); err == nil {
			continue
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
	}
	rs, err := settings.ReadRoster(filepath.Join(dir, "roster.xml"))
	if err != nil {
		return err
	}
	fs, err := settings.ReadFrontEnd(filepath.Join(dir, "front-0.xml"))
	if err != nil {
		return err
	}
	// the front end leaves first: what it holds is still answered
	rest, endRest := context.WithCancel(context.Background())
	defer endRest()
	var others, front errgroup.Group
	part := func(run func(ready func()) error) error {
		ready, failed := make(chan struct{}), make(chan error, 1)
		others.Go(func() error {
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
	err = part(func(ready func()) error { return standin.Roster(rest, rs, log, ready) })
	for i := 0; err == nil && i < Workers; i++ {
		var ws *settings.Worker
		if ws, err = settings.ReadWorker(filepath.Join(dir, fmt.Sprintf("worker-%d.xml", i))); err == nil {
			err = part(func(ready func()) error { return standin.Worker(rest, ws, 0, log, ready) })
		}
	}
	if err == nil {
		// the list comes with the roster's lag
		wait := time.Duration(rs.Lag+router.Time(1000)) * 100 * time.Microsecond
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		front.Go(func() error {
			return gateway.Serve(ctx, fs, log, func() { fmt.Fprintln(out, "ready", fs.Clients.Socket) })
		})
		err = front.Wait()
	}
	endRest()
	if err2 := others.Wait(); err == nil {
		err = err2
	}
	return err
}
