// Command cases2 plays the cases 6 to 10 of the review. It starts the project's programs as processes of their own,
// plays one day with or without the disruption, and judges what clients and workers saw.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// day is one play of a case.
type day struct {
	dir     string // temporary folder with sockets, settings and logs
	bin     string // bin/mallowlanding
	trouble bool   // false with TROUBLE=0
	began   time.Time

	ctx      context.Context // ends with the day
	end      func()
	commands sync.WaitGroup // those that run runs

	mu     sync.Mutex
	record *os.File
	procs  []*proc
	broken []string
}

// proc is a process that the day started.
type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	log  string        // its output
}

// failure ends a day that could not run.
type failure struct{ text string }

func (d *day) fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

func (d *day) must(err error, what string) {
	if err != nil {
		d.fail("%s: %v", what, err)
	}
}

// note writes a line to record.txt.
func (d *day) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// broke records a break of the rule.
func (d *day) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.note("BROKEN: %s", text)
	d.mu.Lock()
	d.broken = append(d.broken, text)
	d.mu.Unlock()
}

func (d *day) path(format string, args ...any) string {
	return filepath.Join(d.dir, fmt.Sprintf(format, args...))
}

// write writes a settings file; DIR in it stands for the day's folder.
func (d *day) write(name, text string) string {
	file := d.path("%s", name)
	d.must(os.WriteFile(file, []byte(strings.ReplaceAll(text, "DIR", d.dir)), 0o600), "settings")
	return file
}

// start starts a process of bin/mallowlanding.
func (d *day) start(name string, args ...string) *proc {
	p := &proc{name: name, done: make(chan struct{}), log: d.path("%s.out", name)}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.must(err, "log")
	p.cmd = exec.Command(d.bin, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	d.note("start %s: %s", name, strings.ReplaceAll(strings.Join(args, " "), d.dir, "DIR"))
	d.mu.Lock()
	err = d.ctx.Err() // nothing is started once the day has ended
	if err == nil {
		if err = p.cmd.Start(); err == nil {
			d.procs = append(d.procs, p)
		}
	}
	d.mu.Unlock()
	out.Close()
	d.must(err, "start "+name)
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	return p
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to a process that the day started.
func (d *day) signal(p *proc, sig syscall.Signal) {
	if p.ended() {
		return
	}
	d.note("signal %v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
}

// kill kills a process and waits for its end.
func (d *day) kill(p *proc) {
	d.signal(p, syscall.SIGKILL)
	<-p.done
}

// awaitSocket waits until a process listens at a Unix socket.
func (d *day) awaitSocket(p *proc, socket string) {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if p.ended() {
			d.fail("%s ended at its start: %s", p.name, tail(p.log))
		}
		if nc, err := dialUnix(socket); err == nil {
			nc.Close()
			return
		}
	}
	d.fail("%s does not listen: %s", p.name, tail(p.log))
}

func tail(file string) string {
	text, _ := os.ReadFile(file)
	return string(text[max(0, len(text)-1500):])
}

// run runs a command of bin/mallowlanding to its end, of which it is given 60 s, and returns its output. It ends with the
// day.
func (d *day) run(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(d.ctx, 60*time.Second)
	defer cancel()
	d.commands.Add(1)
	defer d.commands.Done()
	out, err := exec.CommandContext(ctx, d.bin, args...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

func (d *day) stopAll() {
	d.mu.Lock()
	d.end()
	procs := d.procs
	d.mu.Unlock()
	for _, p := range procs {
		if p.ended() {
			continue
		}
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGCONT)
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.done
	}
	d.commands.Wait()
}

var cases = map[string]func(*day){}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		return 2
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &day{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), bin: filepath.Join(folder, "..", "..", "bin", "mallowlanding")}
	if d.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.record.Close()
	if d.dir, err = os.MkdirTemp("", "ml"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
	d.ctx, d.end = context.WithCancel(context.Background())
	defer d.stopAll()
	finished := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				f, ok := r.(failure)
				if !ok {
					f.text = fmt.Sprint("fault of the case itself: ", r)
				}
				d.note("could not run: %s", f.text)
				fmt.Println("could not run:", f.text)
				finished <- 2
			}
		}()
		cases[os.Args[1]](d)
		finished <- 0
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-finished:
	case <-signals:
		code = 2
	case <-time.After(115 * time.Second):
		fmt.Println("could not run: not over within 115 s")
		code = 2
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if code == 0 && len(d.broken) > 0 {
		for _, text := range d.broken {
			fmt.Println("broken:", text)
		}
		return 1
	}
	if code == 0 {
		fmt.Println("the rule held")
	}
	return code
}
