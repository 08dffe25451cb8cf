package intake

import (
	"slices"
	"testing"

	"mallowlanding/router"
)

// testLimits let a source spend 1 and all sources 4 per unit of time.
var testLimits = Limits{SourceMessages: 8, SourceCost: 16, SourceRate: 1, SourceBurst: 8, NewSourceBurst: 4, TotalRate: 4, TotalBurst: 16,
	TotalMessages: 64, Quantum: 1}

// fill adds a message as long as the source has room, and returns how many it took.
func fill(c *Source[int], number int) (added int) {
	for ; !c.Full(); added++ {
		c.Add(number, 1)
	}
	return added
}

// TestFloodingSourceWaitsBehindItself checks that a source with one message is served within a round of sources that
// are always full, and that these get no more than their rates.
func TestFloodingSourceWaitsBehindItself(t *testing.T) {
	const flooding, turns, usualEvery = 40, 1000, 25
	s := New[int](testLimits, func() {})
	sources := make([]*Source[int], flooding)
	for i := range sources {
		sources[i] = s.NewSource(func() {})
	}
	usual := s.NewSource(func() {})
	handled := make([]int, flooding+1)
	sentAt, slowest := router.Time(0), router.Time(0)
	const round = flooding/4 + 1 // turns in which each source is served once
	for now := router.Time(1); now < turns+round; now++ {
		for i, c := range sources {
			if n := fill(c, i); n > testLimits.SourceMessages {
				t.Fatalf("a source took %d messages", n)
			}
		}
		if now%usualEvery == 0 && now <= turns {
			usual.Add(flooding, 1)
			sentAt = now
		}
		s.Mark()
		s.Take(now, func(number int) {
			if handled[number]++; number == flooding {
				slowest = max(slowest, now-sentAt)
			}
		})
	}
	if want := turns / usualEvery; handled[flooding] != want {
		t.Errorf("%d of %d usual messages were handled", handled[flooding], want)
	}
	if slowest > round {
		t.Errorf("a usual message waited for %d units, a round takes %d", slowest, round)
	}
	total := 0
	for i, n := range handled[:flooding] {
		if total += n; n < turns/20 {
			t.Errorf("source %d was served %d times", i, n)
		}
	}
	if most := int(testLimits.TotalRate*(turns+round) + testLimits.TotalBurst); total > most {
		t.Errorf("%d messages were handled, at most %d are allowed", total, most)
	}
}

// TestSourceRate checks that one source alone is held to its rate, and that an unused rate adds up to the burst only.
func TestSourceRate(t *testing.T) {
	s := New[int](testLimits, func() {})
	c := s.NewSource(func() {})
	handled := 0
	take := func(now router.Time) {
		s.Mark()
		s.Take(now, func(int) { handled++ })
	}
	fill(c, 0)
	take(1)
	if handled < 1 || handled > int(testLimits.NewSourceBurst)+1 {
		t.Errorf("a new source spent %d", handled)
	}
	s.Take(1000, func(int) {})
	handled = 0
	for range 3 {
		fill(c, 0)
		take(1000)
	}
	if most := int(testLimits.SourceBurst) + 1; handled > most {
		t.Errorf("after a rest the source spent %d at once, at most %d are allowed", handled, most)
	}
	for handled = 0; s.Waiting(); {
		take(2000)
	}
	if handled == 0 {
		t.Error("messages that waited for the rate were not handled later")
	}
}

// TestReaderIsToldOfRoom checks that a full source tells of room once, and that dropped messages are returned.
func TestReaderIsToldOfRoom(t *testing.T) {
	woken, told := 0, 0
	s := New[int](testLimits, func() { woken++ })
	c := s.NewSource(func() { told++ })
	added := fill(c, 7)
	if woken != 1 || told != 0 {
		t.Fatalf("woken %d times, told %d times", woken, told)
	}
	s.Mark()
	s.Take(1, func(int) {})
	if told != 1 || c.Full() {
		t.Errorf("told %d times of room, full: %v", told, c.Full())
	}
	fill(c, 7)
	if dropped := c.Clear(); len(dropped) == 0 || len(dropped) > added {
		t.Errorf("%d messages were dropped", len(dropped))
	}
	s.Mark()
	s.Take(100, func(int) { t.Error("a dropped message was handled") })
	if s.Waiting() {
		t.Error("messages wait after all have been dropped")
	}
}

// TestManySourcesHoldOneMessageEach checks that past TotalMessages each source may have one waiting message only.
func TestManySourcesHoldOneMessageEach(t *testing.T) {
	s := New[int](testLimits, func() {})
	waiting := 0
	const sources = 1000
	for range sources {
		waiting += fill(s.NewSource(func() {}), 0)
	}
	if most := testLimits.TotalMessages + testLimits.SourceMessages + sources; waiting > most {
		t.Errorf("%d messages wait, at most %d may", waiting, most)
	}
	if fill(s.NewSource(func() {}), 0) != 1 {
		t.Error("a further source may not have one message")
	}
}

// TestTakeHandlesMarkedMessages checks that a message added after Mark waits for the next one.
func TestTakeHandlesMarkedMessages(t *testing.T) {
	s := New[int](testLimits, func() {})
	a, b := s.NewSource(func() {}), s.NewSource(func() {})
	var handled []int
	take := func() { s.Take(1, func(number int) { handled = append(handled, number) }) }
	a.Add(1, 1)
	s.Mark()
	a.Add(2, 1)
	b.Add(3, 1)
	if take(); !slices.Equal(handled, []int{1}) {
		t.Errorf("messages %v were handled, want 1", handled)
	}
	s.Mark()
	if take(); len(handled) != 3 || s.Waiting() {
		t.Errorf("messages %v were handled, want all", handled)
	}
}

// TestSmallMessagesPassLargeOnes checks that in each round a source gets as many small messages handled as a source of
// large ones gets for the same cost.
func TestSmallMessagesPassLargeOnes(t *testing.T) {
	const large, quantum = 9, 8
	limits := testLimits
	limits.Quantum, limits.SourceRate, limits.SourceBurst, limits.NewSourceBurst = quantum, 100, 100, 100
	s := New[int](limits, func() {})
	var sources []*Source[int]
	for range 20 {
		sources = append(sources, s.NewSource(func() {}))
	}
	usual := s.NewSource(func() {})
	handled := 0
	for now, added := router.Time(1), 0; now < 1000; now++ {
		for _, c := range sources {
			for !c.Full() {
				c.Add(0, large)
			}
		}
		for ; added < quantum; added++ {
			usual.Add(1, 1)
		}
		s.Mark()
		s.Take(now, func(number int) { handled += number })
		if handled == quantum {
			if round := router.Time(len(sources)*large/int(limits.TotalRate)) + 2; now > round {
				t.Errorf("%d small messages took until %d, a round takes %d", quantum, now, round)
			}
			return
		}
	}
	t.Errorf("%d of %d small messages were handled", handled, quantum)
}
