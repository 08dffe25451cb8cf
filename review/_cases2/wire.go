package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func dialUnix(socket string) (net.Conn, error) { return net.DialTimeout("unix", socket, time.Second) }

// message is a JSON-RPC message, one on a line.
type message struct {
	JSONRPC string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *rpcError       `json:"error,omitempty"`
}

type rpcError struct {
	Code    int             `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// answer is the answer to an RPC; err says that the connection ended first.
type answer struct {
	result string
	code   int // 0: ok
	text   string
	back   time.Duration
	at     time.Time
	err    error
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code == 0:
		return "ok " + a.result
	}
	return fmt.Sprintf("error %d %q, come back after %v", a.code, a.text, a.back)
}

// caller is a client's connection to a front end.
type caller struct {
	nc      net.Conn
	mu      sync.Mutex
	lastID  int
	pending map[string]chan answer
}

func newCaller(socket string) (*caller, error) {
	nc, err := dialUnix(socket)
	if err != nil {
		return nil, err
	}
	c := &caller{nc: nc, pending: map[string]chan answer{}}
	go c.read()
	return c, nil
}

func (c *caller) read() {
	r := bufio.NewReaderSize(c.nc, 1<<20)
	var err error
	for {
		var line []byte
		if line, err = r.ReadBytes('\n'); err != nil {
			break
		}
		var m message
		if json.Unmarshal(line, &m) != nil {
			continue
		}
		a := answer{result: string(m.Result), at: time.Now()}
		if m.Error != nil {
			var data struct {
				Back float64 `json:"come_back_ms"`
			}
			_ = json.Unmarshal(m.Error.Data, &data)
			a.code, a.text, a.back = m.Error.Code, m.Error.Message, time.Duration(data.Back*float64(time.Millisecond))
		}
		c.mu.Lock()
		ch := c.pending[string(m.ID)]
		delete(c.pending, string(m.ID))
		c.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, ch := range c.pending {
		delete(c.pending, id)
		ch <- answer{err: err, at: time.Now()}
	}
}

// send sends an RPC; its answer comes on the channel.
func (c *caller) send(method string, params map[string]any) chan answer {
	c.mu.Lock()
	c.lastID++
	id := fmt.Sprint(c.lastID)
	ch := make(chan answer, 1)
	c.pending[id] = ch
	c.mu.Unlock()
	p, _ := json.Marshal(params)
	b, _ := json.Marshal(message{JSONRPC: "2.0", ID: json.RawMessage(id), Method: method, Params: p})
	if _, err := c.nc.Write(append(b, '\n')); err != nil {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		ch <- answer{err: err, at: time.Now()}
	}
	return ch
}

func (c *caller) call(method string, params map[string]any) answer { return <-c.send(method, params) }

// effects returns the records of a kind for a token or a payload in a stand-in worker's log.
func effects(logs []string, kind, needle string) (out []string) {
	for _, file := range logs {
		text, _ := os.ReadFile(file)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, kind) && strings.Contains(line, needle) {
				out = append(out, strings.TrimSpace(line))
			}
		}
	}
	return out
}
