// Command example sends one RPC to a front end of a running demo: go run ./client/example /tmp/demo/front-0.sock
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"mallowlanding/client"
)

func main() {
	c := client.New(client.Options{Sockets: os.Args[1:], Repeats: 3,
		Methods: map[string]client.Effect{"query": {Idempotent: true}}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	value, err := c.Call(ctx, client.RPC{Method: "query", Function: "seats", Payload: []byte(`{"train": 7}`)})
	var denied *client.Denied
	switch {
	case errors.As(err, &denied):
		fmt.Println("try again in", denied.ComeBack)
	case err != nil:
		fmt.Println(err)
	default:
		fmt.Printf("%s\n", value)
	}
}
