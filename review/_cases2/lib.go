package main

import (
	"context"
	"errors"
	"syscall"
	"time"

	"mallowlanding/client"
)

func init() { cases["client"] = playClient }

// playClient: a front end dies after a booking was sent, and comes back 5 s later. The client library repeats the
// booking.
func playClient(d *day) {
	f := &fleet{day: d, workers: 4, fronts: 3, service: service, work: `<work method="query" mean-ms="40" spread="0"/>
  <work method="book" mean-ms="400" spread="0" effect="tokened" window-ms="3000"/>
  <work method="hold" mean-ms="40" spread="0" effect="side-effecting"/>`}
	f.start()
	c := client.New(client.Options{Sockets: []string{f.socket(0)}, Repeats: 12, Methods: map[string]client.Effect{
		"query": {Idempotent: true}, "book": {Window: 3 * time.Second}}})
	defer c.Close()
	call := func(token string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		d.note("client library: Call book, token %s", token)
		value, err := c.Call(ctx, client.RPC{Method: "book", Function: "line-7", Token: token, Payload: []byte(`{"seat":"` + token + `"}`)})
		d.note("client library returns %s, error %v", value, err)
		return err
	}
	if err := call("warm-0"); err != nil {
		d.fail("a call without trouble: %v", err)
	}
	if err := call("warm-1"); err != nil {
		d.fail("a call without trouble: %v", err)
	}
	const token = "seat-12"
	ended := make(chan error, 1)
	go func() { ended <- call(token) }()
	if d.trouble {
		time.Sleep(100 * time.Millisecond)
		f.holder(token, -1)
		d.signal(f.front_[0], syscall.SIGKILL)
		<-f.front_[0].done
		time.Sleep(5 * time.Second)
		f.startFront(0)
	}
	select {
	case err := <-ended:
		var denied *client.Denied
		if !d.trouble && err != nil {
			d.fail("a call without trouble: %v", err)
		}
		if errors.As(err, &denied) {
			d.note("the last answer was a denial")
		}
	case <-time.After(60 * time.Second):
		d.fail("Call does not return")
	}
	time.Sleep(time.Second)
	f.keepRecords(`"` + token + `"`)
	applied := effects(f.logs(), `"kind":"effect"`, `"`+token+`"`)
	if len(applied) == 0 {
		d.fail("the booking never took effect")
	}
	if len(applied) > 1 {
		d.broke("one Call of the client library took effect %d times", len(applied))
	}
}
