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

// Sockets are the sockets of front ends that run already. Each list has one socket for each front end, or none if the
// protocol is not used.
type Sockets struct{ JSONRPC, HTTP, GRPC []string }

// socketFor returns the socket of a front end in one of the lists, or nothing if the list is empty.
func (s *Sockets) socketFor(list []string, i int) string {
	if len(list) == 0 {
		return ""
	}
	return list[i%len(list)]
}

// Len is the number of front ends.
func (s *Sockets) Len() int { return max(len(s.JSONRPC), len(s.HTTP), len(s.GRPC)) }

// LoadShare sends one share of a scenario's load, every count-th arrival from number index on, and returns the counts
// and latencies. A latency is counted from the time at which its RPC was due, so that it includes the wait for a
// stalled front end.
func LoadShare(ctx context.Context, s *settings.Scenario, sockets Sockets, index, count int) (*scenario.Tallies, error) {
	for _, m := range s.Load.Mix {
		if list := map[string][]string{jsonRPCProtocol: sockets.JSONRPC, "http": sockets.HTTP, "grpc": sockets.GRPC}[m.Protocol]; len(list) == 0 {
			return nil, m.Errorf("mix of method %q over %s: no sockets given for this protocol", m.Method, m.Protocol)
		}
	}
	scenarioCopy := *s
	scenarioCopy.Fleet.FrontEnds = sockets.Len()
	generator, err := newLoadGenerator(&scenarioCopy, &fleet{scenario: &scenarioCopy, external: &sockets}, func(record.Record) {})
	if err != nil {
		return nil, err
	}
	defer generator.close()
	generator.shareIndex, generator.shareCount = index, count
	ctx, cancel := context.WithCancel(ctx)
	defer func() { cancel(); generator.readers.Wait() }()
	generator.run(ctx)
	return generator.tallies, nil
}

// Load sends a scenario's load from several processes of this program and prints one table of the results.
func Load(ctx context.Context, s *settings.Scenario, file string, sockets Sockets, processes int, out io.Writer) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	file, err = filepath.Abs(file)
	if err != nil {
		return err
	}
	tallies := scenario.NewTallies(s)
	var mu sync.Mutex
	var group errgroup.Group
	begin := time.Now()
	for i := range processes {
		group.Go(func() error {
			cmd := exec.CommandContext(ctx, exe, "--log-level", "error", "load", file, "--share", strconv.Itoa(i), "--of", strconv.Itoa(processes))
			for _, flag := range []struct {
				name string
				list []string
			}{{"--json-rpc", sockets.JSONRPC}, {"--http", sockets.HTTP}, {"--grpc", sockets.GRPC}} {
				if len(flag.list) > 0 {
					cmd.Args = append(cmd.Args, flag.name, strings.Join(flag.list, ","))
				}
			}
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			var stdout, stderr bytes.Buffer
			cmd.Stdout, cmd.Stderr = &stdout, &stderr
			if err := cmd.Run(); err != nil {
				return fmt.Errorf("process %d: %w: %s", i, err, stderr.String())
			}
			var partial scenario.Tallies
			if err := json.Unmarshal(stdout.Bytes(), &partial); err != nil {
				return fmt.Errorf("process %d: %w", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			return tallies.Merge(&partial)
		})
	}
	if err := group.Wait(); err != nil {
		return errors.Join(err, ctx.Err())
	}
	tallies.Print(out, fmt.Sprintf("%s: load of %d processes on %d front ends, %.1f s", s.Name, processes, sockets.Len(), time.Since(begin).Seconds()))
	return nil
}
