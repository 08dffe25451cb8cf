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

// submits is how many versions each size of fleet is timed with.
const submits = 20

// Configuration times versions from submit until all followers have accepted them, at the given sizes; followers are in
// this process, each with its own state and file, and the three instances are processes. Then the pause of one front
// end's turn that takes over a version of many lines.
func Configuration(ctx context.Context, exe string, sizes []int, lines int, out io.Writer) error {
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.SetStyle(table.StyleLight)
	w.SetTitle("from submit to accepted by all, in one stage; three instances, %d versions each", submits)
	w.AppendHeader(table.Row{"followers", "median ms", "longest ms", "of it until numbered, median ms"})
	for _, n := range sizes {
		all, numbered, err := followers(ctx, exe, n)
		if err != nil {
			return err
		}
		slices.Sort(all)
		slices.Sort(numbered)
		w.AppendRow(table.Row{n, ms(all[len(all)/2]), ms(all[len(all)-1]), ms(numbered[len(numbered)/2])})
	}
	w.Render()
	return pause(ctx, exe, lines, out)
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// instances runs a control service.
func instances(ctx context.Context, procs *errgroup.Group, exe, dir string, n int) ([]string, error) {
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
		if err := child(ctx, procs, exe, "control", file); err != nil {
			return nil, err
		}
		sockets = append(sockets, filepath.Join(dir, name+".sock"))
	}
	return sockets, nil
}

// checked is a version that a follower without a front end has looked at as one does.
type checked struct{}

// Apply implements steer.Change.
func (checked) Apply() error { return nil }

// Discard implements steer.Change.
func (checked) Discard() {}

func followers(ctx context.Context, exe string, n int) (all, numbered []time.Duration, err error) {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, running errgroup.Group
	defer func() { end(); _ = running.Wait(); _ = procs.Wait() }()
	sockets, err := instances(ctx, &procs, exe, dir, 3)
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
	var fleet []*configclient.Client
	for i := range n {
		o := configclient.Options{Name: fmt.Sprintf("f%d", i), Sockets: sockets,
			Store:     lastgood.Store{FS: lastgood.Disk{}, Path: filepath.Join(dir, fmt.Sprintf("f%d.kept", i))},
			RedialMin: 20 * time.Millisecond, RedialMax: 200 * time.Millisecond, ReportInterval: 500 * time.Millisecond,
			Check: func(v uint64, text string) (configclient.Change, error) {
				_, err := settings.ReadConfiguration(fmt.Sprintf("version %d", v), strings.NewReader(text))
				return checked{}, err
			}, Log: zerolog.Nop()}
		s := configclient.New(o, configclient.Initial{Source: "own settings"})
		fleet = append(fleet, s)
		running.Go(func() error { return s.Run(ctx) })
	}
	until := func(what string, is func(configclient.Status) bool) error {
		for give := time.Now().Add(30 * time.Second); ; time.Sleep(200 * time.Microsecond) {
			if !slices.ContainsFunc(fleet, func(s *configclient.Client) bool { return !is(s.Status()) }) {
				return nil
			}
			if time.Now().After(give) || ctx.Err() != nil {
				return fmt.Errorf("%d followers: not all are %s", n, what)
			}
		}
	}
	if err := until("connected", func(s configclient.Status) bool { return s.Connected }); err != nil {
		return nil, nil, err
	}
	for i := range submits {
		begin := time.Now()
		v, err := c.Submit(ctx, &wire.SubmitRequest{Text: document(20, i)})
		if err != nil {
			return nil, nil, err
		}
		numbered = append(numbered, time.Since(begin))
		if err := until(fmt.Sprintf("at version %d", v), func(s configclient.Status) bool { return s.Version >= v && s.Saved }); err != nil {
			return nil, nil, err
		}
		all = append(all, time.Since(begin))
		for { // until the service knows it, too
			if _, st, err := c.Leader(ctx); err != nil {
				return nil, nil, err
			} else if st.Stable == v {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return all, numbered, nil
}

// document is a configuration of about so many lines; n makes it differ.
func document(lines, n int) string {
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

// pause measures the turn that takes over a version of many lines, while RPCs go through.
func pause(ctx context.Context, exe string, lines int, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mallow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var procs, conns errgroup.Group
	defer func() { end(); _ = procs.Wait(); _ = conns.Wait() }()
	sockets, err := instances(ctx, &procs, exe, dir, 1)
	if err != nil {
		return err
	}
	o := Options{Workers: 2, Cores: 2}
	o.Control = fmt.Sprintf(`<control sockets=%q keep="%s/kept"/>`, sockets[0], dir)
	if err := start(ctx, &procs, exe, dir, o, "", ""); err != nil {
		return err
	}
	at, err := connect(ctx, &conns, filepath.Join(dir, "front.sock"))
	if err != nil {
		return err
	}
	defer at.Close()
	c, err := control.Dial(sockets)
	if err != nil {
		return err
	}
	defer c.Close()
	var turns []float64
	var applied []time.Duration
	for i := range submits {
		begin := time.Now()
		v, err := c.Submit(ctx, &wire.SubmitRequest{Text: document(lines, i)})
		if err != nil {
			return err
		}
		for {
			s, err := statusOf(ctx, at)
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
		strings.Count(document(lines, 0), "\n"), turns[len(turns)/2], turns[len(turns)-1], ms(applied[len(applied)/2]))
	return ctx.Err()
}

// Crashes kills an instance of its own again and again at random moments while versions are submitted, and looks after
// each whether all that was acknowledged is there, under one number each.
func Crashes(ctx context.Context, exe string, times int, out io.Writer) error {
	side := min(4, runtime.NumCPU())
	var group errgroup.Group
	var mu sync.Mutex
	kills, acked := 0, 0
	for i := range side {
		group.Go(func() error {
			n, a, err := crashes(ctx, exe, times/side, int64(i+1))
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

func crashes(ctx context.Context, exe string, times int, seed int64) (kills, acked int, err error) {
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
	text := 0
	for ; kills < times && ctx.Err() == nil; kills++ {
		n, err := oneCrash(ctx, exe, file, socket, rng, digests, &highest, &text)
		acked += n
		if err != nil {
			return kills, acked, err
		}
	}
	return kills, acked, ctx.Err()
}

// oneCrash runs the instance, holds it against what it acknowledged before, and kills it while it numbers more.
func oneCrash(ctx context.Context, exe, file, socket string, rng *rand.Rand, digests map[uint64]string, highest *uint64,
	text *int) (acked int, err error) {
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
	one, stop := context.WithTimeout(ctx, 60*time.Second)
	defer stop()
	_, st, err := c.Leader(one)
	if err != nil {
		return 0, err
	}
	seen := map[uint64]string{}
	for _, v := range st.Versions {
		seen[v.Version] = v.Digest
	}
	for v, digest := range digests {
		if v+900 > *highest && seen[v] != digest { // the status tells the last thousand
			return 0, fmt.Errorf("version %d was acknowledged and is %q, not %q", v, seen[v], digest)
		}
	}
	timer := time.AfterFunc(time.Duration(rng.Intn(30000))*time.Microsecond, func() { end(); stop() })
	defer timer.Stop()
	for {
		*text++
		doc := document(6, *text)
		canonical, _, err := configdiff.Canonical("document", doc)
		if err != nil {
			return acked, err
		}
		v, err := c.Submit(one, &wire.SubmitRequest{Text: doc})
		if err != nil { // it is dead
			return acked, nil
		}
		if v <= *highest {
			return acked, fmt.Errorf("number %d was given after %d", v, *highest)
		}
		*highest, digests[v] = v, configdiff.Digest(canonical)
		acked++
	}
}
