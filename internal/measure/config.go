package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/configclient"
	"mallowlanding/internal/configdiff"
	"mallowlanding/internal/control"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/lastgood"
	"mallowlanding/internal/settings"
)

// versionCount is the number of versions submitted for each measurement.
const versionCount = 20

// Configuration measures the time from the submission of a version until all followers have accepted it, for the given
// numbers of followers. Followers run in this process, each with its own state and file; the three instances of the
// control service are processes. It then measures how long a turn of a front end's event loop takes that applies a
// version of many lines.
func Configuration(ctx context.Context, exe string, sizes []int, lines int, out io.Writer) error {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("from submit to accepted by all, in one stage; three instances, %d versions each", versionCount)
	w.AppendHeader(table.Row{"followers", "median ms", "longest ms", "of it until numbered, median ms"})
	for _, n := range sizes {
		acceptedTimes, numberedTimes, err := timeFollowers(ctx, exe, n)
		if err != nil {
			return err
		}
		slices.Sort(acceptedTimes)
		slices.Sort(numberedTimes)
		w.AppendRow(table.Row{n, ms(acceptedTimes[len(acceptedTimes)/2]), ms(acceptedTimes[len(acceptedTimes)-1]), ms(numberedTimes[len(numberedTimes)/2])})
	}
	w.Render()
	return measureApplyTurn(ctx, exe, lines, out)
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// startControlService starts a control service of n instances and returns their sockets.
func startControlService(ctx context.Context, procs *errgroup.Group, exe, dir string, n int) ([]string, error) {
	var sockets []string
	for i := range n {
		others := ""
		for j := range n {
			if j != i {
				others += fmt.Sprintf(`<instance name="c%d" peer-socket="%s/c%d.peer"/>`, j, dir, j)
			}
		}
		name := fmt.Sprintf("c%d", i)
		doc := fmt.Sprintf(`<control name=%q socket="%[2]s/%[1]s.sock" peer-socket="%[2]s/%[1]s.peer" dir="%[2]s/%[1]s"><rollout stages="1" hold-ms="0"/>%[3]s</control>`,
			name, dir, others)
		file := filepath.Join(dir, name+".xml")
		if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
			return nil, err
		}
		if err := startProcess(ctx, procs, exe, "control", file); err != nil {
			return nil, err
		}
		sockets = append(sockets, filepath.Join(dir, name+".sock"))
	}
	return sockets, nil
}

// checkedChange is a version that passed the check of a follower that has no front end to change.
type checkedChange struct{}

// Apply implements configclient.Change.
func (checkedChange) Apply() error { return nil }

// Discard implements configclient.Change.
func (checkedChange) Discard() {}

// timeFollowers submits versions to a control service with n followers. It returns for each version the time until all
// followers have accepted it, and the time until the service has numbered it.
func timeFollowers(ctx context.Context, exe string, n int) (acceptedTimes, numberedTimes []time.Duration, err error) {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, running errgroup.Group
	defer func() { end(); _ = running.Wait(); _ = procs.Wait() }()
	sockets, err := startControlService(ctx, &procs, exe, dir, 3)
	if err != nil {
		return nil, nil, err
	}
	c, err := control.Dial(sockets)
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	if _, _, err := c.Leader(ctx); err != nil {
		return nil, nil, err
	}
	var followers []*configclient.Client
	for i := range n {
		o := configclient.Options{Name: fmt.Sprintf("f%d", i), Sockets: sockets,
			Store:     lastgood.Store{FS: lastgood.Disk{}, Path: filepath.Join(dir, fmt.Sprintf("f%d.kept", i))},
			RedialMin: 20 * time.Millisecond, RedialMax: 200 * time.Millisecond, ReportInterval: 500 * time.Millisecond,
			Check: func(v uint64, text string) (configclient.Change, error) {
				_, err := settings.ReadConfiguration(fmt.Sprintf("version %d", v), strings.NewReader(text))
				return checkedChange{}, err
			}, Log: zerolog.Nop()}
		follower := configclient.New(o, configclient.Initial{Source: "own settings"})
		followers = append(followers, follower)
		running.Go(func() error { return follower.Run(ctx) })
	}
	awaitAll := func(what string, reached func(configclient.Status) bool) error {
		for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(200 * time.Microsecond) {
			if !slices.ContainsFunc(followers, func(s *configclient.Client) bool { return !reached(s.Status()) }) {
				return nil
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%d followers: some are not %s", n, what)
			}
		}
	}
	if err := awaitAll("connected", func(s configclient.Status) bool { return s.Connected }); err != nil {
		return nil, nil, err
	}
	for i := range versionCount {
		begin := time.Now()
		v, err := c.Submit(ctx, &wire.SubmitRequest{Text: configurationText(20, i)})
		if err != nil {
			return nil, nil, err
		}
		numberedTimes = append(numberedTimes, time.Since(begin))
		if err := awaitAll(fmt.Sprintf("at version %d", v), func(s configclient.Status) bool { return s.Version >= v && s.Saved }); err != nil {
			return nil, nil, err
		}
		acceptedTimes = append(acceptedTimes, time.Since(begin))
		for { // wait until the service, too, reports the version as stable
			if _, st, err := c.Leader(ctx); err != nil {
				return nil, nil, err
			} else if st.Stable == v {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return acceptedTimes, numberedTimes, nil
}

// configurationText returns a configuration of about the given number of lines. Its values depend on n.
func configurationText(lines, n int) string {
	var b strings.Builder
	b.WriteString("<configuration>\n  <service>\n")
	for i := range lines / 3 {
		fmt.Fprintf(&b, "    <method name=\"m%d\" effect=\"idempotent\" gain=\"%d\" load-ms=\"%d\"/>\n", i, 1+i%7, 100+n)
	}
	b.WriteString("    <method name=\"query\" effect=\"idempotent\" load-ms=\"5\"/>\n")
	for i := range lines / 3 {
		fmt.Fprintf(&b, "    <customer name=\"c%d\" quota-per-s=\"%d\"/>\n", i, 10+n)
	}
	b.WriteString("    <functions>\n")
	for i := range lines / 3 {
		fmt.Fprintf(&b, "      <function name=\"f%d\" memory-mb=\"%d\"/>\n", i, 64+n)
	}
	b.WriteString("    </functions>\n  </service>\n</configuration>\n")
	return b.String()
}

// measureApplyTurn measures the turn of a front end's event loop that applies a version of many lines.
func measureApplyTurn(ctx context.Context, exe string, lines int, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, conns errgroup.Group
	defer func() { end(); _ = procs.Wait(); _ = conns.Wait() }()
	sockets, err := startControlService(ctx, &procs, exe, dir, 1)
	if err != nil {
		return err
	}
	o := Options{Workers: 2, FrontEndCores: 2}
	o.ControlElement = fmt.Sprintf(`<control sockets=%q keep="%s/kept"/>`, sockets[0], dir)
	if err := startSystem(ctx, &procs, exe, dir, o, "", ""); err != nil {
		return err
	}
	frontEnd, err := connect(ctx, &conns, filepath.Join(dir, "front.sock"))
	if err != nil {
		return err
	}
	defer frontEnd.Close()
	c, err := control.Dial(sockets)
	if err != nil {
		return err
	}
	defer c.Close()
	var turns []float64
	var applied []time.Duration
	for i := range versionCount {
		begin := time.Now()
		v, err := c.Submit(ctx, &wire.SubmitRequest{Text: configurationText(lines, i)})
		if err != nil {
			return err
		}
		for {
			s, err := statusOf(ctx, frontEnd)
			if err != nil {
				return err
			}
			if s.Config != nil && s.Config.Version == v && s.Config.Saved {
				turns = append(turns, s.Config.AppliedUs)
				applied = append(applied, time.Since(begin))
				break
			}
			if s.Config != nil && s.Config.Refused == v {
				return errors.New(s.Config.Reason)
			}
			time.Sleep(time.Millisecond)
		}
	}
	slices.Sort(turns)
	slices.Sort(applied)
	fmt.Fprintf(out, "a version of %d lines at one front end: its turn stands %.0f us at the median, %.0f us at the most; in force %s ms after submit\n",
		strings.Count(configurationText(lines, 0), "\n"), turns[len(turns)/2], turns[len(turns)-1], ms(applied[len(applied)/2]))
	return ctx.Err()
}

// Crashes kills an instance of the control service repeatedly at random moments while versions are submitted. After
// each restart it checks that every acknowledged version is there, each under its own number.
func Crashes(ctx context.Context, exe string, times int, out io.Writer) error {
	parallel := min(4, runtime.NumCPU())
	var group errgroup.Group
	var mu sync.Mutex
	kills, acked := 0, 0
	for i := range parallel {
		group.Go(func() error {
			n, a, err := crashSeries(ctx, exe, times/parallel, int64(i+1))
			mu.Lock()
			defer mu.Unlock()
			kills, acked = kills+n, acked+a
			return err
		})
	}
	err := group.Wait()
	fmt.Fprintf(out, "%d kills at random moments, %d versions acknowledged: %s\n", kills, acked,
		map[bool]string{true: "each is there under its one number", false: "ended early"}[err == nil])
	return err
}

func crashSeries(ctx context.Context, exe string, times int, seed int64) (kills, acked int, err error) {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(dir)
	rng := rand.New(rand.NewSource(seed))
	file, socket := filepath.Join(dir, "c.xml"), filepath.Join(dir, "c.sock")
	doc := fmt.Sprintf(`<control name="c" socket=%q peer-socket="%s/c.peer" dir="%[2]s/store" beat-ms="20"><rollout stages="1" hold-ms="0"/></control>`, socket, dir)
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		return 0, 0, err
	}
	digests := map[uint64]string{}
	highest := uint64(0)
	documents := 0
	for ; kills < times && ctx.Err() == nil; kills++ {
		n, err := crashOnce(ctx, exe, file, socket, rng, digests, &highest, &documents)
		acked += n
		if err != nil {
			return kills, acked, err
		}
	}
	return kills, acked, ctx.Err()
}

// crashOnce starts the instance, checks the versions that it acknowledged before, and kills it at a random moment while
// more versions are submitted.
func crashOnce(ctx context.Context, exe, file, socket string, rng *rand.Rand, digests map[uint64]string, highest *uint64,
	documents *int) (acked int, err error) {
	cmd := exec.Command(exe, "--log-level", "error", "control", file)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	var kill sync.Once
	end := func() { kill.Do(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }) }
	defer end()
	c, err := control.Dial([]string{socket})
	if err != nil {
		return 0, err
	}
	defer c.Close()
	callCtx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	_, st, err := c.Leader(callCtx)
	if err != nil {
		return 0, err
	}
	seen := map[uint64]string{}
	for _, v := range st.Versions {
		seen[v.Version] = v.Digest
	}
	for v, digest := range digests {
		if v+900 > *highest && seen[v] != digest { // the status lists only the last 1000 versions
			return 0, fmt.Errorf("version %d has digest %q, but was acknowledged with %q", v, seen[v], digest)
		}
	}
	timer := time.AfterFunc(time.Duration(rng.Intn(30000))*time.Microsecond, func() { end(); cancel() })
	defer timer.Stop()
	for {
		*documents++
		doc := configurationText(6, *documents)
		canonical, _, err := configdiff.Canonical("document", doc)
		if err != nil {
			return acked, err
		}
		v, err := c.Submit(callCtx, &wire.SubmitRequest{Text: doc})
		if err != nil { // the instance was killed
			return acked, nil
		}
		if v <= *highest {
			return acked, fmt.Errorf("version %d was assigned after version %d", v, *highest)
		}
		*highest, digests[v] = v, configdiff.Digest(canonical)
		acked++
	}
}
