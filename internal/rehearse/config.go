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

// configResults counts the configurations that a scenario submits, and what becomes of them.
type configResults struct {
	mu           sync.Mutex
	bad          map[uint64]bool // by version: whether it is invalid on purpose
	submitted    int
	notConfirmed int // the service could not be reached, or could not say whether it accepted the submission

	accepted   int
	badInForce []uint64
	states     map[string]int
	running    map[string]uint64 // the version that each front end runs at the end
}

// submitConfigs submits t.Size configurations per second; the share t.Part of them is invalid.
func (inj *faultInjector) submitConfigs(ctx context.Context, trouble settings.Trouble, rng *rand.Rand) error {
	client, err := control.Dial(inj.fleet.controlSockets())
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, eventloop.ToDuration(trouble.For))
	defer cancel()
	interval := time.Duration(float64(time.Second) / max(trouble.Size, 0.001))
	for n := 0; sleep(ctx, interval); n++ {
		bad := rng.Float64() < trouble.Part
		text, err := scenario.ChangedConfiguration(inj.fleet.scenario, inj.fleet.dir, n, bad, rng)
		if err != nil {
			return err
		}
		inj.submit(ctx, client, text, bad) // one after the other, so a slow service receives fewer
	}
	return nil
}

// submit submits one configuration and counts the result.
func (inj *faultInjector) submit(ctx context.Context, client *control.Client, text string, bad bool) {
	version, err := client.Submit(ctx, &wire.SubmitRequest{Text: text, By: "rehearsal", Unchecked: true})
	inj.configs.mu.Lock()
	defer inj.configs.mu.Unlock()
	if inj.configs.submitted++; err != nil {
		inj.configs.notConfirmed++
		return
	}
	if inj.configs.bad == nil {
		inj.configs.bad = map[uint64]bool{}
	}
	inj.configs.bad[version] = bad
}

// submitMove submits a configuration that changes the shape of the scenario's service; see
// scenario.ConfigurationOfOtherShape.
func (inj *faultInjector) submitMove(ctx context.Context) error {
	client, err := control.Dial(inj.fleet.controlSockets())
	if err != nil {
		return err
	}
	defer client.Close()
	text, err := scenario.ConfigurationOfOtherShape(inj.fleet.scenario)
	if err != nil {
		return err
	}
	inj.submit(ctx, client, text, false)
	return nil
}

// killControlInstance kills an instance of the control service and restarts it after the downtime.
func (inj *faultInjector) killControlInstance(ctx context.Context, i int, downtime time.Duration) error {
	p := inj.fleet.signalProcess(controlName(i), syscall.SIGKILL)
	<-p.done
	sleep(ctx, downtime)
	return inj.fleet.startControlInstance(ctx, i)
}

// pauseControl pauses all instances of the control service for a time.
func (inj *faultInjector) pauseControl(ctx context.Context, span time.Duration) error {
	for i := range inj.fleet.scenario.Fleet.Control.Instances {
		inj.fleet.signalProcess(controlName(i), syscall.SIGSTOP)
	}
	sleep(ctx, span)
	for i := range inj.fleet.scenario.Fleet.Control.Instances {
		inj.fleet.signalProcess(controlName(i), syscall.SIGCONT)
	}
	return nil
}

// collect reads the final states of the configurations from the control service.
func (c *configResults) collect(ctx context.Context, f *fleet) error {
	if c.submitted == 0 {
		return nil
	}
	client, err := control.Dial(f.controlSockets())
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	_, status, err := client.Leader(ctx)
	if err != nil {
		return err
	}
	c.states, c.running = map[string]int{}, map[string]uint64{}
	for _, v := range status.Versions {
		c.states[v.State]++
		if v.State == "accepted" || v.State == "past" {
			c.accepted++
			if c.bad[v.Version] {
				c.badInForce = append(c.badInForce, v.Version)
			}
		}
	}
	for _, follower := range status.Followers {
		c.running[follower.Name] = follower.Version
		if c.bad[follower.Version] {
			c.badInForce = append(c.badInForce, follower.Version)
		}
	}
	return nil
}

// String returns a line for the printed results; it is empty if nothing was submitted.
func (c *configResults) String() string {
	if c.submitted == 0 {
		return ""
	}
	bad := 0
	for _, isBad := range c.bad {
		if isBad {
			bad++
		}
	}
	var states []string
	for _, state := range []string{"accepted", "past", "withdrawn", "superseded", "rolling", "waiting"} {
		if n := c.states[state]; n > 0 {
			states = append(states, fmt.Sprintf("%d %s", n, state))
		}
	}
	return fmt.Sprintf("configurations: %d submitted, %d not known to be taken, %d bad; %s; bad ones in force: %d; front ends run %v\n",
		c.submitted, c.notConfirmed, bad, strings.Join(states, ", "), len(c.badInForce), c.running)
}
