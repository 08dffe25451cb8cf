package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stream"] = playStream }

// controls is a control service of three instances.
type controls struct {
	day     *day
	procs   []*proc
	rollout string
}

func (c *controls) names() (out []string) {
	for i := range 3 {
		out = append(out, c.day.path("control-%d.sock", i))
	}
	return out
}

func (c *controls) start() {
	d := c.day
	for i := range 3 {
		others := ""
		for j := range 3 {
			if j != i {
				others += fmt.Sprintf(`<instance name="control-%[1]d" peer-socket="DIR/control-%[1]d.peer"/>`, j)
			}
		}
		d.write(fmt.Sprintf("control-%d.xml", i), fmt.Sprintf(`<control name="control-%[1]d" socket="DIR/control-%[1]d.sock" peer-socket="DIR/control-%[1]d.peer" dir="DIR/control-%[1]d.store">
  %[2]s
  %[3]s
</control>
`, i, c.rollout, others))
	}
	c.startAll()
}

// startAll starts all instances.
func (c *controls) startAll() {
	c.procs = nil
	for i := range 3 {
		c.procs = append(c.procs, c.day.start(fmt.Sprintf("control-%d", i), "control", c.day.path("control-%d.xml", i)))
	}
	for i, p := range c.procs {
		c.day.awaitSocket(p, c.day.path("control-%d.sock", i))
	}
}

// leader returns the number of the instance that leads.
func (c *controls) leader() int {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		out, err := c.config("status")
		for i := range 3 {
			if err == nil && strings.HasPrefix(out, fmt.Sprintf("instance control-%d leads", i)) {
				return i
			}
		}
	}
	c.day.fail("no instance leads")
	return 0
}

// config runs a config command.
func (c *controls) config(args ...string) (string, error) {
	args = append([]string{"config", args[0], "--control", strings.Join(c.names(), ",")}, args[1:]...)
	out, err := c.day.run(args...)
	c.day.note("config %s: %s (%v)", args[1], strings.ReplaceAll(strings.ReplaceAll(out, "\n", " | "), c.day.dir, "DIR"), err)
	return out, err
}

// proxy passes connections on to a socket. Once it is armed, it breaks the connection on which a number of bytes comes
// from the service next, when no more have come for a millisecond.
type proxy struct {
	day    *day
	target string
	armed  *atomic.Int64 // the number of bytes; 0: it breaks nothing
}

func (p *proxy) serve(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			service, err := net.Dial("unix", p.target)
			if err != nil {
				client.Close()
				return
			}
			var once sync.Once
			end := func() { once.Do(func() { client.Close(); service.Close() }) }
			go func() { _, _ = io.Copy(service, client); end() }()
			defer end()
			buffer, passed := make([]byte, 64<<10), int64(0)
			for {
				n, err := service.Read(buffer)
				if errors.Is(err, os.ErrDeadlineExceeded) && p.armed.Swap(0) > 0 {
					p.day.note("the connection to the control service breaks after it brought %d bytes", passed)
					return
				}
				if err != nil {
					return
				}
				if _, err := client.Write(buffer[:n]); err != nil {
					return
				}
				armed := p.armed.Load()
				if armed == 0 {
					passed = 0
				} else if passed += int64(n); passed >= armed {
					_ = service.SetReadDeadline(time.Now().Add(time.Millisecond))
				}
			}
		}()
	}
}

// configuration is a configuration with functions of their own for a number of lines.
func configuration(lines, loadMS int) string {
	var functions strings.Builder
	for i := range lines {
		fmt.Fprintf(&functions, "      <function name=\"line-%d\" memory-mb=\"%d\" lanes=\"2\" load-ms=\"%d\"/>\n", i, 100+i%400, loadMS)
	}
	return "<configuration>" + strings.Replace(service, "  </service>", "    <functions keep-alive-ms=\"9000\">\n"+functions.String()+"    </functions>\n  </service>", 1) + "</configuration>\n"
}

func playStream(d *day) {
	f := &fleet{day: d, workers: 2, fronts: 1, service: service, work: `<work method="query" mean-ms="20" spread="0"/>
  <work method="book" mean-ms="20" spread="0" effect="tokened" window-ms="3000"/>
  <work method="hold" mean-ms="800" spread="0" effect="side-effecting"/>`}
	c := &controls{day: d, rollout: `<rollout stages="1" hold-ms="100"/>`}
	c.start()
	var armed atomic.Int64
	var sockets []string
	leader := c.leader()
	for i, target := range c.names() {
		socket := d.path("proxy-%d.sock", i)
		l, err := net.Listen("unix", socket)
		d.must(err, "proxy")
		sockets = append(sockets, socket)
		go (&proxy{day: d, target: target, armed: &armed}).serve(l)
	}
	// The instance that leads is the last of the three that the front end is told of: where it looks for the leader after a
	// break, it comes to it without a pause.
	sockets = append(sockets[leader+1:], sockets[:leader+1]...)
	f.front = fmt.Sprintf("\n  <control sockets=%q keep=\"DIR/NAME.kept\"/>", strings.Join(sockets, " "))
	f.start()
	lines := 3000
	if v := os.Getenv("LINES"); v != "" {
		fmt.Sscan(v, &lines)
	}
	for round := range 8 {
		text := configuration(lines, 300+round)
		file := d.write("configuration.xml", text)
		if d.trouble {
			armed.Store(int64(len(text)) / 2)
		}
		client, err := newCaller(f.socket(0))
		d.must(err, "connect")
		d.note("client sends hold")
		open := client.send("hold", map[string]any{"function": "line-7"})
		time.Sleep(100 * time.Millisecond)
		if _, err := c.config("submit", file); err != nil {
			d.fail("submit: %v", err)
		}
		time.Sleep(2 * time.Second)
		if f.front_[0].ended() {
			d.note("output of front-0: %s", tail(f.front_[0].log))
			d.broke("front-0 crashed")
			d.broke("the RPC that it had taken: %v", <-open)
			return
		}
		d.note("answer: %v", <-open)
		client.nc.Close()
	}
}
