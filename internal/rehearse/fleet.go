package rehearse

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/jsonrpc"
	"mallowlanding/internal/record"
	"mallowlanding/internal/settings"

	"net"
)

// process is one process of the fleet. It ends with the rehearsal at the latest.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
	err  error
}

// fleet is all that a rehearsal started.
type fleet struct {
	s    *settings.Scenario
	exe  string
	dir  string
	keep func(record.Record)

	mu      sync.Mutex
	procs   map[string]*process // the last one under each name
	all     []*process
	workers []*settings.Worker // that run, or will again
	logs    []string           // record logs of workers and roster
	next    int                // number of the next replacement
	others  *Sockets           // of front ends that this did not start; nil: they are its own
}

func (f *fleet) path(format string, args ...any) string {
	return filepath.Join(f.dir, fmt.Sprintf(format, args...))
}

// start runs a subcommand on a settings file as a process of its own.
func (f *fleet) start(name, command, file string, args ...string) (*process, error) {
	log, err := os.OpenFile(f.path("%s.log", name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(f.exe, append([]string{"--log-form", "json", command, file}, args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.procs[name] = p
	f.all = append(f.all, p)
	f.mu.Unlock()
	return p, nil
}

// awaitSocket waits until somebody serves the socket.
func awaitSocket(ctx context.Context, path string, p *process) error {
	until := time.Now().Add(20 * time.Second)
	for {
		if nc, err := net.Dial("unix", path); err == nil {
			return nc.Close()
		} else if time.Now().After(until) {
			return fmt.Errorf("%s: nobody serves %s: %w", p.name, path, err)
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended before it served: %v", p.name, p.err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// run starts the whole fleet: roster and store, workers that run since long ago, front ends.
func (f *fleet) run(ctx context.Context) error {
	s := f.s
	roster := &settings.Roster{Socket: f.path("roster.sock"), Lag: s.Fleet.RosterLag, Log: f.path("roster.rec")}
	if s.Fleet.Store != nil {
		store := *s.Fleet.Store
		store.Socket = f.path("store.sock")
		roster.Store = &store
	}
	f.logs = append(f.logs, roster.Log)
	if err := settings.WriteFile(f.path("roster.xml"), "roster", roster); err != nil {
		return err
	}
	p, err := f.start("roster", "roster", f.path("roster.xml"))
	if err == nil {
		err = awaitSocket(ctx, roster.Socket, p)
	}
	if err != nil {
		return err
	}
	f.workers = s.Workers()
	for _, w := range f.workers {
		w.Roster = &settings.RosterAt{Socket: roster.Socket}
		if roster.Store != nil {
			w.Store = &settings.StoreAt{Socket: roster.Store.Socket}
		}
	}
	f.next = len(f.workers)
	var group errgroup.Group
	for _, w := range f.workers {
		group.Go(func() error { return f.startWorker(ctx, w) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if err := f.startControl(ctx); err != nil {
		return err
	}
	for i := range s.Fleet.FrontEnds {
		fe := &settings.FrontEnd{Name: frontEnd(i), Number: i, FrontEnds: s.Fleet.FrontEnds, Seed: s.Seed + int64(i),
			Service: s.Service}
		// what the scenario does not set has the schema's defaults
		file := f.path("%s.xml", fe.Name)
		text := fmt.Sprintf(`<front-end name=%q number="%d" of="%d" seed="%d"%s>
  <clients socket=%q open="100000"/>%s
  <roster socket=%q cache=%q/>%s
`, fe.Name, i, fe.FrontEnds, fe.Seed, zoneAttr(s, i), f.socket(i), f.kserve(i), roster.Socket, f.path("%s.list", fe.Name), f.controlAt(fe.Name))
		service, err := settings.ElementText("service", fe.Service)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, []byte(text+service+"</front-end>\n"), 0o600); err != nil {
			return err
		}
		group.Go(func() error { return f.startFrontEnd(ctx, i) })
	}
	return group.Wait()
}

// kserve is the second front's element, where part of the load comes over it: each function is a model.
func (f *fleet) kserve(i int) string {
	models, served := "", map[string]bool{}
	for _, m := range f.s.Load.Mix {
		if m.Protocol == jsonRPC || served[m.Method] {
			continue
		}
		served[m.Method] = true
		for n := range f.s.Load.Functions {
			name := fmt.Sprintf("%s-%d", m.Method, n)
			models += fmt.Sprintf("    <model name=%[1]q method=%[2]q function=%[1]q/>\n", name, m.Method)
		}
	}
	if models == "" {
		return ""
	}
	return fmt.Sprintf("\n  <kserve socket=%q grpc-socket=%q>\n%s  </kserve>", f.httpSocket(i), f.grpcSocket(i), models)
}

// jsonRPC is the first front's name in a mix.
const jsonRPC = "json-rpc"

func (f *fleet) grpcSocket(i int) string {
	if f.others != nil {
		return f.others.at(f.others.GRPC, i)
	}
	return f.path("%s.grpc", frontEnd(i))
}

func instance(i int) string { return fmt.Sprintf("control-%d", i) }

// controlSockets are those of the control service's instances.
func (f *fleet) controlSockets() (out []string) {
	if c := f.s.Fleet.Control; c != nil {
		for i := range c.Instances {
			out = append(out, f.path("%s.sock", instance(i)))
		}
	}
	return out
}

// controlAt is a front end's control element.
func (f *fleet) controlAt(name string) string {
	if f.s.Fleet.Control == nil {
		return ""
	}
	return fmt.Sprintf("\n  <control sockets=%q keep=%q/>", strings.Join(f.controlSockets(), " "), f.path("%s.kept", name))
}

// startControl runs the control service, where the fleet has one.
func (f *fleet) startControl(ctx context.Context) error {
	c := f.s.Fleet.Control
	if c == nil {
		return nil
	}
	var group errgroup.Group
	for i := range c.Instances {
		doc := &settings.Control{Name: instance(i), Socket: f.path("%s.sock", instance(i)), PeerSocket: f.path("%s.peer", instance(i)),
			Dir: f.path("%s.store", instance(i)), Heartbeat: c.Heartbeat, Rollout: c.Rollout}
		for j := range c.Instances {
			if j != i {
				doc.Others = append(doc.Others, settings.Instance{Name: instance(j), PeerSocket: f.path("%s.peer", instance(j))})
			}
		}
		if err := settings.WriteFile(f.path("%s.xml", instance(i)), "control", doc); err != nil {
			return err
		}
		group.Go(func() error { return f.startInstance(ctx, i) })
	}
	return group.Wait()
}

func (f *fleet) startInstance(ctx context.Context, i int) error {
	p, err := f.start(instance(i), "control", f.path("%s.xml", instance(i)))
	if err != nil {
		return err
	}
	return awaitSocket(ctx, f.path("%s.sock", instance(i)), p)
}

func (f *fleet) httpSocket(i int) string {
	if f.others != nil {
		return f.others.at(f.others.HTTP, i)
	}
	return f.path("%s.http", frontEnd(i))
}

func zoneAttr(s *settings.Scenario, i int) string {
	if zone := s.ZoneOf(i); zone != "" {
		return fmt.Sprintf(" zone=%q", zone)
	}
	return ""
}

func frontEnd(i int) string { return fmt.Sprintf("front-%d", i) }

func (f *fleet) socket(i int) string {
	if f.others != nil {
		return f.others.at(f.others.JSONRPC, i)
	}
	return f.path("%s.sock", frontEnd(i))
}

func (f *fleet) startFrontEnd(ctx context.Context, i int) error {
	name := frontEnd(i)
	f.keep(record.Record{UnixNS: time.Now().UnixNano(), Kind: record.ProcessStarted, Source: "rehearsal", FrontEnd: name})
	p, err := f.start(name, "serve", f.path("%s.xml", name))
	if err != nil {
		return err
	}
	return awaitSocket(ctx, f.socket(i), p)
}

// startWorker writes the worker's settings and runs it.
func (f *fleet) startWorker(ctx context.Context, w *settings.Worker) error {
	w.Socket, w.Control, w.Log = f.path("%s.sock", w.Name), f.path("%s.control", w.Name), f.path("%s.rec", w.Name)
	f.mu.Lock()
	known := false
	for _, l := range f.logs {
		known = known || l == w.Log
	}
	if !known {
		f.logs = append(f.logs, w.Log)
	}
	f.mu.Unlock()
	file := f.path("%s.xml", w.Name)
	if err := settings.WriteFile(file, "worker", w); err != nil {
		return err
	}
	p, err := f.start(w.Name, "worker", file, "--drain", eventloop.ToDuration(f.s.Fleet.RosterLag+20000).String())
	if err != nil {
		return err
	}
	return awaitSocket(ctx, w.Control, p)
}

// signal sends a signal to the last process under a name, where that still runs.
func (f *fleet) signal(name string, s syscall.Signal) *process {
	f.mu.Lock()
	p := f.procs[name]
	f.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
	return p
}

// command asks a worker's control socket for a fault.
func (f *fleet) command(ctx context.Context, w *settings.Worker, method string, params string) error {
	ctx, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	nc, err := (&net.Dialer{}).DialContext(ctx, "unix", w.Control)
	if err != nil {
		return err
	}
	c := jsonrpc.NewCaller(nc, 1<<20)
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	a := c.Call(ctx, method, []byte(params))
	end()
	<-done
	if a.Err != nil {
		return a.Err
	}
	if a.Code != 0 {
		return fmt.Errorf("%s: %s", method, a.Message)
	}
	return nil
}

// stop ends all that still runs: first the front ends, by SIGTERM, then the rest.
func (f *fleet) stop(answer time.Duration) {
	f.mu.Lock()
	all := append([]*process(nil), f.all...)
	f.mu.Unlock()
	for i := range f.s.Fleet.FrontEnds {
		f.mu.Lock()
		p := f.procs[frontEnd(i)]
		f.mu.Unlock()
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(answer):
		}
	}
	for _, p := range all {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		<-p.done
	}
}

// records are what workers and roster wrote.
func (f *fleet) records() ([]record.Record, error) {
	var all []record.Record
	for _, file := range f.logs {
		rs, err := record.Read(file)
		if err != nil {
			return nil, err
		}
		all = append(all, rs...)
	}
	return all, nil
}
