// Package rollout is the state machine of a control service: the numbered versions, which follower runs which, and how
// far the rollout of the newest has come. It decides which version each follower is to run, when a stage is complete,
// and when to roll back. It does no I/O, starts no goroutines and reads no clock: the same events in the same order
// give the same state, so instances that replicate the events have equal states.
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

// Version is the number of a configuration; 0 stands for none.
type Version uint64

// Millis is a time in ms since the Unix epoch, or a duration in ms.
type Millis int64

// States of a version.
const (
	Waiting    = "waiting"    // for the end of the rollout before it
	Rolling    = "rolling"    // being rolled out: some followers are to run it
	Accepted   = "accepted"   // all followers are to run it
	Withdrawn  = "withdrawn"  // its rollout was stopped for the entry's reason
	Superseded = "superseded" // a newer version was submitted while it waited
	Past       = "past"       // was accepted and has been replaced by a newer one
)

// Settings are the parameters of rollouts.
type Settings struct {
	Stages          []float64 `json:"stages"`     // shares of the live followers, ascending, the last is 1
	Hold            Millis    `json:"hold"`       // minimum duration of a stage once all its followers have answered
	AnswerTimeout   Millis    `json:"patience"`   // a chosen live follower without an answer by then stops the rollout
	LiveTimeout     Millis    `json:"live"`       // a follower that sends no report for this long counts as away
	MaxRefusedShare float64   `json:"refused"`    // share of the chosen followers that may refuse a version
	MaxOKDrop       float64   `json:"worse"`      // tolerated drop of the ok share, less that of the other followers
	MinRPCs         uint64    `json:"least_rpcs"` // required on both sides of a comparison of ok shares
}

// Entry is a version with its state.
type Entry struct {
	Version   Version `json:"version"`
	Digest    string  `json:"digest"`
	Text      string  `json:"text,omitempty"`
	By        string  `json:"by,omitempty"`
	Note      string  `json:"note,omitempty"`
	State     string  `json:"state"`
	Reason    string  `json:"reason,omitempty"`
	CreatedAt Millis  `json:"at"`
	Immediate bool    `json:"at_once,omitempty"` // rolled out to all followers in a single stage
}

// Counters count a follower's RPCs since its process started.
type Counters struct {
	Taken   uint64 `json:"taken"`
	OK      uint64 `json:"ok"`
	Denied  uint64 `json:"denied"`
	Aborted uint64 `json:"aborted"`
}

// Report is what a follower reports about itself.
type Report struct {
	Name     string   `json:"name"`
	Version  Version  `json:"version"` // in force at the follower
	Digest   string   `json:"digest"`
	Saved    bool     `json:"kept"`
	Refused  Version  `json:"refused,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Counters Counters `json:"figures"`
}

// follower is the state of one follower. It is written to snapshots.
type follower struct {
	Report
	LastSeen          Millis   `json:"seen"`
	ChosenAt          Millis   `json:"since"`  // when it was chosen for the candidate
	Chosen            bool     `json:"chosen"` // whether it is to run the candidate
	StableStart       Counters `json:"before"` // counters when its process or its run of the stable version started
	RolloutStart      Counters `json:"start"`  // counters when the candidate's rollout started
	CandidateStart    Counters `json:"after"`  // counters when it accepted the candidate
	AcceptedCandidate bool     `json:"has"`    // whether CandidateStart is set
}

// State is the whole state of the rollouts. It is written to snapshots as it is.
type State struct {
	Settings        Settings             `json:"settings"`
	Newest          Version              `json:"newest"`
	Stable          Version              `json:"stable"`
	Candidate       Version              `json:"candidate"`
	Pending         Version              `json:"next"` // waits for the end of the candidate's rollout; 0: none
	Stage           int                  `json:"stage"`
	StageSince      Millis               `json:"since"`    // when the stage started
	StageCompleteAt Millis               `json:"complete"` // when all followers of the stage had answered; 0: not yet
	Entries         map[Version]*Entry   `json:"entries"`
	Followers       map[string]*follower `json:"followers"`
}

// maxEntries is how many of the newest versions are kept; older ones are deleted, except the stable version and the
// candidate. A follower that sends no report for forgetAfter (in ms) is deleted.
const (
	maxEntries  = 1000
	forgetAfter = Millis(24 * 60 * 60 * 1000)
)

// maxTexts is how many of the newest versions keep their text, besides the stable version and the candidate. Operators
// look only at recent versions and roll back only to them.
const maxTexts = 100

// New returns a state without versions and followers.
func New(settings Settings) *State {
	return &State{Settings: settings, Entries: map[Version]*Entry{}, Followers: map[string]*follower{}}
}

// Submit adds a version and returns its number. Base, unless 0, must be the newest version.
func (s *State) Submit(now Millis, text, digest, by, note string, base Version) (Version, error) {
	if base != 0 && base != s.Newest {
		return 0, fmt.Errorf("the newest version is %d, not %d: look at what changed and submit again", s.Newest, base)
	}
	return s.addVersion(now, &Entry{Text: text, Digest: digest, By: by, Note: note}), nil
}

func (s *State) addVersion(now Millis, e *Entry) Version {
	s.Newest++
	e.Version, e.State, e.CreatedAt = s.Newest, Waiting, now
	s.Entries[e.Version] = e
	s.supersedePending(fmt.Sprintf("version %d came before it was begun", e.Version))
	s.Pending = e.Version
	if old := s.Entries[e.Version-min(e.Version, maxTexts)]; old != nil &&
		old.Version != s.Stable && old.Version != s.Candidate {
		old.Text = ""
	}
	if v := e.Version - min(e.Version, maxEntries); v != s.Stable && v != s.Candidate {
		delete(s.Entries, v)
	}
	s.startPending(now)
	return e.Version
}

// supersedePending supersedes the version that waits; no follower ever receives it.
func (s *State) supersedePending(reason string) {
	if s.Pending != 0 {
		s.Entries[s.Pending].State, s.Entries[s.Pending].Reason, s.Pending = Superseded, reason, 0
	}
}

// Rollback makes all followers run the text of version to, which was accepted before, under a new number and in a
// single stage; version numbers never go back. 0 stands for the version that was accepted before the stable one.
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
	s.supersedePending("rolled back")
	if s.Candidate != 0 {
		s.endRollout(now, Withdrawn, fmt.Sprintf("rolled back by %s", by))
	}
	return s.addVersion(now, &Entry{Text: e.Text, Digest: e.Digest, By: by, Immediate: true,
		Note: strings.TrimSpace(fmt.Sprintf("back to %d %s", to, note))}), nil
}

// RecordReport records the report of a follower.
func (s *State) RecordReport(now Millis, r Report) {
	f := s.Followers[r.Name]
	if f == nil {
		f = &follower{}
		s.Followers[r.Name] = f
		f.StableStart, f.RolloutStart = r.Counters, r.Counters
	}
	if r.Counters.Taken < f.Counters.Taken { // its process has restarted
		f.StableStart, f.RolloutStart, f.CandidateStart = r.Counters, r.Counters, r.Counters
	}
	f.Report, f.LastSeen = r, now
	if s.Candidate != 0 && !f.Chosen && s.stages()[s.Stage] >= 1 { // it joined during the last stage
		f.Chosen, f.ChosenAt = true, now
	}
	if s.Candidate != 0 && f.Chosen && r.Version == s.Candidate && !f.AcceptedCandidate {
		f.CandidateStart, f.AcceptedCandidate = r.Counters, true
	}
	if r.Version > s.Newest { // the store was restored from a backup: new numbers must be above those in use
		s.Newest = r.Version
	}
}

// step is the next step of a rollout.
type step uint8

const (
	noStep          step = iota
	startRollout         // of the pending version
	chooseAgain          // choose followers again: all of the chosen ones are away
	withdraw             // stop the rollout, for a reason
	stageComplete        // all live followers of the stage have answered, and at least one has accepted
	stageIncomplete      // no longer complete: a follower joined the stage or came back
	nextStage            // begin the next stage
	accept
)

// nextStep returns the step that is due, and for withdraw its reason.
func (s *State) nextStep(now Millis) (step, string) {
	if s.Candidate == 0 {
		if s.Pending != 0 {
			return startRollout, ""
		}
		return noStep, ""
	}
	accepted, refused, chosen, live, overdue, reasons := 0, 0, 0, 0, []string{}, []string{}
	for _, name := range s.followerNames() {
		f := s.Followers[name]
		if now-f.LastSeen > s.Settings.LiveTimeout {
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
		case now-f.ChosenAt > s.Settings.AnswerTimeout:
			overdue = append(overdue, name)
		}
	}
	done := accepted+refused == chosen && accepted > 0 // a version that no follower runs is not accepted
	switch drop := s.okDropReason(); {
	case chosen == 0 && live > 0:
		return chooseAgain, ""
	case chosen == 0:
		return noStep, ""
	case float64(refused) > s.Settings.MaxRefusedShare*float64(chosen):
		return withdraw, fmt.Sprintf("turned down by %d of %d: %s", refused, chosen,
			strings.Join(reasons[:min(3, len(reasons))], "; "))
	case len(overdue) > 0:
		return withdraw, fmt.Sprintf("no answer for %d ms from %s", s.Settings.AnswerTimeout,
			strings.Join(overdue[:min(3, len(overdue))], ", "))
	case drop != "":
		return withdraw, drop
	case !done && s.StageCompleteAt != 0:
		return stageIncomplete, ""
	case !done:
		return noStep, ""
	case s.StageCompleteAt == 0 && s.Settings.Hold > 0 && !s.immediate():
		return stageComplete, ""
	case !s.immediate() && now-s.StageCompleteAt < s.Settings.Hold:
		return noStep, ""
	case s.Stage+1 < len(s.stages()):
		return nextStage, ""
	}
	return accept, ""
}

// Tick advances the time to now: it deletes followers that are away for too long and takes the next step of the
// rollout.
func (s *State) Tick(now Millis) {
	for name, f := range s.Followers {
		if now-f.LastSeen > forgetAfter {
			delete(s.Followers, name)
		}
	}
	switch next, reason := s.nextStep(now); next {
	case startRollout:
		s.startPending(now)
	case chooseAgain:
		s.chooseFollowers(now)
	case withdraw:
		s.endRollout(now, Withdrawn, reason)
	case stageComplete:
		s.StageCompleteAt = now
	case stageIncomplete:
		s.StageCompleteAt = 0
	case nextStage:
		s.Stage++
		s.chooseFollowers(now)
	case accept:
		s.endRollout(now, Accepted, "")
	}
}

// TickDue reports whether a tick at now would take a step, so that idle instances need not replicate every tick.
func (s *State) TickDue(now Millis) bool {
	next, _ := s.nextStep(now)
	return next != noStep
}

func (s *State) immediate() bool { return s.Entries[s.Candidate].Immediate }

// stages returns the stages of the candidate's rollout. The first version ever goes to all followers in one stage.
func (s *State) stages() []float64 {
	if s.Candidate != 0 && (s.immediate() || s.Stable == 0) {
		return []float64{1}
	}
	return s.Settings.Stages
}

// Target returns the version that a follower is to run; 0 if there is none yet.
func (s *State) Target(name string) Version {
	if f := s.Followers[name]; s.Candidate != 0 && (s.stages()[s.Stage] >= 1 || f != nil && f.Chosen) {
		return s.Candidate
	}
	return s.Stable
}

// startPending starts the rollout of the pending version, unless another rollout is under way.
func (s *State) startPending(now Millis) {
	if s.Candidate != 0 || s.Pending == 0 {
		return
	}
	e := s.Entries[s.Pending]
	e.State, s.Candidate, s.Stage, s.Pending = Rolling, e.Version, 0, 0
	for _, f := range s.Followers {
		f.Chosen, f.AcceptedCandidate, f.RolloutStart = false, false, f.Counters
	}
	s.chooseFollowers(now)
}

// chooseFollowers chooses further followers for the candidate until the stage's share of the live followers is reached.
// Their order depends on the version, so that the first stage does not always hit the same followers.
func (s *State) chooseFollowers(now Millis) {
	s.StageSince, s.StageCompleteAt = now, 0
	var live []string
	for _, name := range s.followerNames() {
		if now-s.Followers[name].LastSeen <= s.Settings.LiveTimeout {
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
			f.Chosen, f.ChosenAt = true, now
		}
	}
	if share >= 1 { // followers that are away, too; the stage does not wait for them
		for _, f := range s.Followers {
			if !f.Chosen {
				f.Chosen, f.ChosenAt = true, now
			}
		}
	}
}

// rank orders the followers for a version pseudorandomly.
func rank(name string, v Version) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s", v, name)
	return h.Sum64()
}

func (s *State) followerNames() []string {
	out := make([]string, 0, len(s.Followers))
	for name := range s.Followers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// okShare returns the ok share of the RPCs that ended between two counters, and the number of these RPCs.
func okShare(from, to Counters) (ok float64, total uint64) {
	total = to.OK + to.Denied + to.Aborted - from.OK - from.Denied - from.Aborted
	return float64(to.OK-from.OK) / float64(max(total, 1)), total
}

// okDropReason returns why the candidate is to be withdrawn for its ok share, or "". It compares the ok share of the
// followers that run the candidate with their own ok share before it, less the drop at the other followers over the
// same time: a drop that affects all followers is not caused by the version.
func (s *State) okDropReason() string {
	var before, after, otherBefore, otherAfter Counters
	add := func(to *Counters, from, until Counters) {
		to.OK += until.OK - from.OK
		to.Denied += until.Denied - from.Denied
		to.Aborted += until.Aborted - from.Aborted
	}
	for _, name := range s.followerNames() {
		f := s.Followers[name]
		if f.AcceptedCandidate {
			add(&before, f.StableStart, f.RolloutStart)
			add(&after, f.CandidateStart, f.Counters)
		} else {
			add(&otherBefore, f.StableStart, f.RolloutStart)
			add(&otherAfter, f.RolloutStart, f.Counters)
		}
	}
	okBefore, totalBefore := okShare(Counters{}, before)
	okAfter, totalAfter := okShare(Counters{}, after)
	if totalBefore < s.Settings.MinRPCs || totalAfter < s.Settings.MinRPCs {
		return ""
	}
	otherDrop := 0.0
	otherOKBefore, otherTotalBefore := okShare(Counters{}, otherBefore)
	otherOKAfter, otherTotalAfter := okShare(Counters{}, otherAfter)
	if otherTotalBefore >= s.Settings.MinRPCs && otherTotalAfter >= s.Settings.MinRPCs {
		otherDrop = otherOKBefore - otherOKAfter
	}
	if okBefore-okAfter-otherDrop > s.Settings.MaxOKDrop {
		return fmt.Sprintf("ok share fell from %.3f to %.3f of %d RPCs with it, from %.3f to %.3f without",
			okBefore, okAfter, totalAfter, otherOKBefore, otherOKAfter)
	}
	return ""
}

// endRollout ends the candidate's rollout. If a withdrawn candidate may be in force at any follower, the text of the
// stable version gets a new number above the candidate's and becomes the stable version under that number.
func (s *State) endRollout(now Millis, state, reason string) {
	e := s.Entries[s.Candidate]
	e.State, e.Reason = state, reason
	inForce := false
	for _, f := range s.Followers {
		// a chosen follower may run it without having reported so yet
		inForce = inForce || f.Chosen && f.Refused != s.Candidate
		if state == Accepted {
			f.StableStart = f.Counters
			if f.AcceptedCandidate {
				f.StableStart = f.CandidateStart
			}
		}
		f.Chosen, f.AcceptedCandidate = false, false
	}
	s.Candidate, s.Stage, s.StageCompleteAt = 0, 0, 0
	if state == Accepted {
		if old := s.Entries[s.Stable]; old != nil {
			old.State = Past
		}
		s.Stable = e.Version
		s.startPending(now)
		return
	}
	if old := s.Entries[s.Stable]; inForce && old != nil {
		old.State = Past
		s.Newest++
		s.Stable = s.Newest
		s.Entries[s.Newest] = &Entry{Version: s.Newest, Digest: old.Digest, Text: old.Text, State: Accepted, CreatedAt: now,
			Note: fmt.Sprintf("back to %d: %d was withdrawn", old.Version, e.Version)}
		if s.Pending != 0 { // the pending version has a lower number: its content gets a new number above
			renumbered := *s.Entries[s.Pending]
			s.supersedePending(fmt.Sprintf("comes again as %d", s.Newest+1))
			s.Newest++
			renumbered.Version, s.Pending = s.Newest, s.Newest
			s.Entries[s.Newest] = &renumbered
		}
	}
	s.startPending(now)
}

// FollowerStatus is a follower's last report, and whether it is live.
type FollowerStatus struct {
	Report
	Live bool
}

// ListFollowers returns the status of all followers, ordered by name.
func (s *State) ListFollowers(now Millis) (out []FollowerStatus) {
	for _, name := range s.followerNames() {
		f := s.Followers[name]
		out = append(out, FollowerStatus{f.Report, now-f.LastSeen <= s.Settings.LiveTimeout})
	}
	return out
}
