// Case 3: the adapter ends when discovery has nothing new to tell.
//
// A small simulator speaks the wire (pebble-9550) with the deploy file's sim command, on the real clock: one instance,
// two workers that serve every request, and discovery that is asked (registryMode subscribe).
package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"mallowlanding/review/testdata/lab"
)

const (
	instance = 3
	dayS     = 8
	tick     = 2 * time.Millisecond
	function = 0x7c55d20a01
)

func main() { lab.Main(play) }

// event is something that reaches the instance at its time.
type event struct {
	at   time.Duration
	data []byte
}

type simulator struct {
	in     io.Writer
	out    io.Reader
	record *lab.Record
	start  time.Time
	later  []event
	listed int // workers that the instance's list has
	asked  int // calls of LISTEN
	sent   map[uint32]int
	over   map[uint32]bool
}

// workers are those that run. The first two run since long ago, the third one is listed later.
var workers = []uint32{0x03124a07, 0x2c9011f2, 0x5b7e00c4}

func play() bool {
	root, _, folder, temporary := lab.Paths()
	record := lab.NewRecord(filepath.Join(folder, "record.txt"))
	cmd := exec.Command("/bin/sh", "-c", simCommand(root))
	cmd.Dir = root
	errors, err := os.Create(filepath.Join(temporary, "stderr"))
	if err != nil {
		lab.CannotRun("%v", err)
	}
	cmd.Stderr = errors
	in, err1 := cmd.StdinPipe()
	out, err2 := cmd.StdoutPipe()
	if err1 != nil || err2 != nil || cmd.Start() != nil {
		lab.CannotRun("the adapter does not start")
	}
	lab.EndAtExit(cmd.Process)
	record.Add("simulator: started %q, process %d", simCommand(root), cmd.Process.Pid)
	s := &simulator{in: in, out: out, record: record, sent: map[uint32]int{}, over: map[uint32]bool{}}
	answered := make(chan error, 1)
	go func() { answered <- s.day() }()
	select {
	case err = <-answered:
	case <-time.After((dayS + 25) * time.Second): // a missing reply is a fault after 20 s
		err = fmt.Errorf("no reply")
	}
	if err == nil {
		in.Close() // the end of the input means exit
		err = cmd.Wait()
		record.Add("simulator: the day is over after %d calls of LISTEN, the adapter ended with %v", s.asked, err)
		if err != nil {
			return true
		}
		fmt.Println("the adapter played the whole day")
		return false
	}
	in.Close()
	end := cmd.Wait()
	text, _ := os.ReadFile(filepath.Join(temporary, "stderr"))
	record.Add("simulator: %v; the adapter has ended by itself: %v, standard error: %s", err, end, strings.TrimSpace(string(text)))
	fmt.Printf("the adapter has ended by itself: %v: %s\n", end, strings.TrimSpace(string(text)))
	return true
}

func simCommand(root string) string {
	text, _ := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "sim = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	lab.CannotRun("the deploy file has no sim command")
	return ""
}

func settings() []byte {
	s := lab.Settings()
	s["registryMode"] = "subscribe"
	text, err := json.Marshal(s)
	if err != nil {
		lab.CannotRun("%v", err)
	}
	return text
}

var le = binary.LittleEndian

// inventory is a list of workers under a number, and targets what discovery tells the instance.
func inventory(number byte, listed ...uint32) []byte {
	b := le.AppendUint32([]byte{80, number}, uint32(len(listed)))
	for _, w := range listed {
		b = le.AppendUint64(b, 0) // started long ago
		b = le.AppendUint16(b, 0)
		b = le.AppendUint32(b, w)
		b = le.AppendUint16(b, 0)
		b = append(b, 1, 0) // ready, kind 0
		b = le.AppendUint32(b, math.Float32bits(1))
	}
	return b
}

func targets(form byte, version uint64, number byte) []byte {
	return append(le.AppendUint64([]byte{120, form}, version), number)
}

func context() []byte { return le.AppendUint16([]byte{20}, instance) }

// exchange sends one batch and handles its reply.
func (s *simulator) exchange(now time.Duration, records ...[]byte) error {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	frame := le.AppendUint32(nil, uint32(len(body)))
	frame = le.AppendUint32(frame, uint32(len(records)))
	frame = le.AppendUint64(frame, uint64(10*time.Second+now))
	if _, err := s.in.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("the batch at %v can't be written: %w", now, err)
	}
	var head [8]byte
	if _, err := io.ReadFull(s.out, head[:]); err != nil {
		return fmt.Errorf("the batch at %v has no reply: %w", now, err)
	}
	reply := make([]byte, le.Uint32(head[:]))
	if _, err := io.ReadFull(s.out, reply); err != nil {
		return fmt.Errorf("the reply to the batch at %v breaks off: %w", now, err)
	}
	return s.act(now, reply, int(le.Uint32(head[4:])))
}

// act carries out the actions of a reply.
func (s *simulator) act(now time.Duration, b []byte, records int) error {
	next := func(n int) []byte { out := b[:n]; b = b[n:]; return out }
	then := func(after time.Duration, data []byte) { s.later = append(s.later, event{now + after, data}) }
	for range records {
		switch code := next(1)[0]; code {
		case 150: // AT
			next(2)
		case 10: // SEND: served after 60 ms by a copy that stands loaded
			f := next(16)
			id := le.Uint32(f)
			n := s.sent[id]
			s.sent[id]++
			r := le.AppendUint32([]byte{30}, id)
			r = append(r, 1, byte(n))
			r = append(r, f[4:8]...)
			r = le.AppendUint32(append(r, 10), 1)
			r = le.AppendUint64(r, uint64(60*time.Millisecond))
			then(60*time.Millisecond, append(r, 0))
			s.over[id] = true
			s.record.Add("instance: SEND of request %d to worker %x; served", id, le.Uint32(f[4:]))
		case 20: // REFUSE
			f := next(12)
			s.record.Add("instance: REFUSE of request %d", le.Uint32(f))
		case 30:
			s.record.Add("instance: END_FAILED of request %d", le.Uint32(next(4)))
		case 40:
			next(5)
		case 50: // REMIND
			f := next(16)
			then(max(time.Duration(le.Uint64(f)), tick), append([]byte{10}, f[8:]...))
		case 60: // CHECK: passed
			f := next(4)
			r := le.AppendUint64([]byte{60, 10}, uint64(time.Millisecond))
			then(time.Millisecond, append(append(r, f...), 0))
		case 90: // SAY_LOG
			s.record.Add("instance: log: %s", next(int(le.Uint16(next(2)))))
		case 110: // LISTEN: answered by what has changed since the instance's list
			next(1)
			s.asked++
			var changed []uint32
			if !lab.Trouble() && s.listed < len(workers) {
				changed = workers[s.listed:] // without the disruption something has changed
				s.listed = len(workers)
			}
			s.record.Add("instance: LISTEN; discovery answers with %d changed entries", len(changed))
			then(20*time.Millisecond, append(inventory(1, changed...), targets(0, uint64(41+s.asked), 1)...))
		case 130: // HOLD_THERE: the copies stand
			f := next(13)
			r := append([]byte{40, 10}, f[:8]...)
			r = append(append(r, f[9:]...), max(f[8], 1))
			then(20*time.Millisecond, le.AppendUint64(r, uint64(20*time.Millisecond)))
		case 140:
			next(12)
		default:
			return fmt.Errorf("the reply has an action %d", code)
		}
	}
	return nil
}

// day plays dayS seconds with one request each 100 ms.
func (s *simulator) day() error {
	s.start, s.listed = time.Now(), 2
	if err := s.exchange(0); err != nil {
		return err
	}
	info := settings()
	up := le.AppendUint64([]byte{110}, 5)
	up = append(le.AppendUint32(up, uint32(len(info))), info...)
	s.record.Add("simulator: UP of instance %d, with its saved list of %d workers", instance, s.listed)
	if err := s.exchange(time.Since(s.start), context(), up, inventory(0, workers[:2]...), targets(2, 41, 0)); err != nil {
		return err
	}
	requests := uint32(0)
	for now := time.Since(s.start); now < dayS*time.Second; now = time.Since(s.start) {
		var due [][]byte
		kept := s.later[:0]
		for _, e := range s.later {
			if e.at > now {
				kept = append(kept, e)
			} else if e.data[0] == 80 { // a list: two records, the first of which stands outside of a context
				n := len(e.data) - 11
				due = append(due, e.data[:n], e.data[n:])
			} else {
				due = append(due, e.data)
			}
		}
		s.later = kept
		if want := uint32(now / (100 * time.Millisecond)); want > requests {
			requests = want
			r := le.AppendUint32([]byte{130}, requests)
			r = le.AppendUint16(r, 0)
			r = le.AppendUint32(r, 0)
			r = le.AppendUint64(r, function)
			r = le.AppendUint64(r, uint64(3*time.Second))
			r = le.AppendUint64(r, 0)
			for _, v := range []float32{400, 4, 600} {
				r = le.AppendUint32(r, math.Float32bits(v))
			}
			due = append(due, append(r, 0))
			s.record.Add("simulator: ORDER of request %d", requests)
		}
		if len(due) > 0 {
			if err := s.exchange(now, append([][]byte{context()}, due...)...); err != nil {
				return err
			}
		}
		time.Sleep(tick)
	}
	return nil
}
