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

// process is one process of the fleet. The kernel kills it if the rehearsal's process dies.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has exited
	err  error
}

// fleet is the processes of a rehearsal, and their files.
type fleet struct {
	scenario  *settings.Scenario
	exe       string
	dir       string
	addRecord func(record.Record)

	mu          sync.Mutex
	latest      map[string]*process // by name; the last one that was started
	processes   []*process
	workers     []*settings.Worker // that run, or will be restarted
	recordFiles []string           // record logs of the workers and the roster
	nextWorker  int                // number of the next replacement worker
	external    *Sockets           // sockets of front ends that run already; nil: the fleet starts its own
}

// path returns the path of a file in the fleet's folder.
func (f *fleet) path(format string, args ...any) string {
	return filepath.Join(f.dir, fmt.Sprintf(format, args...))
}

// startProcess starts a process that runs a subcommand with a settings file.
func (f *fleet) startProcess(name, command, file string, args ...string) (*process, error) {
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
	f.latest[name] = p
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// awaitSocket waits until a process accepts connections on its socket.
func awaitSocket(ctx context.Context, path string, p *process) error {
	deadline := time.Now().Add(20 * time.Second)
	for {
		if nc, err := net.Dial("unix", path); err == nil {
			return nc.Close()
		} else if time.Now().After(deadline) {
			return fmt.Errorf("%s does not accept connections on %s: %w", p.name, path, err)
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s exited before it accepted connections: %v", p.name, p.err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// startAll starts the fleet: roster and store, workers that count as warm, the control service, front ends.
func (f *fleet) startAll(ctx context.Context) error {
	s := f.scenario
	roster := &settings.Roster{Socket: f.path("roster.sock"), Lag: s.Fleet.RosterLag, Log: f.path("roster.rec")}
	if s.Fleet.Store != nil {
		store := *s.Fleet.Store
		store.Socket = f.path("store.sock")
		roster.Store = &store
	}
	f.recordFiles = append(f.recordFiles, roster.Log)
	if err := settings.WriteFile(f.path("roster.xml"), "roster", roster); err != nil {
		return err
	}
	p, err := f.startProcess("roster", "roster", f.path("roster.xml"))
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
	f.nextWorker = len(f.workers)
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
		fe := &settings.FrontEnd{Name: frontEndName(i), Number: i, FrontEnds: s.Fleet.FrontEnds, Seed: s.Seed + int64(i),
			Service: s.Service}
		// The text is written by hand, so that what the scenario does not set keeps the schema's defaults.
		file := f.path("%s.xml", fe.Name)
		text := fmt.Sprintf(`<front-end name=%q number="%d" of="%d" seed="%d"%s>
  <clients socket=%q open="100000"/>%s
  <roster socket=%q cache=%q/>%s
`, fe.Name, i, fe.FrontEnds, fe.Seed, zoneAttribute(s, i), f.jsonRPCSocket(i), f.kserveElement(i), roster.Socket, f.path("%s.list", fe.Name), f.controlElement(fe.Name))
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

// kserveElement returns the kserve element of a front end's settings, with a model for each function. It is empty if
// all of the load uses JSON-RPC.
func (f *fleet) kserveElement(i int) string {
	models, served := "", map[string]bool{}
	for _, m := range f.scenario.Load.Mix {
		if m.Protocol == jsonRPCProtocol || served[m.Method] {
			continue
		}
		served[m.Method] = true
		for n := range f.scenario.Load.Functions {
			name := fmt.Sprintf("%s-%d", m.Method, n)
			models += fmt.Sprintf("    <model name=%[1]q method=%[2]q function=%[1]q/>\n", name, m.Method)
		}
	}
	if models == "" {
		return ""
	}
	return fmt.Sprintf("\n  <kserve socket=%q grpc-socket=%q>\n%s  </kserve>", f.httpSocket(i), f.grpcSocket(i), models)
}

// jsonRPCProtocol is the name of the JSON-RPC protocol in a mix.
const jsonRPCProtocol = "json-rpc"

func (f *fleet) grpcSocket(i int) string {
	if f.external != nil {
		return f.external.socketFor(f.external.GRPC, i)
	}
	return f.path("%s.grpc", frontEndName(i))
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }

// controlSockets returns the sockets of the control service's instances.
func (f *fleet) controlSockets() (out []string) {
	if c := f.scenario.Fleet.Control; c != nil {
		for i := range c.Instances {
			out = append(out, f.path("%s.sock", controlName(i)))
		}
	}
	return out
}

// controlElement returns the control element of a front end's settings; it is empty without a control service.
func (f *fleet) controlElement(name string) string {
	if f.scenario.Fleet.Control == nil {
		return ""
	}
	return fmt.Sprintf("\n  <control sockets=%q keep=%q/>", strings.Join(f.controlSockets(), " "), f.path("%s.kept", name))
}

// startControl starts the control service, if the fleet has one.
func (f *fleet) startControl(ctx context.Context) error {
	c := f.scenario.Fleet.Control
	if c == nil {
		return nil
	}
	var group errgroup.Group
	for i := range c.Instances {
		control := &settings.Control{Name: controlName(i), Socket: f.path("%s.sock", controlName(i)), PeerSocket: f.path("%s.peer", controlName(i)),
			Dir: f.path("%s.store", controlName(i)), Heartbeat: c.Heartbeat, Rollout: c.Rollout}
		for j := range c.Instances {
			if j != i {
				control.Others = append(control.Others, settings.Instance{Name: controlName(j), PeerSocket: f.path("%s.peer", controlName(j))})
			}
		}
		if err := settings.WriteFile(f.path("%s.xml", controlName(i)), "control", control); err != nil {
			return err
		}
		group.Go(func() error { return f.startControlInstance(ctx, i) })
	}
	return group.Wait()
}

func (f *fleet) startControlInstance(ctx context.Context, i int) error {
	p, err := f.startProcess(controlName(i), "control", f.path("%s.xml", controlName(i)))
	if err != nil {
		return err
	}
	return awaitSocket(ctx, f.path("%s.sock", controlName(i)), p)
}

func (f *fleet) httpSocket(i int) string {
	if f.external != nil {
		return f.external.socketFor(f.external.HTTP, i)
	}
	return f.path("%s.http", frontEndName(i))
}

// zoneAttribute returns the zone attribute of a front end's settings; it is empty if the scenario has no zones.
func zoneAttribute(s *settings.Scenario, i int) string {
	if zone := s.ZoneOf(i); zone != "" {
		return fmt.Sprintf(" zone=%q", zone)
	}
	return ""
}

func frontEndName(i int) string { return fmt.Sprintf("front-%d", i) }

func (f *fleet) jsonRPCSocket(i int) string {
	if f.external != nil {
		return f.external.socketFor(f.external.JSONRPC, i)
	}
	return f.path("%s.sock", frontEndName(i))
}

func (f *fleet) startFrontEnd(ctx context.Context, i int) error {
	name := frontEndName(i)
	f.addRecord(record.Record{UnixNS: time.Now().UnixNano(), Kind: record.ProcessStarted, Source: "rehearsal", FrontEnd: name})
	p, err := f.startProcess(name, "serve", f.path("%s.xml", name))
	if err != nil {
		return err
	}
	return awaitSocket(ctx, f.jsonRPCSocket(i), p)
}

// startWorker writes a worker's settings and starts it.
func (f *fleet) startWorker(ctx context.Context, w *settings.Worker) error {
	w.Socket, w.Control, w.Log = f.path("%s.sock", w.Name), f.path("%s.control", w.Name), f.path("%s.rec", w.Name)
	f.mu.Lock()
	known := false
	for _, file := range f.recordFiles {
		known = known || file == w.Log
	}
	if !known {
		f.recordFiles = append(f.recordFiles, w.Log)
	}
	f.mu.Unlock()
	file := f.path("%s.xml", w.Name)
	if err := settings.WriteFile(file, "worker", w); err != nil {
		return err
	}
	p, err := f.startProcess(w.Name, "worker", file, "--drain", eventloop.ToDuration(f.scenario.Fleet.RosterLag+20000).String())
	if err != nil {
		return err
	}
	return awaitSocket(ctx, w.Control, p)
}

// signalProcess sends a signal to the last process with a name, if it still runs.
func (f *fleet) signalProcess(name string, s syscall.Signal) *process {
	f.mu.Lock()
	p := f.latest[name]
	f.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
	return p
}

// sendFault requests a fault at a worker's control socket.
func (f *fleet) sendFault(ctx context.Context, w *settings.Worker, method string, params string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "unix", w.Control)
	if err != nil {
		return err
	}
	client := jsonrpc.NewCaller(conn, 1<<20)
	done := make(chan struct{})
	go func() { defer close(done); _ = client.Run(ctx) }()
	resp := client.Call(ctx, method, []byte(params))
	cancel()
	<-done
	if resp.Err != nil {
		return resp.Err
	}
	if resp.Code != 0 {
		return fmt.Errorf("%s: %s", method, resp.Message)
	}
	return nil
}

// stop ends all processes: the front ends first, by SIGTERM and with a time limit for each, then the rest by SIGKILL.
func (f *fleet) stop(timeout time.Duration) {
	f.mu.Lock()
	all := append([]*process(nil), f.processes...)
	f.mu.Unlock()
	for i := range f.scenario.Fleet.FrontEnds {
		f.mu.Lock()
		p := f.latest[frontEndName(i)]
		f.mu.Unlock()
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(timeout):
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

// readRecords returns the records that the workers and the roster wrote.
func (f *fleet) readRecords() ([]record.Record, error) {
	var all []record.Record
	for _, file := range f.recordFiles {
		records, err := record.Read(file)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
