// Command mallowlanding runs a front end, the stand-ins for the services around it, and tools for both.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"mallowlanding/internal/clients"
	"mallowlanding/internal/demo"
	"mallowlanding/internal/gateway"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/measure"
	"mallowlanding/internal/platform"
	"mallowlanding/internal/rehearse"
	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
)

// Exit codes.
const (
	exitFailure = 1 // a rule was broken, an RPC was not ok, or a component could not run
	exitUsage   = 2 // the command line or a settings file is invalid
)

type cli struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged: ${enum}."`
	LogForm  string `enum:"text,json" default:"text" help:"Format of the log, which goes to standard error: ${enum}."`

	Serve      serveCmd      `cmd:"" help:"Run a front end until SIGTERM or SIGINT; it then answers its open RPCs and exits."`
	Platform   platformCmd   `cmd:"" help:"Run a front end as the operators' platform starts it; BALANCER_CONFIG names its configuration file."`
	Worker     workerCmd     `cmd:"" help:"Run a stand-in worker."`
	Roster     rosterCmd     `cmd:"" help:"Run a stand-in roster, and a stand-in store if the settings have one."`
	Check      checkCmd      `cmd:"" help:"Check settings files and report their errors."`
	Call       callCmd       `cmd:"" help:"Send one RPC and print its result."`
	Status     statusCmd     `cmd:"" help:"Show the status of a front end."`
	Control    controlCmd    `cmd:"" help:"Run one instance of the stand-in control service."`
	Config     configCmd     `cmd:"" help:"Submit, compare, show and roll back configurations."`
	Demo       demoCmd       `cmd:"" help:"Run one front end and a few stand-in workers until interrupted."`
	Rehearse   rehearseCmd   `cmd:"" help:"Run a scenario with real processes and check the five rules."`
	Emulate    emulateCmd    `cmd:"" help:"Run a scenario in virtual time and check the five rules."`
	Experiment experimentCmd `cmd:"" help:"Run an experiment, a plan of emulated scenarios, on all cores, or compare the results of two."`
	Load       loadCmd       `cmd:"" help:"Send a scenario's load to running front ends, from several processes."`
	Schema     schemaCmd     `cmd:"" help:"Print the XML schema of the settings."`
	Measure    measureCmd    `cmd:"" help:"Measure one front end with warm copies, and a client that calls the workers directly for comparison."`
}

// usageError is an error in the command line or in a settings file.
type usageError struct{ error }

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	exitCode := -1
	parser, err := kong.New(&c, kong.Name("mallowlanding"), kong.Writers(stdout, stderr),
		kong.Description("A gateway that runs RPCs on workers which load functions on demand."),
		kong.Exit(func(code int) { exitCode = code }), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(stderr, "mallowlanding:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if exitCode >= 0 { // --help was given
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(stderr, "mallowlanding:", err)
		fmt.Fprintln(stderr, "Try 'mallowlanding --help'.")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once, by its default action.
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := command.Run(&runEnv{ctx: ctx, stdout: stdout, log: c.newLogger(stderr)}); err != nil {
		fmt.Fprintln(stderr, "mallowlanding:", err)
		if errors.As(err, &usageError{}) {
			return exitUsage
		}
		return exitFailure
	}
	return 0
}

// runEnv is what the Run methods of all commands share.
type runEnv struct {
	ctx    context.Context
	stdout io.Writer
	log    zerolog.Logger
}

func (c *cli) newLogger(stderr io.Writer) zerolog.Logger {
	level, _ := zerolog.ParseLevel(c.LogLevel)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.DurationFieldUnit = time.Millisecond
	if c.LogForm == "text" {
		stderr = zerolog.ConsoleWriter{Out: stderr, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	return zerolog.New(stderr).Level(level).With().Timestamp().Logger()
}

type serveCmd struct {
	Settings string `arg:"" help:"The front end's settings."`
}

// Run runs a front end until its context ends.
func (c *serveCmd) Run(e *runEnv) error {
	f, err := settings.ReadFrontEnd(c.Settings)
	if err != nil {
		return usageError{err}
	}
	return gateway.Serve(e.ctx, f, e.log, nil)
}

type platformCmd struct{}

// Run runs a front end as a process of the operators' platform, until its context ends.
func (c *platformCmd) Run(e *runEnv) error {
	reload, ignored := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// The function run stops catching SIGTERM after the first one. This registration stays, so that a second SIGTERM
	// does not end the process before it has answered its open RPCs.
	signal.Notify(ignored, syscall.SIGTERM)
	err := platform.Serve(e.ctx, os.Getenv("BALANCER_CONFIG"), reload, e.log)
	if errors.As(err, &platform.ConfigError{}) {
		return usageError{err}
	}
	return err
}

type workerCmd struct {
	Settings string        `arg:"" help:"The worker's settings."`
	Drain    time.Duration `default:"500ms" help:"How long the worker serves on after SIGTERM, draining, for front ends that learn of the drain late."`
}

func (c *workerCmd) Run(e *runEnv) error {
	w, err := settings.ReadWorker(c.Settings)
	if err != nil {
		return usageError{err}
	}
	return standin.Worker(e.ctx, w, c.Drain, e.log, nil)
}

type rosterCmd struct {
	Settings string `arg:"" help:"The roster's settings."`
}

func (c *rosterCmd) Run(e *runEnv) error {
	r, err := settings.ReadRoster(c.Settings)
	if err != nil {
		return usageError{err}
	}
	return standin.Roster(e.ctx, r, e.log, nil)
}

type checkCmd struct {
	Settings []string `arg:"" help:"Settings files of any kind."`
}

// Run checks each settings file and reports all errors.
func (c *checkCmd) Run(e *runEnv) error {
	var failed error
	for _, file := range c.Settings {
		kind, err := settings.CheckFile(file)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		fmt.Fprintf(e.stdout, "%s: a good %s\n", file, kind)
	}
	if failed != nil {
		return usageError{failed}
	}
	return nil
}

type callCmd struct {
	Socket   string  `required:"" short:"s" help:"The front end's client socket."`
	Method   string  `arg:"" help:"A method that the settings define."`
	Function string  `arg:"" help:"The function."`
	Payload  string  `arg:"" optional:"" help:"The payload: any JSON."`
	Customer string  `help:"The customer, if the settings define customers."`
	Token    string  `help:"The token; required for tokened methods."`
	TimeMs   float64 `help:"How long to wait, in ms; by default the method's deadline." default:"-1"`
}

// Run sends one RPC and prints its result.
func (c *callCmd) Run(e *runEnv) error {
	params := jsonrpc.AppendString([]byte(`{"function":`), c.Function)
	for _, field := range [][2]string{{"customer", c.Customer}, {"token", c.Token}} {
		if field[1] != "" {
			params = jsonrpc.AppendString(append(jsonrpc.AppendString(append(params, ','), field[0]), ':'), field[1])
		}
	}
	if c.TimeMs >= 0 {
		params = strconv.AppendFloat(append(params, `,"time_ms":`...), c.TimeMs, 'f', -1, 64)
	}
	if c.Payload != "" {
		if !jsonrpc.Valid([]byte(c.Payload)) {
			return usageError{fmt.Errorf("payload is not JSON: %.80s", c.Payload)}
		}
		params = append(append(params, `,"payload":`...), c.Payload...)
	}
	resp, err := callJSONRPC(e.ctx, c.Socket, c.Method, append(params, '}'))
	if err != nil {
		return err
	}
	switch {
	case resp.Err != nil:
		return resp.Err
	case resp.Code == 0:
		fmt.Fprintf(e.stdout, "%s\n", resp.Result)
		return nil
	}
	message := fmt.Sprintf("%s (%d)", resp.Message, resp.Code)
	if len(resp.Data) > 0 {
		message += " " + string(resp.Data)
	}
	if resp.Code != clients.Denied && resp.Code != clients.Aborted {
		return usageError{errors.New(message)}
	}
	return errors.New(message)
}

// callJSONRPC sends one JSON-RPC request over a Unix socket and waits for its response.
func callJSONRPC(ctx context.Context, socket, method string, params []byte) (jsonrpc.Response, error) {
	conn, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "unix", socket)
	if err != nil {
		return jsonrpc.Response{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := jsonrpc.NewCaller(conn, 1<<30)
	done := make(chan struct{})
	go func() { defer close(done); _ = client.Run(ctx) }()
	resp := client.Call(ctx, method, params)
	cancel()
	<-done
	return resp, nil
}

type demoCmd struct {
	Dir string `required:"" name:"dir" short:"d" help:"Folder for sockets, settings and logs; created if it does not exist."`
}

func (c *demoCmd) Run(e *runEnv) error { return demo.Run(e.ctx, c.Dir, e.stdout, e.log) }

type rehearseCmd struct {
	Scenario string `arg:"" help:"The scenario."`
	Keep     string `help:"Folder in which sockets, settings and logs are kept; by default they are removed."`
}

// Run plays a scenario with real processes.
func (c *rehearseCmd) Run(e *runEnv) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return usageError{err}
	}
	return rehearse.Run(e.ctx, s, c.Keep, e.stdout, e.log)
}

type measureCmd struct {
	Span      time.Duration `default:"5s" help:"How long each measurement takes."`
	Workers   int           `default:"4" help:"Stand-in workers."`
	Cores     int           `default:"2" help:"Cores that the front end may use."`
	Payload   int           `default:"128" help:"Bytes of each payload."`
	Functions int           `default:"4" help:"Functions that are called in turn."`
	Flood     bool          `help:"Measure single RPCs beside a client that floods the front end instead."`
	Batching  bool          `help:"Measure batches of up to eight RPCs, and no batches, under rising load instead."`
	Fronts    bool          `help:"Measure JSON-RPC, HTTP and gRPC on one function, with tensors of 1 KiB and 1 MiB, instead."`
	Config    bool          `help:"Measure how soon followers receive a configuration, and the pause that it causes, instead."`
	Crashes   int           `help:"Kill a control service this many times while it numbers versions, instead."`
	Work      time.Duration `default:"0s" help:"Execution time of an RPC at a worker."`
	Rate      float64       `help:"RPCs per second of the open-loop load; by default half of the highest rate that the front end reached."`
}

// Run runs the measurement that the flags select, the plain one by default.
func (c *measureCmd) Run(e *runEnv) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	options := measure.Options{Duration: c.Span, Workers: c.Workers, FrontEndCores: c.Cores, PayloadBytes: c.Payload, Functions: c.Functions,
		Rate: c.Rate, WorkTime: c.Work}
	if c.Batching {
		return measure.Batching(e.ctx, exe, options, []float64{200, 400, 800, 1200, 1600}, e.stdout)
	}
	if c.Config {
		return measure.Configuration(e.ctx, exe, []int{3, 30, 300}, 5000, e.stdout)
	}
	if c.Crashes > 0 {
		return measure.Crashes(e.ctx, exe, c.Crashes, e.stdout)
	}
	if c.Fronts {
		return measure.Protocols(e.ctx, exe, options, []int{1 << 10, 1 << 20}, e.stdout)
	}
	if c.Flood {
		return measure.Flood(e.ctx, exe, options, e.stdout)
	}
	return measure.Run(e.ctx, exe, options, e.stdout)
}

type schemaCmd struct{}

func (c *schemaCmd) Run(e *runEnv) error {
	_, err := e.stdout.Write(settings.Schema())
	return err
}
