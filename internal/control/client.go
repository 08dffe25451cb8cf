package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"mallowlanding/internal/control/wire"
)

// lookAgain is the pause before all instances are asked again who leads.
const lookAgain = 10 * time.Millisecond

// redial is how soon an instance is looked for again that was not there: one that begins anew takes some ten ms.
var redial = backoff.Config{BaseDelay: 10 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 300 * time.Millisecond}

// Client reaches the instance that leads.
type Client struct {
	sockets []string
	conns   []*grpc.ClientConn
}

// Dial makes a client for an operator's commands; nothing is connected yet.
func Dial(sockets []string) (*Client, error) {
	if len(sockets) == 0 {
		return nil, errors.New("no socket of a control service is named")
	}
	c := &Client{sockets: sockets}
	for _, socket := range sockets {
		cc, err := grpc.NewClient("unix:"+socket, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: time.Second}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(textBound), grpc.MaxCallSendMsgSize(textBound)))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.conns = append(c.conns, cc)
	}
	return c, nil
}

// Close ends the connections.
func (c *Client) Close() {
	for _, cc := range c.conns {
		cc.Close()
	}
}

// Leader finds the instance that leads, until the context ends.
func (c *Client) Leader(ctx context.Context) (wire.ConfigurationClient, *wire.StatusResponse, error) {
	var last error
	for {
		for i, cc := range c.conns {
			w := wire.NewConfigurationClient(cc)
			one, end := context.WithTimeout(ctx, time.Second)
			st, err := w.Status(one, &wire.StatusRequest{})
			end()
			if err == nil {
				return w, st, nil
			}
			last = fmt.Errorf("%s: %s", c.sockets[i], status.Convert(err).Message())
		}
		select {
		case <-ctx.Done():
			return nil, nil, fmt.Errorf("no instance of the control service leads: %w", last)
		case <-time.After(lookAgain):
		}
	}
}

// Submit numbers a configuration. An error that is not one of the configuration's may hide that it was numbered.
func (c *Client) Submit(ctx context.Context, r *wire.SubmitRequest) (uint64, error) {
	for {
		w, _, err := c.Leader(ctx)
		if err != nil {
			return 0, err
		}
		a, err := w.Submit(ctx, r)
		if err == nil {
			return a.Version, nil
		}
		if status.Code(err) != codes.FailedPrecondition { // that one proves that it was not taken
			return 0, errors.New(status.Convert(err).Message())
		}
	}
}

// Rollback goes back to a version; 0: to the one accepted before the last.
func (c *Client) Rollback(ctx context.Context, to uint64, by, note string) (uint64, error) {
	for {
		w, _, err := c.Leader(ctx)
		if err != nil {
			return 0, err
		}
		a, err := w.Rollback(ctx, &wire.RollbackRequest{Version: to, By: by, Note: note})
		if err == nil {
			return a.Version, nil
		}
		if status.Code(err) != codes.FailedPrecondition {
			return 0, errors.New(status.Convert(err).Message())
		}
	}
}

// Get shows a version; 0: the one that is accepted.
func (c *Client) Get(ctx context.Context, v uint64) (*wire.GetResponse, error) {
	w, _, err := c.Leader(ctx)
	if err != nil {
		return nil, err
	}
	a, err := w.Get(ctx, &wire.GetRequest{Version: v})
	if err != nil {
		return nil, errors.New(status.Convert(err).Message())
	}
	return a, nil
}
