package rehearse

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"time"

	"mallowlanding/internal/control"
	"mallowlanding/internal/control/wire"
	"mallowlanding/internal/eventloop"
	"mallowlanding/internal/scenario"
	"mallowlanding/internal/settings"
)

// configs is what became of the configurations that a day submitted.
type configs struct {
	mu        sync.Mutex
	bad       map[uint64]bool // by version
	submitted int
	failed    int // the service could not be reached, or said that it may have taken it

	Accepted    int
	BadAccepted []uint64
	States      map[string]int
	Runs        map[string]uint64 // what front ends run at the end
}

// configure submits a configuration so many times a second, a share of them bad.
func (m *maker) configure(ctx context.Context, t settings.Trouble, rng *rand.Rand) error {
	c, err := control.Dial(m.f.controlSockets())
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, end := context.WithTimeout(ctx, eventloop.ToDuration(t.For))
	defer end()
	every := time.Duration(float64(time.Second) / max(t.Size, 0.001))
	for n := 0; sleep(ctx, every); n++ {
		bad := rng.Float64() < t.Part
		text, err := scenario.ChangedConfiguration(m.f.s, m.f.dir, n, bad, rng)
		if err != nil {
			return err
		}
		m.submit(ctx, c, text, bad) // one after the other: a service that is slow takes fewer
	}
	return nil
}

// submit hands one configuration in and notes what became of it.
func (m *maker) submit(ctx context.Context, c *control.Client, text string, bad bool) {
	v, err := c.Submit(ctx, &wire.SubmitRequest{Text: text, By: "rehearsal", Unchecked: true})
	m.configs.mu.Lock()
	defer m.configs.mu.Unlock()
	if m.configs.submitted++; err != nil {
		m.configs.failed++
		return
	}
	if m.configs.bad == nil {
		m.configs.bad = map[uint64]bool{}
	}
	m.configs.bad[v] = bad
}

// move submits the day's service in another shape.
func (m *maker) move(ctx context.Context) error {
	c, err := control.Dial(m.f.controlSockets())
	if err != nil {
		return err
	}
	defer c.Close()
	text, err := scenario.ConfigurationOfOtherShape(m.f.s)
	if err != nil {
		return err
	}
	m.submit(ctx, c, text, false)
	return nil
}

// killControl kills an instance; it is back after a time.
func (m *maker) killControl(ctx context.Context, i int, away time.Duration) error {
	p := m.f.signal(instance(i), syscall.SIGKILL)
	<-p.done
	sleep(ctx, away)
	return m.f.startInstance(ctx, i)
}

func (m *maker) silence(ctx context.Context, span time.Duration) error {
	for i := range m.f.s.Fleet.Control.Instances {
		m.f.signal(instance(i), syscall.SIGSTOP)
	}
	sleep(ctx, span)
	for i := range m.f.s.Fleet.Control.Instances {
		m.f.signal(instance(i), syscall.SIGCONT)
	}
	return nil
}

// look reads the end of the day's configurations.
func (c *configs) look(ctx context.Context, f *fleet) error {
	if c.submitted == 0 {
		return nil
	}
	w, err := control.Dial(f.controlSockets())
	if err != nil {
		return err
	}
	defer w.Close()
	ctx, end := context.WithTimeout(ctx, 10*time.Second)
	defer end()
	_, st, err := w.Leader(ctx)
	if err != nil {
		return err
	}
	c.States, c.Runs = map[string]int{}, map[string]uint64{}
	for _, v := range st.Versions {
		c.States[v.State]++
		if v.State == "accepted" || v.State == "past" {
			c.Accepted++
			if c.bad[v.Version] {
				c.BadAccepted = append(c.BadAccepted, v.Version)
			}
		}
	}
	for _, f := range st.Followers {
		c.Runs[f.Name] = f.Version
		if c.bad[f.Version] {
			c.BadAccepted = append(c.BadAccepted, f.Version)
		}
	}
	return nil
}

func (c *configs) String() string {
	if c.submitted == 0 {
		return ""
	}
	bad := 0
	for _, is := range c.bad {
		if is {
			bad++
		}
	}
	var states []string
	for _, state := range []string{"accepted", "past", "withdrawn", "superseded", "rolling", "waiting"} {
		if n := c.States[state]; n > 0 {
			states = append(states, fmt.Sprintf("%d %s", n, state))
		}
	}
	return fmt.Sprintf("configurations: %d submitted, %d not known to be taken, %d bad; %s; bad ones in force: %d; front ends run %v\n",
		c.submitted, c.failed, bad, strings.Join(states, ", "), len(c.BadAccepted), c.Runs)
}
