package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"mallowlanding/internal/configdiff"
	"mallowlanding/internal/control"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/gateway"
	"mallowlanding/internal/settings"
)

type controlCmd struct {
	Settings string `arg:"" help:"The instance's settings."`
}

// Run runs an instance of the control service.
func (c *controlCmd) Run(e *env) error {
	s, err := settings.ReadControl(c.Settings)
	if err != nil {
		return misuse{err}
	}
	return control.Serve(e.ctx, s, e.log, nil)
}

type configCmd struct {
	Control []string      `required:"" short:"c" sep:"," env:"MALLOWLANDING_CONTROL" help:"Sockets of the control service's instances."`
	Wait    time.Duration `default:"10s" help:"How long to look for an instance that leads."`

	Submit   submitCmd   `cmd:"" help:"Number a configuration and roll it out."`
	Diff     diffCmd     `cmd:"" help:"Tell what a file changes in a version."`
	Status   cstatusCmd  `cmd:"" help:"Tell which versions there are, and who runs which."`
	Show     showCmd     `cmd:"" help:"Print a version's text."`
	Rollback rollbackCmd `cmd:"" help:"Go back to a version, for all front ends at once."`
}

// client gives a client and a context that ends.
func (c *configCmd) client(e *env) (context.Context, *control.Client, func(), error) {
	ctx, end := context.WithTimeout(e.ctx, c.Wait)
	w, err := control.Dial(c.Control)
	if err != nil {
		end()
		return nil, nil, nil, misuse{err}
	}
	return ctx, w, func() { w.Close(); end() }, nil
}

type submitCmd struct {
	File      string `arg:"" help:"The configuration; - for standard input."`
	Note      string `short:"n" help:"What it is for."`
	Base      uint64 `help:"Refuse unless this is the newest version."`
	Unchecked bool   `help:"Number it though it is not good: front ends turn it down."`
	Follow    bool   `help:"Wait until its rollout has ended, and tell how."`
}

func readText(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// Run submits.
func (c *submitCmd) Run(e *env, up *configCmd) error {
	text, err := readText(c.File)
	if err != nil {
		return misuse{err}
	}
	ctx, w, done, err := up.client(e)
	if err != nil {
		return err
	}
	defer done()
	v, err := w.Submit(ctx, &wire.SubmitRequest{Text: string(text), By: own(), Note: c.Note, Base: c.Base, Unchecked: c.Unchecked})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "version %d\n", v)
	if c.Follow {
		return await(e, w, v)
	}
	return nil
}

// await waits until a version's rollout has ended.
func await(e *env, w *control.Client, v uint64) error {
	for {
		_, st, err := w.Leader(e.ctx)
		if err != nil {
			return err
		}
		for _, s := range st.Versions {
			switch {
			case s.Version != v || s.State == "waiting" || s.State == "rolling":
			case s.State == "accepted" || s.State == "past":
				fmt.Fprintln(e.out, s.State)
				return nil
			default:
				return fmt.Errorf("version %d %s: %s", v, s.State, s.Reason)
			}
		}
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

type diffCmd struct {
	File string `arg:"" help:"The configuration; - for standard input."`
	With uint64 `help:"The version; by default the accepted one."`
}

// Run compares.
func (c *diffCmd) Run(e *env, up *configCmd) error {
	text, err := readText(c.File)
	if err != nil {
		return misuse{err}
	}
	_, to, err := configdiff.Canonical(c.File, string(text))
	if err != nil {
		return misuse{err}
	}
	ctx, w, done, err := up.client(e)
	if err != nil {
		return err
	}
	defer done()
	got, err := w.Get(ctx, c.With)
	if err != nil {
		return err
	}
	_, from, err := configdiff.Canonical(fmt.Sprintf("version %d", got.Version), got.Text)
	if err != nil {
		return err
	}
	lines := configdiff.FormatDiff(from, to)
	for _, line := range lines {
		fmt.Fprintln(e.out, line)
	}
	if len(lines) == 0 {
		fmt.Fprintf(e.out, "no difference to version %d\n", got.Version)
	}
	return nil
}

type showCmd struct {
	Version uint64 `arg:"" optional:"" help:"The version; by default the accepted one."`
}

// Run shows.
func (c *showCmd) Run(e *env, up *configCmd) error {
	ctx, w, done, err := up.client(e)
	if err != nil {
		return err
	}
	defer done()
	got, err := w.Get(ctx, c.Version)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(e.out, got.Text)
	return err
}

type rollbackCmd struct {
	Version uint64 `arg:"" optional:"" help:"A version that was accepted; by default the one before the last."`
	Note    string `short:"n" help:"Why."`
	Follow  bool   `help:"Wait until all run it."`
}

// Run goes back.
func (c *rollbackCmd) Run(e *env, up *configCmd) error {
	ctx, w, done, err := up.client(e)
	if err != nil {
		return err
	}
	defer done()
	v, err := w.Rollback(ctx, c.Version, own(), c.Note)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "version %d\n", v)
	if c.Follow {
		return await(e, w, v)
	}
	return nil
}

type cstatusCmd struct {
	Last int `default:"10" help:"So many versions."`
}

// Run tells.
func (c *cstatusCmd) Run(e *env, up *configCmd) error {
	ctx, w, done, err := up.client(e)
	if err != nil {
		return err
	}
	defer done()
	_, st, err := w.Leader(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "instance %s leads; accepted: %d", st.Instance, st.Stable)
	if st.Candidate != 0 {
		fmt.Fprintf(e.out, "; version %d is rolled out, stage %d", st.Candidate, st.Stage+1)
	}
	fmt.Fprintln(e.out)
	t := table.NewWriter()
	t.SetOutputMirror(e.out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"version", "state", "digest", "submitted", "by", "note", "reason"})
	for i, v := range st.Versions {
		if i == c.Last {
			break
		}
		t.AppendRow(table.Row{v.Version, v.State, v.Digest[:min(12, len(v.Digest))], time.UnixMilli(v.UnixMs).Format(time.DateTime), v.By, v.Note, v.Reason})
	}
	t.Render()
	f := table.NewWriter()
	f.SetOutputMirror(e.out)
	f.SetStyle(table.StyleLight)
	f.AppendHeader(table.Row{"front end", "runs", "is to run", "on disk", "turned down", "reason", "heard of"})
	for _, x := range st.Followers {
		refused := ""
		if x.Refused != 0 {
			refused = fmt.Sprint(x.Refused)
		}
		f.AppendRow(table.Row{x.Name, x.Version, x.Target, yes(x.Kept), refused, x.Reason, map[bool]string{true: "now", false: "not lately"}[x.Live]})
	}
	f.Render()
	return nil
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

type statusCmd struct {
	Socket string `arg:"" help:"The front end's client socket."`
	JSON   bool   `help:"Print it as JSON."`
}

// Run tells how a front end stands.
func (c *statusCmd) Run(e *env) error {
	ctx, end := context.WithTimeout(e.ctx, 5*time.Second)
	defer end()
	a, err := ask(ctx, c.Socket, "rpc.status", nil)
	if err != nil {
		return err
	}
	if a.Err != nil {
		return a.Err
	}
	if a.Code != 0 {
		return errors.New(a.Message)
	}
	if c.JSON {
		fmt.Fprintf(e.out, "%s\n", a.Result)
		return nil
	}
	var s gateway.Status
	if err := json.Unmarshal(a.Result, &s); err != nil {
		return err
	}
	n := s.Counts
	fmt.Fprintf(e.out, "%s, number %d of %d%s\n", s.Name, s.Number, s.Of, map[bool]string{true: ", leaving"}[s.Leaving])
	fmt.Fprintf(e.out, "RPCs: %d taken, %d ok, %d denied, %d aborted, %d left; %d open, %d at the gate\n", n.Taken, n.OK, n.Denied,
		n.Aborted, n.Left, n.Open, s.Waiting)
	fmt.Fprintf(e.out, "heap %d MB, %d call-outs, %d load orders\n", s.Process.Heap>>20, n.CallOuts, n.Orders)
	switch g := s.Config; {
	case g == nil:
		fmt.Fprintln(e.out, "configuration: its own settings; no control service")
	default:
		link := "followed"
		if !g.Connected {
			link = fmt.Sprintf("silent for %.0f s", g.SilentMs/1000)
		}
		fmt.Fprintf(e.out, "configuration: version %d from %s, on disk: %s; control service %s\n", g.Version, g.Source, yes(g.Saved), link)
		if g.Refused != 0 {
			fmt.Fprintf(e.out, "turned down last: version %d: %s\n", g.Refused, g.Reason)
		}
	}
	return nil
}

// own tells who submits: the user of this process.
func own() string {
	if host, err := os.Hostname(); err == nil {
		return fmt.Sprintf("uid %d at %s", os.Getuid(), host)
	}
	return fmt.Sprintf("uid %d", os.Getuid())
}
