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

func (c *controlCmd) Run(e *runEnv) error {
	s, err := settings.ReadControl(c.Settings)
	if err != nil {
		return usageError{err}
	}
	return control.Serve(e.ctx, s, e.log, nil)
}

type configCmd struct {
	Control []string      `required:"" short:"c" sep:"," env:"MALLOWLANDING_CONTROL" help:"Sockets of the control service's instances."`
	Wait    time.Duration `default:"10s" help:"How long to look for the leading instance."`

	Submit   submitCmd       `cmd:"" help:"Submit a configuration; it gets the next version number and is rolled out."`
	Diff     diffCmd         `cmd:"" help:"Show how a file differs from a version."`
	Status   configStatusCmd `cmd:"" help:"List the versions, and the version that each front end runs."`
	Show     showCmd         `cmd:"" help:"Print a version's text."`
	Rollback rollbackCmd     `cmd:"" help:"Return to an earlier version, on all front ends at once."`
}

// connect returns a client of the control service, a context that ends after Wait, and a function that closes both.
func (c *configCmd) connect(e *runEnv) (context.Context, *control.Client, func(), error) {
	ctx, cancel := context.WithTimeout(e.ctx, c.Wait)
	client, err := control.Dial(c.Control)
	if err != nil {
		cancel()
		return nil, nil, nil, usageError{err}
	}
	return ctx, client, func() { client.Close(); cancel() }, nil
}

type submitCmd struct {
	File      string `arg:"" help:"The configuration; - for standard input."`
	Note      string `short:"n" help:"Purpose of the change."`
	Base      uint64 `help:"Submit only if this is still the newest version."`
	Unchecked bool   `help:"Submit it even if it is invalid; front ends refuse an invalid one."`
	Follow    bool   `help:"Wait until its rollout has ended, and report the result."`
}

func readFileOrStdin(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func (c *submitCmd) Run(e *runEnv, parent *configCmd) error {
	text, err := readFileOrStdin(c.File)
	if err != nil {
		return usageError{err}
	}
	ctx, client, closeClient, err := parent.connect(e)
	if err != nil {
		return err
	}
	defer closeClient()
	version, err := client.Submit(ctx, &wire.SubmitRequest{Text: string(text), By: submitter(), Note: c.Note, Base: c.Base, Unchecked: c.Unchecked})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "version %d\n", version)
	if c.Follow {
		return awaitRollout(e, client, version)
	}
	return nil
}

// awaitRollout waits until a version's rollout has ended. It returns an error unless the version was accepted.
func awaitRollout(e *runEnv, client *control.Client, version uint64) error {
	for {
		_, status, err := client.Leader(e.ctx)
		if err != nil {
			return err
		}
		for _, listed := range status.Versions {
			switch {
			case listed.Version != version || listed.State == "waiting" || listed.State == "rolling":
			case listed.State == "accepted" || listed.State == "past":
				fmt.Fprintln(e.stdout, listed.State)
				return nil
			default:
				return fmt.Errorf("version %d %s: %s", version, listed.State, listed.Reason)
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
	With uint64 `help:"The version to compare with; by default the accepted one."`
}

func (c *diffCmd) Run(e *runEnv, parent *configCmd) error {
	text, err := readFileOrStdin(c.File)
	if err != nil {
		return usageError{err}
	}
	_, to, err := configdiff.Canonical(c.File, string(text))
	if err != nil {
		return usageError{err}
	}
	ctx, client, closeClient, err := parent.connect(e)
	if err != nil {
		return err
	}
	defer closeClient()
	stored, err := client.Get(ctx, c.With)
	if err != nil {
		return err
	}
	_, from, err := configdiff.Canonical(fmt.Sprintf("version %d", stored.Version), stored.Text)
	if err != nil {
		return err
	}
	lines := configdiff.FormatDiff(from, to)
	for _, line := range lines {
		fmt.Fprintln(e.stdout, line)
	}
	if len(lines) == 0 {
		fmt.Fprintf(e.stdout, "no difference to version %d\n", stored.Version)
	}
	return nil
}

type showCmd struct {
	Version uint64 `arg:"" optional:"" help:"The version; by default the accepted one."`
}

func (c *showCmd) Run(e *runEnv, parent *configCmd) error {
	ctx, client, closeClient, err := parent.connect(e)
	if err != nil {
		return err
	}
	defer closeClient()
	stored, err := client.Get(ctx, c.Version)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(e.stdout, stored.Text)
	return err
}

type rollbackCmd struct {
	Version uint64 `arg:"" optional:"" help:"An accepted version; by default the last but one."`
	Note    string `short:"n" help:"Reason for the rollback."`
	Follow  bool   `help:"Wait until all front ends run it."`
}

// Run rolls all front ends back to a version.
func (c *rollbackCmd) Run(e *runEnv, parent *configCmd) error {
	ctx, client, closeClient, err := parent.connect(e)
	if err != nil {
		return err
	}
	defer closeClient()
	version, err := client.Rollback(ctx, c.Version, submitter(), c.Note)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "version %d\n", version)
	if c.Follow {
		return awaitRollout(e, client, version)
	}
	return nil
}

type configStatusCmd struct {
	Last int `default:"10" help:"Number of versions to list, newest first."`
}

// Run prints the versions and the front ends that follow the control service.
func (c *configStatusCmd) Run(e *runEnv, parent *configCmd) error {
	ctx, client, closeClient, err := parent.connect(e)
	if err != nil {
		return err
	}
	defer closeClient()
	_, status, err := client.Leader(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "instance %s leads; accepted: %d", status.Instance, status.Stable)
	if status.Candidate != 0 {
		fmt.Fprintf(e.stdout, "; version %d is rolled out, stage %d", status.Candidate, status.Stage+1)
	}
	fmt.Fprintln(e.stdout)
	versions := table.NewWriter()
	versions.SetOutputMirror(e.stdout)
	versions.SetStyle(table.StyleLight)
	versions.AppendHeader(table.Row{"version", "state", "digest", "submitted", "by", "note", "reason"})
	for i, v := range status.Versions {
		if i == c.Last {
			break
		}
		versions.AppendRow(table.Row{v.Version, v.State, v.Digest[:min(12, len(v.Digest))], time.UnixMilli(v.UnixMs).Format(time.DateTime), v.By, v.Note, v.Reason})
	}
	versions.Render()
	followers := table.NewWriter()
	followers.SetOutputMirror(e.stdout)
	followers.SetStyle(table.StyleLight)
	followers.AppendHeader(table.Row{"front end", "runs", "is to run", "on disk", "turned down", "reason", "heard of"})
	for _, follower := range status.Followers {
		refused := ""
		if follower.Refused != 0 {
			refused = fmt.Sprint(follower.Refused)
		}
		followers.AppendRow(table.Row{follower.Name, follower.Version, follower.Target, yesNo(follower.Kept), refused, follower.Reason, map[bool]string{true: "now", false: "not lately"}[follower.Live]})
	}
	followers.Render()
	return nil
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

type statusCmd struct {
	Socket string `arg:"" help:"The front end's client socket."`
	JSON   bool   `help:"Print the status as JSON."`
}

func (c *statusCmd) Run(e *runEnv) error {
	ctx, cancel := context.WithTimeout(e.ctx, 5*time.Second)
	defer cancel()
	resp, err := callJSONRPC(ctx, c.Socket, "rpc.status", nil)
	if err != nil {
		return err
	}
	if resp.Err != nil {
		return resp.Err
	}
	if resp.Code != 0 {
		return errors.New(resp.Message)
	}
	if c.JSON {
		fmt.Fprintf(e.stdout, "%s\n", resp.Result)
		return nil
	}
	var status gateway.Status
	if err := json.Unmarshal(resp.Result, &status); err != nil {
		return err
	}
	counts := status.Counts
	fmt.Fprintf(e.stdout, "%s, number %d of %d%s\n", status.Name, status.Number, status.Of, map[bool]string{true: ", leaving"}[status.Leaving])
	fmt.Fprintf(e.stdout, "RPCs: %d taken, %d ok, %d denied, %d aborted, %d left; %d open, %d at the gate\n", counts.Taken, counts.OK, counts.Denied,
		counts.Aborted, counts.Left, counts.Open, status.Waiting)
	fmt.Fprintf(e.stdout, "heap %d MB, %d call-outs, %d load orders\n", status.Process.Heap>>20, counts.CallOuts, counts.Orders)
	switch config := status.Config; {
	case config == nil:
		fmt.Fprintln(e.stdout, "configuration: its own settings; no control service")
	default:
		link := "followed"
		if !config.Connected {
			link = fmt.Sprintf("silent for %.0f s", config.SilentMs/1000)
		}
		fmt.Fprintf(e.stdout, "configuration: version %d from %s, on disk: %s; control service %s\n", config.Version, config.Source, yesNo(config.Saved), link)
		if config.Refused != 0 {
			fmt.Fprintf(e.stdout, "turned down last: version %d: %s\n", config.Refused, config.Reason)
		}
	}
	return nil
}

// submitter names the user and the host of this process, to record who submitted a version.
func submitter() string {
	if host, err := os.Hostname(); err == nil {
		return fmt.Sprintf("uid %d at %s", os.Getuid(), host)
	}
	return fmt.Sprintf("uid %d", os.Getuid())
}
