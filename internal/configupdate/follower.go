// Package configupdate is the state machine of a follower of streamed configuration. It decides what to do with each
// version that it is offered: check, apply and accept it, refuse it, queue it behind another, or change only the number
// of the version in force. It does no I/O, starts no goroutines and reads no clock; package configclient has the
// streams, files and sockets. docs/design/streamed-configuration.md has the states.
package configupdate

import "fmt"

// Version is the number of a configuration. Numbers only rise; 0 stands for the settings that a follower is started
// with.
type Version uint64

// VersionRef identifies a version by its number and the digest of its text.
type VersionRef struct {
	Version Version
	Digest  string
}

// Offer is a response of the stream.
type Offer struct {
	VersionRef
	Nonce    string
	Base     Version // version that its changes are relative to; 0: it has the full configuration
	DigestOK bool    // whether the resulting text has the digest of the response
}

// Actions is what a Follower acts through. The results of Check, Apply and Save arrive later, by HandleCheckResult,
// HandleApplyResult and HandleSaveResult.
type Actions interface {
	// Check checks the full configuration against what the follower supports.
	Check(v Version)
	// Apply puts the version in force between two turns of the event loop, all of it or nothing.
	Apply(v Version)
	// Save writes the version to disk as the last good one.
	Save(v Version)
	// Accept acknowledges a response to the service, together with the version in force; saved: that version is on
	// disk as the last good one.
	Accept(nonce string, saved bool)
	// Refuse refuses a response, likewise with the version in force.
	Refuse(nonce string, v Version, reason string)
	// RequestFull asks for the full configuration because the changes did not fit.
	RequestFull(nonce string)
	// Log logs one line for the operators.
	Log(text string)
	// SendStatus reports the version that Reported returns to the service, unasked, on a new stream or (if connected) on an
	// established one.
	SendStatus(current VersionRef, refused Version, saved, connected bool)
}

// phase is the step at which the current offer is.
type phase uint8

const (
	idle phase = iota
	checking
	applying
	saving
)

// Follower is the state of one follower.
type Follower struct {
	actions       Actions
	current       VersionRef
	saved         bool       // whether current is on disk
	previous      VersionRef // the version before current, reported while current is being saved
	previousSaved bool       // whether previous was on disk
	refused       VersionRef
	refusal       string // the reason for refusing it
	connected     bool   // whether a stream is established

	offer      Offer // being processed, unless phase is idle
	phase      phase
	orphaned   bool  // the stream of offer has ended: the service does not wait for its answer
	pending    Offer // newest offer received while another is being processed
	hasPending bool

	answeredNonce string // nonce of the last answer
	resend        func() // sends that answer again
}

// New returns a follower that has the last good version in force, or none (the zero VersionRef).
func New(actions Actions, current VersionRef, saved bool) *Follower {
	return &Follower{actions: actions, current: current, saved: saved}
}

// Current returns the version in force, and whether it is on disk.
func (f *Follower) Current() (VersionRef, bool) { return f.current, f.saved }

// Reported returns the version to report to the service as the one in force, and whether it is on disk. The service
// counts a version as accepted once it is reported, and an accepted version must survive a crash. So while a version is
// being saved, the previous one is reported.
func (f *Follower) Reported() (VersionRef, bool) {
	if f.phase == saving {
		return f.previous, f.previousSaved
	}
	return f.current, f.saved
}

// LastRefused returns the version that was refused last, and the reason.
func (f *Follower) LastRefused() (VersionRef, string) { return f.refused, f.refusal }

// HandleConnect handles a new stream by sending the version to report. Answers to offers of the previous stream are not
// sent any more.
func (f *Follower) HandleConnect() {
	f.connected, f.answeredNonce, f.resend = true, "", nil
	current, saved := f.Reported()
	f.actions.SendStatus(current, f.refused.Version, saved, false)
}

// HandleDisconnect handles the end of the stream. Processing of the current offer goes on; the service learns its
// result from the first message of the next stream, or on it.
func (f *Follower) HandleDisconnect() {
	f.connected, f.orphaned, f.hasPending = false, true, false
}

// HandleOffer handles a response of the stream.
func (f *Follower) HandleOffer(o Offer) {
	switch {
	case o.Nonce == f.answeredNonce && f.resend != nil: // a repeated response: the answer is repeated, too
		f.resend()
	case f.phase != idle && !f.orphaned && o.Nonce == f.offer.Nonce: // a repeated response that is still being processed
	case f.phase != idle && o.VersionRef == f.offer.VersionRef: // offered again on a new stream: the answer goes there
		f.offer.Nonce, f.orphaned = o.Nonce, false
	case f.phase != idle:
		f.pending, f.hasPending = o, true
	default:
		f.process(o)
	}
}

// process decides about an offer while no other one is being processed.
func (f *Follower) process(o Offer) {
	f.offer, f.orphaned = o, false
	switch {
	case o.Base != 0 && o.Base != f.current.Version:
		f.requestFull(o.Nonce)
	case !o.DigestOK && o.Base != 0: // the base may be at fault
		f.requestFull(o.Nonce)
	case !o.DigestOK:
		f.refuse(fmt.Sprintf("version %d: its text has not the digest that came with it", o.Version))
	case o.VersionRef == f.current:
		f.accept()
	case o.Version == f.current.Version:
		f.refuse(fmt.Sprintf("version %d differs from the one in force under that number: was the service's store replaced?",
			o.Version))
	case o.Version < f.current.Version:
		f.refuse(fmt.Sprintf("version %d is older than %d, which is in force: was the service's store restored?", o.Version,
			f.current.Version))
	case o.VersionRef == f.refused:
		f.refuse(f.refusal)
	case o.Digest == f.current.Digest: // the text is in force already: only the number is new
		f.save()
	default:
		f.phase = checking
		f.actions.Check(o.Version)
	}
}

// HandleCheckResult handles the result of Check. An empty reason means that the version is valid.
func (f *Follower) HandleCheckResult(v Version, reason string) {
	if f.phase != checking || v != f.offer.Version {
		return
	}
	if reason != "" {
		f.refuse(reason)
		return
	}
	f.phase = applying
	f.actions.Apply(v)
}

// HandleApplyResult handles the result of Apply. With a reason, Apply failed and the previous version is still in force
// unchanged.
func (f *Follower) HandleApplyResult(v Version, reason string) {
	if f.phase != applying || v != f.offer.Version {
		return
	}
	if reason != "" {
		f.refuse(reason)
		return
	}
	f.actions.Log(fmt.Sprintf("version %d is in force, replacing version %d", v, f.current.Version))
	f.save()
}

// save makes the offered version, which has taken effect, the current one and has it saved.
func (f *Follower) save() {
	f.previous, f.previousSaved = f.current, f.saved
	f.current, f.saved = f.offer.VersionRef, false
	f.phase = saving
	f.actions.Save(f.offer.Version)
}

// HandleSaveResult handles the result of Save. A version that cannot be saved is in force and is accepted all the same:
// the service is informed, and a restart uses the version that was saved before.
func (f *Follower) HandleSaveResult(v Version, reason string) {
	if f.phase != saving || v != f.offer.Version {
		return
	}
	if f.saved = reason == ""; !f.saved {
		f.actions.Log(fmt.Sprintf("version %d not saved, a restart will use the one saved before: %s", v, reason))
	}
	f.accept()
}

func (f *Follower) accept() {
	saved := f.saved
	f.respond(func(nonce string) { f.actions.Accept(nonce, saved) })
}

func (f *Follower) refuse(reason string) {
	if f.refused != f.offer.VersionRef {
		f.actions.Log(fmt.Sprintf("version %d refused, %d stays in force: %s", f.offer.Version, f.current.Version, reason))
	}
	f.refused, f.refusal = f.offer.VersionRef, reason
	v := f.offer.Version
	f.respond(func(nonce string) { f.actions.Refuse(nonce, v, reason) })
}

// requestFull answers an offer whose changes do not fit. It neither accepts nor refuses the version.
func (f *Follower) requestFull(nonce string) {
	f.respond(func(string) { f.actions.RequestFull(nonce) })
}

// respond sends the answer to the current offer, and goes on with the pending one.
func (f *Follower) respond(send func(nonce string)) {
	f.phase = idle
	if nonce := f.offer.Nonce; !f.orphaned && f.connected {
		f.answeredNonce, f.resend = nonce, func() { send(nonce) }
		send(nonce)
	} else if f.connected { // the offer's stream was replaced by another: report the state there
		f.actions.SendStatus(f.current, f.refused.Version, f.saved, true)
	}
	if f.hasPending {
		f.hasPending = false
		f.process(f.pending)
	}
}
