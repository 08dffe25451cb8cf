package rehearse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/record"
	"mallowlanding/internal/scenario"
	"mallowlanding/internal/settings"
)

// Sockets are front ends' that run already: one of each list for each, an empty list where that protocol is not asked.
type Sockets struct{ JSONRPC, HTTP, GRPC []string }

func (s *Sockets) at(list []string, i int) string {
	if len(list) == 0 {
		return ""
	}
	return list[i%len(list)]
}

// Len is the number of front ends.
func (s *Sockets) Len() int { return max(len(s.JSONRPC), len(s.HTTP), len(s.GRPC)) }

// Part sends a share of a scenario's load, each of-th arrival from the share-th on, and gives the tallies. Latencies count
// from when an RPC was due: a front end that stalls does not hide what waited for it.
func Part(ctx context.Context, s *settings.Scenario, at Sockets, share, of int) (*scenario.Tallies, error) {
	for _, m := range s.Load.Mix {
		if list := map[string][]string{jsonRPC: at.JSONRPC, "http": at.HTTP, "grpc": at.GRPC}[m.Protocol]; len(list) == 0 {
			return nil, m.Errorf("mix of method %q over %s: no socket is named for that", m.Method, m.Protocol)
		}
	}
	one := *s
	one.Fleet.FrontEnds = at.Len()
	c, err := newCallers(&one, &fleet{s: &one, others: &at}, func(record.Record) {})
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.share, c.of = share, of
	ctx, end := context.WithCancel(ctx)
	defer func() { end(); c.open.Wait() }()
	c.run(ctx)
	return c.book, nil
}

// Load sends a scenario's load from so many processes of this program and prints one table of all.
func Load(ctx context.Context, s *settings.Scenario, file string, at Sockets, processes int, out io.Writer) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	file, err = filepath.Abs(file)
	if err != nil {
		return err
	}
	book := scenario.NewTallies(s)
	var mu sync.Mutex
	var group errgroup.Group
	begin := time.Now()
	for i := range processes {
		group.Go(func() error {
			cmd := exec.CommandContext(ctx, exe, "--log-level", "error", "load", file, "--share", strconv.Itoa(i), "--of", strconv.Itoa(processes))
			for _, f := range []struct {
				name string
				list []string
			}{{"--json-rpc", at.JSONRPC}, {"--http", at.HTTP}, {"--grpc", at.GRPC}} {
				if len(f.list) > 0 {
					cmd.Args = append(cmd.Args, f.name, strings.Join(f.list, ","))
				}
			}
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			var told, wrong bytes.Buffer
			cmd.Stdout, cmd.Stderr = &told, &wrong
			if err := cmd.Run(); err != nil {
				return fmt.Errorf("process %d: %w: %s", i, err, wrong.String())
			}
			var part scenario.Tallies
			if err := json.Unmarshal(told.Bytes(), &part); err != nil {
				return fmt.Errorf("process %d: %w", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			return book.Merge(&part)
		})
	}
	if err := group.Wait(); err != nil {
		return errors.Join(err, ctx.Err())
	}
	book.Print(out, fmt.Sprintf("%s: load of %d processes on %d front ends, %.1f s", s.Name, processes, at.Len(), time.Since(begin).Seconds()))
	return nil
}
