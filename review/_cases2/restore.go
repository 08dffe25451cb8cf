package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["restore"] = playRestore }

// stop stops all instances with SIGTERM.
func (c *controls) stop() {
	for _, p := range c.procs {
		c.day.signal(p, syscall.SIGTERM)
	}
	for _, p := range c.procs {
		select {
		case <-p.done:
		case <-time.After(10 * time.Second):
			c.day.fail("%s does not leave", p.name)
		}
	}
}

// copyStores copies the folders of all instances.
func (c *controls) copyStores(from, to string) {
	for i := range 3 {
		source, target := c.day.path("control-%d.%s", i, from), c.day.path("control-%d.%s", i, to)
		c.day.must(os.RemoveAll(target), "copy")
		c.day.must(os.CopyFS(target, os.DirFS(source)), "copy")
	}
	c.day.note("copied the stores: %s to %s", from, to)
}

// withMethod is the service with one more method.
func withMethod(name string) string {
	return "<configuration>" + strings.Replace(service, "    <kind ",
		fmt.Sprintf(`    <method name=%q effect="idempotent" gain="1" soft-deadline-ms="1000" deadline-ms="3000" load-ms="300"/>`+"\n    <kind ", name), 1) + "</configuration>\n"
}

// playRestore: the store of the control service is restored from a backup. As the page says, the configuration that
// should stand is submitted.
func playRestore(d *day) {
	f := &fleet{day: d, workers: 2, fronts: 3, service: service, work: `<work method="query" mean-ms="20" spread="0"/>`}
	c := &controls{day: d, rollout: `<rollout stages="0.34 1" hold-ms="200" patience-ms="3000"/>`}
	c.start()
	f.front = fmt.Sprintf("\n  <control sockets=%q keep=\"DIR/NAME.kept\"/>", strings.Join(c.names(), " "))
	f.start()
	submit := func(method string) (string, error) {
		return c.config("submit", d.write(method+".xml", withMethod(method)), "--follow")
	}
	serves := func(i int, method string) bool {
		client, err := newCaller(f.socket(i))
		d.must(err, "connect")
		defer client.nc.Close()
		a := client.call(method, map[string]any{"function": "line-7"})
		d.note("front-%d, method %s: %v", i, method, a)
		return a.code != -32601
	}
	for _, method := range []string{"monday", "tuesday"} {
		if out, err := submit(method); err != nil {
			d.fail("submit without trouble: %s", out)
		}
	}
	c.stop()
	c.copyStores("store", "backup")
	c.startAll()
	for _, method := range []string{"wednesday", "thursday", "friday"} {
		if out, err := submit(method); err != nil {
			d.fail("submit without trouble: %s", out)
		}
	}
	c.stop()
	if d.trouble {
		c.copyStores("backup", "store")
	}
	time.Sleep(3 * time.Second)
	c.startAll()
	out, err := submit("saturday")
	accepted := err == nil
	time.Sleep(6 * time.Second)
	_, _ = c.config("status")
	for i := range 3 {
		front, _ := d.run("status", f.socket(i))
		d.note("status of front-%d: %s", i, strings.ReplaceAll(strings.ReplaceAll(front, "\n", " | "), d.dir, "DIR"))
		if !serves(i, "saturday") {
			if accepted {
				d.broke("front-%d does not run what was submitted and accepted (%s)", i, out)
			} else {
				d.note("front-%d does not run what was submitted, which was not accepted", i)
			}
		}
	}
}
