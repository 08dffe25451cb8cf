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

// leaderRetryInterval is the pause between two rounds of looking for the leader among all instances.
const leaderRetryInterval = 10 * time.Millisecond

// redialBackoff is the backoff for connecting to an instance that was not reachable. It starts low because a restart
// of an instance takes some 10 ms.
var redialBackoff = backoff.Config{BaseDelay: 10 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 300 * time.Millisecond}

// Client sends requests to the instance that leads.
type Client struct {
	sockets []string
	conns   []*grpc.ClientConn
}

// Dial returns a client for an operator's commands. It does not connect yet.
func Dial(sockets []string) (*Client, error) {
	if len(sockets) == 0 {
		return nil, errors.New("no control service socket given")
	}
	c := &Client{sockets: sockets}
	for _, socket := range sockets {
		cc, err := grpc.NewClient("unix:"+socket, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: redialBackoff, MinConnectTimeout: time.Second}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.conns = append(c.conns, cc)
	}
	return c, nil
}

// Close closes the connections.
func (c *Client) Close() {
	for _, cc := range c.conns {
		cc.Close()
	}
}

// Leader looks for the instance that leads until it finds it or the context ends.
func (c *Client) Leader(ctx context.Context) (wire.ConfigurationClient, *wire.StatusResponse, error) {
	var lastErr error
	for {
		for i, cc := range c.conns {
			client := wire.NewConfigurationClient(cc)
			statusCtx, cancel := context.WithTimeout(ctx, time.Second)
			st, err := client.Status(statusCtx, &wire.StatusRequest{})
			cancel()
			if err == nil {
				return client, st, nil
			}
			lastErr = fmt.Errorf("%s: %s", c.sockets[i], status.Convert(err).Message())
		}
		select {
		case <-ctx.Done():
			return nil, nil, fmt.Errorf("no instance of the control service is the leader: %w", lastErr)
		case <-time.After(leaderRetryInterval):
		}
	}
}

// Submit sends a configuration to be numbered. After an error other than a rejection, the configuration may have been
// numbered all the same.
func (c *Client) Submit(ctx context.Context, r *wire.SubmitRequest) (uint64, error) {
	for {
		leader, _, err := c.Leader(ctx)
		if err != nil {
			return 0, err
		}
		resp, err := leader.Submit(ctx, r)
		if err == nil {
			return resp.Version, nil
		}
		// FailedPrecondition proves that the instance did not lead and has not numbered the configuration: only then
		// can it be submitted again without being numbered twice.
		if status.Code(err) != codes.FailedPrecondition {
			return 0, errors.New(status.Convert(err).Message())
		}
	}
}

// Rollback rolls version to out again under a new number; 0 stands for the one accepted before the current one.
func (c *Client) Rollback(ctx context.Context, to uint64, by, note string) (uint64, error) {
	for {
		leader, _, err := c.Leader(ctx)
		if err != nil {
			return 0, err
		}
		resp, err := leader.Rollback(ctx, &wire.RollbackRequest{Version: to, By: by, Note: note})
		if err == nil {
			return resp.Version, nil
		}
		if status.Code(err) != codes.FailedPrecondition {
			return 0, errors.New(status.Convert(err).Message())
		}
	}
}

// Get returns version v; 0 stands for the accepted one.
func (c *Client) Get(ctx context.Context, v uint64) (*wire.GetResponse, error) {
	leader, _, err := c.Leader(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := leader.Get(ctx, &wire.GetRequest{Version: v})
	if err != nil {
		return nil, errors.New(status.Convert(err).Message())
	}
	return resp, nil
}
