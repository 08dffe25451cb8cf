// Package rollout is the state of a control service: numbered versions, who runs which, and how far the newest has come.
// It decides which version each follower is to run, when a stage is over, and when to go back. No I/O, no goroutines, no
// clock: the same events in the same order give the same state, so that instances which agree on the events agree on it.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// Version is a number; 0 is none.
type Version uint64

// Millis is a moment in ms since 1970, or a span in ms.
type Millis int64

// States of a version.
const (
	Waiting    = "waiting"    // for the one before to end its rollout
	Rolling    = "rolling"    // some followers are to run it
	Accepted   = "accepted"   // all are
	Withdrawn  = "withdrawn"  // stopped, with the reason
	Superseded = "superseded" // a newer one came while it waited
	Past       = "past"       // was accepted, until a newer one was
)

// Settings are a rollout's figures.
type Settings struct {
	Stages          []float64 `json:"stages"`     // shares of the live followers, rising, the last 1
	Hold            Millis    `json:"hold"`       // a stage lasts so long at the least, once all of it have accepted
	AnswerTimeout   Millis    `json:"patience"`   // a live follower that has not answered by then stops the rollout
	LiveTimeout     Millis    `json:"live"`       // a follower not heard from for so long counts as away
	MaxRefusedShare float64   `json:"refused"`    // share of a stage's followers that may turn a version down
	MaxOKDrop       float64   `json:"worse"`      // fall of the ok share, over that of the others, that stops it
	MinRPCs         uint64    `json:"least_rpcs"` // on either side of a comparison
}

// Entry is one version.
type Entry struct {
	Version   Version `json:"version"`
	Digest    string  `json:"digest"`
	Text      string  `json:"text,omitempty"`
	By        string  `json:"by,omitempty"`
	Note      string  `json:"note,omitempty"`
	State     string  `json:"state"`
	Reason    string  `json:"reason,omitempty"`
	CreatedAt Millis  `json:"at"`
	Immediate bool    `json:"at_once,omitempty"` // its only stage is the last
}

// Counters are a follower's sums since it began.
type Counters struct {
	Taken   uint64 `json:"taken"`
	OK      uint64 `json:"ok"`
	Denied  uint64 `json:"denied"`
	Aborted uint64 `json:"aborted"`
}

// Report is what a follower told.
type Report struct {
	Name     string   `json:"name"`
	Version  Version  `json:"version"` // in force there
	Digest   string   `json:"digest"`
	Kept     bool     `json:"kept"`
	Refused  Version  `json:"refused,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Counters Counters `json:"figures"`
}

// follower is what is known of one.
type follower struct {
	Report
	Seen   Millis   `json:"seen"`
	Since  Millis   `json:"since"`  // chosen for the candidate
	Chosen bool     `json:"chosen"` // it is to run the candidate
	Before Counters `json:"before"` // when the version before the candidate began there, or its process did
	Start  Counters `json:"start"`  // when the candidate's rollout began
	After  Counters `json:"after"`  // when it accepted the candidate
	Has    bool     `json:"has"`    // After is set
}

// State is everything; it goes into snapshots as it is.
type State struct {
	Settings        Settings             `json:"settings"`
	Newest          Version              `json:"newest"`
	Stable          Version              `json:"stable"`
	Candidate       Version              `json:"candidate"`
	Pending         Version              `json:"next"` // waits for the candidate's end; 0: none does
	Stage           int                  `json:"stage"`
	StageSince      Millis               `json:"since"`    // the stage began
	StageCompleteAt Millis               `json:"complete"` // all of the stage have accepted; 0: not yet
	Entries         map[Version]*Entry   `json:"entries"`
	Followers       map[string]*follower `json:"followers"`
}

// keepEntries is how many versions behind the newest are told at all, and forget how long a follower that is away.
const (
	keepEntries = 1000
	forget      = Millis(24 * 60 * 60 * 1000)
)

// keepTexts is how many versions behind the newest keep their text: what operators look at and go back to.
const keepTexts = 100

// New starts with no version.
func New(set Settings) *State {
	return &State{Settings: set, Entries: map[Version]*Entry{}, Followers: map[string]*follower{}}
}

// Submit numbers a version. Base, unless 0, must be the newest.
func (s *State) Submit(now Millis, text, digest, by, note string, base Version) (Version, error) {
	if base != 0 && base != s.Newest {
		return 0, fmt.Errorf("the newest version is %d, not %d: look at what changed and submit again", s.Newest, base)
	}
	return s.add(now, &Entry{Text: text, Digest: digest, By: by, Note: note}), nil
}

func (s *State) add(now Millis, e *Entry) Version {
	s.Newest++
	e.Version, e.State, e.CreatedAt = s.Newest, Waiting, now
	s.Entries[e.Version] = e
	s.drop(fmt.Sprintf("version %d came before it was begun", e.Version))
	s.Pending = e.Version
	if old := s.Entries[e.Version-min(e.Version, keepTexts)]; old != nil && old.Version != s.Stable && old.Version != s.Candidate {
		old.Text = ""
	}
	if v := e.Version - min(e.Version, keepEntries); v != s.Stable && v != s.Candidate {
		delete(s.Entries, v)
	}
	s.proceed(now)
	return e.Version
}

// drop supersedes the version that waits: it is never told to anybody.
func (s *State) drop(why string) {
	if s.Pending != 0 {
		s.Entries[s.Pending].State, s.Entries[s.Pending].Reason, s.Pending = Superseded, why, 0
	}
}

// Rollback has all followers run what was accepted as version to, or 0: as the one before the last, under a new number and
// at once: numbers never fall.
func (s *State) Rollback(now Millis, to Version, by, note string) (Version, error) {
	if to == 0 {
		for v := s.Stable; v > 0 && to == 0; v-- {
			if e := s.Entries[v]; v < s.Stable && e != nil && e.State == Past && e.Digest != s.Entries[s.Stable].Digest {
				to = v
			}
		}
	}
	e := s.Entries[to]
	switch {
	case to == 0:
		return 0, errors.New("no version was accepted before")
	case e == nil:
		return 0, fmt.Errorf("no version %d", to)
	case e.State != Past && e.State != Accepted:
		return 0, fmt.Errorf("version %d was never accepted: it is %s", to, e.State)
	case e.Text == "":
		return 0, fmt.Errorf("version %d is too old: its text is kept no more", to)
	}
	s.drop("rolled back")
	if s.Candidate != 0 {
		s.end(now, Withdrawn, fmt.Sprintf("rolled back by %s", by))
	}
	return s.add(now, &Entry{Text: e.Text, Digest: e.Digest, By: by, Immediate: true,
		Note: strings.TrimSpace(fmt.Sprintf("back to %d %s", to, note))}), nil
}

// RecordReport takes a follower's report.
func (s *State) RecordReport(now Millis, r Report) {
	f := s.Followers[r.Name]
	if f == nil {
		f = &follower{}
		s.Followers[r.Name] = f
		f.Before, f.Start = r.Counters, r.Counters
	}
	if r.Counters.Taken < f.Counters.Taken { // its process began anew
		f.Before, f.Start, f.After = r.Counters, r.Counters, r.Counters
	}
	f.Report, f.Seen = r, now
	if s.Candidate != 0 && !f.Chosen && s.stages()[s.Stage] >= 1 { // it came amid the last stage
		f.Chosen, f.Since = true, now
	}
	if s.Candidate != 0 && f.Chosen && r.Version == s.Candidate && !f.Has {
		f.After, f.Has = r.Counters, true
	}
	if r.Version > s.Newest { // this store is older than the fleet: numbers go on above
		s.Newest = r.Version
	}
}

// step is what a rollout does next.
type step uint8

const (
	stay       step = iota
	begin           // the version that waits
	draw            // others try: none of the stage is there
	withdraw        // with a reason
	complete        // all of the stage have accepted
	incomplete      // not any more: one came to it
	further         // the next stage
	accept
)

// next tells what is due, and the reason of a withdrawal.
func (s *State) next(now Millis) (step, string) {
	if s.Candidate == 0 {
		if s.Pending != 0 {
			return begin, ""
		}
		return stay, ""
	}
	accepted, refused, chosen, live, open, reasons := 0, 0, 0, 0, []string{}, []string{}
	for _, name := range s.names() {
		f := s.Followers[name]
		if now-f.Seen > s.Settings.LiveTimeout {
			continue
		}
		if live++; !f.Chosen {
			continue
		}
		chosen++
		switch {
		case f.Version >= s.Candidate:
			accepted++
		case f.Refused == s.Candidate:
			refused++
			reasons = append(reasons, name+": "+f.Reason)
		case now-f.Since > s.Settings.AnswerTimeout:
			open = append(open, name)
		}
	}
	done := accepted+refused == chosen && accepted > 0 // what nobody runs is not accepted
	switch why := s.worse(); {
	case chosen == 0 && live > 0:
		return draw, ""
	case chosen == 0:
		return stay, ""
	case float64(refused) > s.Settings.MaxRefusedShare*float64(chosen):
		return withdraw, fmt.Sprintf("turned down by %d of %d: %s", refused, chosen, strings.Join(reasons[:min(3, len(reasons))], "; "))
	case len(open) > 0:
		return withdraw, fmt.Sprintf("no answer for %d ms from %s", s.Settings.AnswerTimeout, strings.Join(open[:min(3, len(open))], ", "))
	case why != "":
		return withdraw, why
	case !done && s.StageCompleteAt != 0:
		return incomplete, ""
	case !done:
		return stay, ""
	case s.StageCompleteAt == 0 && s.Settings.Hold > 0 && !s.atOnce():
		return complete, ""
	case !s.atOnce() && now-s.StageCompleteAt < s.Settings.Hold:
		return stay, ""
	case s.Stage+1 < len(s.stages()):
		return further, ""
	}
	return accept, ""
}

// Tick is the passing of time, and where the rollout goes on.
func (s *State) Tick(now Millis) {
	for name, f := range s.Followers {
		if now-f.Seen > forget {
			delete(s.Followers, name)
		}
	}
	switch what, why := s.next(now); what {
	case begin:
		s.proceed(now)
	case draw:
		s.choose(now)
	case withdraw:
		s.end(now, Withdrawn, why)
	case complete:
		s.StageCompleteAt = now
	case incomplete:
		s.StageCompleteAt = 0
	case further:
		s.Stage++
		s.choose(now)
	case accept:
		s.end(now, Accepted, "")
	}
}

// TickDue tells whether a tick at now would change anything, so that idle instances need not agree on every one.
func (s *State) TickDue(now Millis) bool {
	what, _ := s.next(now)
	return what != stay
}

func (s *State) atOnce() bool { return s.Entries[s.Candidate].Immediate }

func (s *State) stages() []float64 {
	if s.Candidate != 0 && (s.atOnce() || s.Stable == 0) {
		return []float64{1}
	}
	return s.Settings.Stages
}

// Target is the version that a follower is to run; 0: none yet.
func (s *State) Target(name string) Version {
	if f := s.Followers[name]; s.Candidate != 0 && (s.stages()[s.Stage] >= 1 || f != nil && f.Chosen) {
		return s.Candidate
	}
	return s.Stable
}

// proceed begins the version that waits.
func (s *State) proceed(now Millis) {
	if s.Candidate != 0 || s.Pending == 0 {
		return
	}
	e := s.Entries[s.Pending]
	e.State, s.Candidate, s.Stage, s.Pending = Rolling, e.Version, 0, 0
	for _, f := range s.Followers {
		f.Chosen, f.Has, f.Start = false, false, f.Counters
	}
	s.choose(now)
}

// choose adds followers until the stage's share of the live ones has the candidate: which they are is drawn anew for
// each version, so that it isn't always the same ones that try.
func (s *State) choose(now Millis) {
	s.StageSince, s.StageCompleteAt = now, 0
	var live []string
	for _, name := range s.names() {
		if now-s.Followers[name].Seen <= s.Settings.LiveTimeout {
			live = append(live, name)
		}
	}
	slices.SortFunc(live, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a, s.Candidate), rank(b, s.Candidate)), strings.Compare(a, b))
	})
	share := s.stages()[s.Stage]
	n := min(len(live), int(math.Ceil(share*float64(len(live)))))
	for _, name := range live[:n] {
		if f := s.Followers[name]; !f.Chosen {
			f.Chosen, f.Since = true, now
		}
	}
	if share >= 1 { // those away, too: they are not waited for
		for _, f := range s.Followers {
			if !f.Chosen {
				f.Chosen, f.Since = true, now
			}
		}
	}
}

func rank(name string, v Version) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s", v, name)
	return h.Sum64()
}

func (s *State) names() []string {
	out := make([]string, 0, len(s.Followers))
	for name := range s.Followers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func share(from, to Counters) (ok float64, n uint64) {
	n = to.OK + to.Denied + to.Aborted - from.OK - from.Denied - from.Aborted
	return float64(to.OK-from.OK) / float64(max(n, 1)), n
}

// worse compares the ok share of those who run the candidate with their own before it, less what changed for the others
// over the same time: a bad hour for all is not the version's.
func (s *State) worse() string {
	var before, after, otherBefore, otherAfter Counters
	add := func(to *Counters, from, until Counters) {
		to.OK += until.OK - from.OK
		to.Denied += until.Denied - from.Denied
		to.Aborted += until.Aborted - from.Aborted
	}
	for _, name := range s.names() {
		f := s.Followers[name]
		if f.Has {
			add(&before, f.Before, f.Start)
			add(&after, f.After, f.Counters)
		} else {
			add(&otherBefore, f.Before, f.Start)
			add(&otherAfter, f.Start, f.Counters)
		}
	}
	b, nb := share(Counters{}, before)
	a, na := share(Counters{}, after)
	if nb < s.Settings.MinRPCs || na < s.Settings.MinRPCs {
		return ""
	}
	fell := 0.0
	ob, nob := share(Counters{}, otherBefore)
	oa, noa := share(Counters{}, otherAfter)
	if nob >= s.Settings.MinRPCs && noa >= s.Settings.MinRPCs {
		fell = ob - oa
	}
	if b-a-fell > s.Settings.MaxOKDrop {
		return fmt.Sprintf("ok share fell from %.3f to %.3f of %d RPCs with it, from %.3f to %.3f without", b, a, na, ob, oa)
	}
	return ""
}

// end ends the candidate's rollout. Where one that is withdrawn is in force anywhere, what was accepted before follows
// under a new number.
func (s *State) end(now Millis, state, reason string) {
	e := s.Entries[s.Candidate]
	e.State, e.Reason = state, reason
	inForce := false
	for _, f := range s.Followers {
		// it may run it without having said so yet
		inForce = inForce || f.Chosen && f.Refused != s.Candidate
		if state == Accepted {
			f.Before = f.Counters
			if f.Has {
				f.Before = f.After
			}
		}
		f.Chosen, f.Has = false, false
	}
	s.Candidate, s.Stage, s.StageCompleteAt = 0, 0, 0
	if state == Accepted {
		if old := s.Entries[s.Stable]; old != nil {
			old.State = Past
		}
		s.Stable = e.Version
		s.proceed(now)
		return
	}
	if old := s.Entries[s.Stable]; inForce && old != nil {
		old.State = Past
		s.Newest++
		s.Stable = s.Newest
		s.Entries[s.Newest] = &Entry{Version: s.Newest, Digest: old.Digest, Text: old.Text, State: Accepted, CreatedAt: now,
			Note: fmt.Sprintf("back to %d: %d was withdrawn", old.Version, e.Version)}
		if s.Pending != 0 { // what waits was numbered before: it keeps its content under a number above
			again := *s.Entries[s.Pending]
			s.drop(fmt.Sprintf("comes again as %d", s.Newest+1))
			s.Newest++
			again.Version, s.Pending = s.Newest, s.Newest
			s.Entries[s.Newest] = &again
		}
	}
	s.proceed(now)
}

// FollowerStatus is a follower as status tells of it.
type FollowerStatus struct {
	Report
	Live bool
}

// ListFollowers is all followers by name.
func (s *State) ListFollowers(now Millis) (out []FollowerStatus) {
	for _, name := range s.names() {
		f := s.Followers[name]
		out = append(out, FollowerStatus{f.Report, now-f.Seen <= s.Settings.LiveTimeout})
	}
	return out
}
