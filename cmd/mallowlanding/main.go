// Command mallowlanding runs a front end, the stand-ins that it is tried with, and tools around them.
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
	exitFailed  = 1 // it did not go well: a rule broke, an RPC was not ok, a part could not run
	exitMisused = 2 // the command line or a settings file is wrong
)

type cli struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Least level of the log's lines: ${enum}."`
	LogForm  string `enum:"text,json" default:"text" help:"Form of the log, which goes to standard error: ${enum}."`

	Serve      serveCmd      `cmd:"" help:"Run a front end until SIGTERM or SIGINT; it then answers what it holds and leaves."`
	Platform   platformCmd   `cmd:"" help:"Run a front end as the operators' platform starts it: BALANCER_CONFIG names its configuration."`
	Worker     workerCmd     `cmd:"" help:"Run a stand-in worker."`
	Roster     rosterCmd     `cmd:"" help:"Run a stand-in roster, with a stand-in store where its settings have one."`
	Check      checkCmd      `cmd:"" help:"Check settings files and tell what is wrong with them."`
	Call       callCmd       `cmd:"" help:"Send one RPC and print its result."`
	Status     statusCmd     `cmd:"" help:"Tell how a front end stands."`
	Control    controlCmd    `cmd:"" help:"Run one instance of the stand-in control service."`
	Config     configCmd     `cmd:"" help:"Submit, compare, watch and take back configurations."`
	Demo       demoCmd       `cmd:"" help:"Run one front end and a few stand-in workers until interrupted."`
	Rehearse   rehearseCmd   `cmd:"" help:"Play a scripted day on processes of their own and check the five rules."`
	Emulate    emulateCmd    `cmd:"" help:"Play a scripted day in virtual time and check the five rules."`
	Experiment experimentCmd `cmd:"" help:"Run a plan of emulated days over all cores, or compare two that were run."`
	Load       loadCmd       `cmd:"" help:"Send a scenario's load to front ends that run, from several processes."`
	Schema     schemaCmd     `cmd:"" help:"Print the XML schema of the settings."`
	Measure    measureCmd    `cmd:"" help:"Time one front end on warm copies beside a client that speaks to the workers directly."`
}

// misuse is an error of whoever called.
type misuse struct{ error }

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	var c cli
	exit := -1
	parser, err := kong.New(&c, kong.Name("mallowlanding"), kong.Writers(out, errs),
		kong.Description("A gateway that runs RPCs on workers which load functions on demand."),
		kong.Exit(func(code int) { exit = code }), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(errs, "mallowlanding:", err)
		return exitMisused
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 { // help was asked for
		return exit
	}
	if err != nil {
		fmt.Fprintln(errs, "mallowlanding:", err)
		fmt.Fprintln(errs, "Try 'mallowlanding --help'.")
		return exitMisused
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// interrupted twice: at once
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := parsed.Run(&env{ctx: ctx, out: out, log: c.logger(errs)}); err != nil {
		fmt.Fprintln(errs, "mallowlanding:", err)
		if errors.As(err, &misuse{}) {
			return exitMisused
		}
		return exitFailed
	}
	return 0
}

type env struct {
	ctx context.Context
	out io.Writer
	log zerolog.Logger
}

func (c *cli) logger(errs io.Writer) zerolog.Logger {
	level, _ := zerolog.ParseLevel(c.LogLevel)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.DurationFieldUnit = time.Millisecond
	if c.LogForm == "text" {
		errs = zerolog.ConsoleWriter{Out: errs, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	return zerolog.New(errs).Level(level).With().Timestamp().Logger()
}

type serveCmd struct {
	Settings string `arg:"" help:"The front end's settings."`
}

// Run runs a front end.
func (c *serveCmd) Run(e *env) error {
	f, err := settings.ReadFrontEnd(c.Settings)
	if err != nil {
		return misuse{err}
	}
	return gateway.Serve(e.ctx, f, e.log, nil)
}

type platformCmd struct{}

// Run runs a front end on the platform.
func (c *platformCmd) Run(e *env) error {
	reload, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(again, syscall.SIGTERM) // told twice to leave it still answers what it holds
	err := platform.Serve(e.ctx, os.Getenv("BALANCER_CONFIG"), reload, e.log)
	if errors.As(err, &platform.ConfigError{}) {
		return misuse{err}
	}
	return err
}

type workerCmd struct {
	Settings string        `arg:"" help:"The worker's settings."`
	Drain    time.Duration `default:"500ms" help:"How long it goes on after SIGTERM, drained, for front ends that hear late."`
}

// Run runs a stand-in worker.
func (c *workerCmd) Run(e *env) error {
	w, err := settings.ReadWorker(c.Settings)
	if err != nil {
		return misuse{err}
	}
	return standin.Worker(e.ctx, w, c.Drain, e.log, nil)
}

type rosterCmd struct {
	Settings string `arg:"" help:"The roster's settings."`
}

// Run runs a stand-in roster.
func (c *rosterCmd) Run(e *env) error {
	r, err := settings.ReadRoster(c.Settings)
	if err != nil {
		return misuse{err}
	}
	return standin.Roster(e.ctx, r, e.log, nil)
}

type checkCmd struct {
	Settings []string `arg:"" help:"Settings files of any kind."`
}

// Run checks settings files.
func (c *checkCmd) Run(e *env) error {
	var failed error
	for _, file := range c.Settings {
		kind, err := settings.CheckFile(file)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		fmt.Fprintf(e.out, "%s: a good %s\n", file, kind)
	}
	if failed != nil {
		return misuse{failed}
	}
	return nil
}

type callCmd struct {
	Socket   string  `required:"" short:"s" help:"The front end's client socket."`
	Method   string  `arg:"" help:"A method of the settings."`
	Function string  `arg:"" help:"The function."`
	Payload  string  `arg:"" optional:"" help:"The payload: any JSON."`
	Customer string  `help:"The customer, where the settings have customers."`
	Token    string  `help:"The token, owed by tokened methods."`
	TimeMs   float64 `help:"How long to wait, in ms; by default the method's deadline." default:"-1"`
}

// Run sends one RPC.
func (c *callCmd) Run(e *env) error {
	p := jsonrpc.AppendString([]byte(`{"function":`), c.Function)
	for _, f := range [][2]string{{"customer", c.Customer}, {"token", c.Token}} {
		if f[1] != "" {
			p = jsonrpc.AppendString(append(jsonrpc.AppendString(append(p, ','), f[0]), ':'), f[1])
		}
	}
	if c.TimeMs >= 0 {
		p = strconv.AppendFloat(append(p, `,"time_ms":`...), c.TimeMs, 'f', -1, 64)
	}
	if c.Payload != "" {
		if !jsonrpc.Valid([]byte(c.Payload)) {
			return misuse{fmt.Errorf("payload is not JSON: %.80s", c.Payload)}
		}
		p = append(append(p, `,"payload":`...), c.Payload...)
	}
	a, err := ask(e.ctx, c.Socket, c.Method, append(p, '}'))
	if err != nil {
		return err
	}
	switch {
	case a.Err != nil:
		return a.Err
	case a.Code == 0:
		fmt.Fprintf(e.out, "%s\n", a.Result)
		return nil
	}
	text := fmt.Sprintf("%s (%d)", a.Message, a.Code)
	if len(a.Data) > 0 {
		text += " " + string(a.Data)
	}
	if a.Code != clients.Denied && a.Code != clients.Aborted {
		return misuse{errors.New(text)}
	}
	return errors.New(text)
}

// ask sends one JSON-RPC request over a socket and waits for its answer.
func ask(ctx context.Context, socket, method string, params []byte) (jsonrpc.Response, error) {
	nc, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "unix", socket)
	if err != nil {
		return jsonrpc.Response{}, err
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	caller := jsonrpc.NewCaller(nc, 1<<30)
	done := make(chan struct{})
	go func() { defer close(done); _ = caller.Run(ctx) }()
	a := caller.Call(ctx, method, params)
	end()
	<-done
	return a, nil
}

type demoCmd struct {
	Dir string `required:"" name:"dir" short:"d" help:"Folder for sockets, settings and logs; made if it is missing."`
}

// Run runs the demo.
func (c *demoCmd) Run(e *env) error { return demo.Run(e.ctx, c.Dir, e.out, e.log) }

type rehearseCmd struct {
	Scenario string `arg:"" help:"The scenario."`
	Keep     string `help:"Folder in which sockets, settings and logs stay; by default they go."`
}

// Run plays a scripted day.
func (c *rehearseCmd) Run(e *env) error {
	s, err := settings.ReadScenario(c.Scenario)
	if err != nil {
		return misuse{err}
	}
	return rehearse.Run(e.ctx, s, c.Keep, e.out, e.log)
}

type measureCmd struct {
	Span      time.Duration `default:"5s" help:"How long each measurement takes."`
	Workers   int           `default:"4" help:"Stand-in workers."`
	Cores     int           `default:"2" help:"Cores that the front end may use."`
	Payload   int           `default:"128" help:"Bytes of each payload."`
	Functions int           `default:"4" help:"Functions asked for in turn."`
	Flood     bool          `help:"Measure single RPCs beside a flooding neighbour instead."`
	Batching  bool          `help:"Measure batches of up to eight and none under rising load instead."`
	Fronts    bool          `help:"Measure JSON-RPC, HTTP and gRPC on one function, with tensors of 1 KiB and 1 MiB, instead."`
	Config    bool          `help:"Measure how soon followers have a configuration, and the pause that it makes, instead."`
	Crashes   int           `help:"Kill a control service so many times while it numbers versions, instead."`
	Work      time.Duration `default:"0s" help:"What an RPC takes at a worker."`
	Rate      float64       `help:"RPCs a second of the open loop; by default half of what the front end reached."`
}

// Run measures.
func (c *measureCmd) Run(e *env) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	o := measure.Options{Duration: c.Span, Workers: c.Workers, FrontEndCores: c.Cores, PayloadBytes: c.Payload, Functions: c.Functions,
		Rate: c.Rate, WorkTime: c.Work}
	if c.Batching {
		return measure.Batching(e.ctx, exe, o, []float64{200, 400, 800, 1200, 1600}, e.out)
	}
	if c.Config {
		return measure.Configuration(e.ctx, exe, []int{3, 30, 300}, 5000, e.out)
	}
	if c.Crashes > 0 {
		return measure.Crashes(e.ctx, exe, c.Crashes, e.out)
	}
	if c.Fronts {
		return measure.Protocols(e.ctx, exe, o, []int{1 << 10, 1 << 20}, e.out)
	}
	if c.Flood {
		return measure.Flood(e.ctx, exe, o, e.out)
	}
	return measure.Run(e.ctx, exe, o, e.out)
}

type schemaCmd struct{}

// Run prints the schema.
func (c *schemaCmd) Run(e *env) error {
	_, err := e.out.Write(settings.Schema())
	return err
}
