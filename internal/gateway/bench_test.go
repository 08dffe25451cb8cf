package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/settings"
	"mallowlanding/internal/standin"
)

// BenchmarkWarm sends one RPC after the other through a front end to a stand-in worker that does no work, all in this
// process. The bytes and allocations per RPC are those of client, front end and worker together.
func BenchmarkWarm(b *testing.B) {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		b.Fatal(err)
	}
	defer os.RemoveAll(dir)
	docs := map[string]string{
		"roster": `<roster socket="%[1]s/roster.sock" lag-ms="0"/>`,
		"worker": `<worker name="w" socket="%[1]s/w.sock" cold="no"><work method="query" mean-ms="0"/><roster socket="%[1]s/roster.sock"/></worker>`,
		"front": `<front-end name="f"><clients socket="%[1]s/f.sock"/><roster socket="%[1]s/roster.sock"/>
<service><method name="query" effect="idempotent" load-ms="1"/></service></front-end>`,
	}
	for name, text := range docs {
		if err := os.WriteFile(filepath.Join(dir, name), fmt.Appendf(nil, text, dir), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	rs, err := settings.ReadRoster(filepath.Join(dir, "roster"))
	if err != nil {
		b.Fatal(err)
	}
	ws, err := settings.ReadWorker(filepath.Join(dir, "worker"))
	if err != nil {
		b.Fatal(err)
	}
	fs, err := settings.ReadFrontEnd(filepath.Join(dir, "front"))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	run := func(serve func(ready func()) error) {
		ready := make(chan struct{})
		go func() { ended <- serve(func() { close(ready) }) }()
		<-ready
	}
	run(func(ready func()) error { return standin.Roster(ctx, rs, zerolog.Nop(), ready) })
	run(func(ready func()) error { return standin.Worker(ctx, ws, 0, zerolog.Nop(), ready) })
	run(func(ready func()) error { return Serve(ctx, fs, zerolog.Nop(), ready) })
	time.Sleep(200 * time.Millisecond)
	nc, err := net.Dial("unix", filepath.Join(dir, "f.sock"))
	if err != nil {
		b.Fatal(err)
	}
	in := bufio.NewReader(nc)
	line := []byte(`{"jsonrpc":"2.0","id":1,"method":"query","params":{"function":"f","payload":"0123456789"}}` + "\n")
	for i := range b.N + 10 {
		if i == 10 {
			b.ReportAllocs()
			b.ResetTimer()
		}
		if _, err := nc.Write(line); err != nil {
			b.Fatal(err)
		}
		if _, err := in.ReadSlice('\n'); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	nc.Close()
	cancel()
	for range 3 {
		if err := <-ended; err != nil {
			b.Error(err)
		}
	}
}
