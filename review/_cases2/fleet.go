package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// service is the service of a small deployment, after the project's demo; what it leaves out has the schema's defaults.
const service = `
  <service>
    <method name="query" effect="idempotent" gain="1" soft-deadline-ms="1000" deadline-ms="3000" load-ms="300"/>
    <method name="book" effect="tokened" group="all" window-ms="3000" gain="2" soft-deadline-ms="800" deadline-ms="3000" load-ms="300"/>
    <method name="hold" effect="side-effecting" gain="2" soft-deadline-ms="800" deadline-ms="3000" load-ms="300"/>
    <kind name="std" memory-mb="4096"/>
  </service>
`

// fleet is a roster with its store, workers and front ends, all of them the project's own programs.
type fleet struct {
	day     *day
	workers int
	fronts  int
	work    string // elements of each worker
	service string
	front   string // further elements of each front end, before its service; NAME stands for its name
	worker  []*proc
	front_  []*proc
}

func (f *fleet) socket(i int) string { return f.day.path("front-%d.sock", i) }

// logs are the records of all workers.
func (f *fleet) logs() (out []string) {
	for i := range f.workers {
		out = append(out, f.day.path("worker-%d.log", i))
	}
	return out
}

func (f *fleet) start() {
	d := f.day
	roster := d.write("roster.xml", `<roster socket="DIR/roster.sock" lag-ms="200"><store socket="DIR/store.sock" mean-ms="20"/></roster>`)
	d.awaitSocket(d.start("roster", "roster", roster), d.path("roster.sock"))
	for i := range f.workers {
		file := d.write(fmt.Sprintf("worker-%d.xml", i), fmt.Sprintf(`<worker name="worker-%[1]d" socket="DIR/worker-%[1]d.sock"
    control="DIR/worker-%[1]d.control" kind="std" cold="no" log="DIR/worker-%[1]d.log" seed="%[2]d">
  <machine cores="2" memory-mb="4096"/>
  %[3]s
  <roster socket="DIR/roster.sock"/>
  <store socket="DIR/store.sock"/>
</worker>
`, i, i+1, f.work))
		p := d.start(fmt.Sprintf("worker-%d", i), "worker", file)
		f.worker = append(f.worker, p)
		d.awaitSocket(p, d.path("worker-%d.sock", i))
	}
	time.Sleep(500 * time.Millisecond) // the roster tells of them after its lag
	for i := range f.fronts {
		d.write(fmt.Sprintf("front-%d.xml", i), fmt.Sprintf(`<front-end name="front-%[1]d" number="%[1]d" of="%[2]d">
  <clients socket="DIR/front-%[1]d.sock"/>
  <roster socket="DIR/roster.sock" cache="DIR/front-%[1]d.list"/>%[3]s%[4]s</front-end>
`, i, f.fronts, strings.ReplaceAll(f.front, "NAME", fmt.Sprintf("front-%d", i)), f.service))
		f.front_ = append(f.front_, f.startFront(i))
	}
	time.Sleep(500 * time.Millisecond)
}

func (f *fleet) startFront(i int) *proc {
	p := f.day.start(fmt.Sprintf("front-%d", i), "serve", f.day.path("front-%d.xml", i))
	f.day.awaitSocket(p, f.socket(i))
	return p
}

// fault injects a fault into a stand-in worker by its control socket.
func (f *fleet) fault(worker int, name string, params map[string]any) {
	c, err := newCaller(f.day.path("worker-%d.control", worker))
	f.day.must(err, "control socket")
	defer c.nc.Close()
	if a := c.call(name, params); a.err != nil || a.code != 0 {
		f.day.fail("%s at worker-%d: %v", name, worker, a)
	}
	f.day.note("%s %v at worker-%d", name, params, worker)
}

// index returns the number at the end of a worker's name in an answer.
func (f *fleet) index(result string) int {
	for i := range f.workers {
		if strings.Contains(result, fmt.Sprintf(`"worker-%d"`, i)) {
			return i
		}
	}
	f.day.fail("no worker in the answer %s", result)
	return 0
}

// keepLogs copies the workers' records of a token into record.txt.
func (f *fleet) keepRecords(needle string) {
	for _, file := range f.logs() {
		text, _ := os.ReadFile(file)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, needle) {
				f.day.note("worker's record: %s", strings.TrimSpace(line))
			}
		}
	}
}

// holder waits until a worker has received the RPC of a token, and returns the worker's number. If guess is not below 0,
// it is returned where no record comes in time.
func (f *fleet) holder(token string, guess int) int {
	for until := time.Now().Add(150 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for i, log := range f.logs() {
			if len(effects([]string{log}, `"kind":"request"`, `"`+token+`"`)) > 0 {
				return i
			}
		}
	}
	if guess < 0 {
		f.day.fail("no worker has received the RPC of token %s", token)
	}
	return guess
}
