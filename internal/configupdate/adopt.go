// Package configupdate decides what a follower of streamed configuration does with each version that it is offered: check it,
// accept it, turn it down, wait with it, or go back to one that stood before. No I/O, no goroutines, no clock; the shell
// around it does streams, files and sockets. docs/design/streamed-configuration.md has the states.
package configupdate

import "fmt"

// Version is a configuration's number. Numbers only rise; 0 is the settings that a follower was started with.
type Version uint64

// VersionRef is a version that is in force, or was turned down, by the digest of its text.
type VersionRef struct {
	Version Version
	Digest  string
}

// Offer is one response of the stream, as it came.
type Offer struct {
	VersionRef
	Nonce    string
	Base     Version // what its changes are to; 0: it is whole
	DigestOK bool    // its text, once put together, has the digest
}

// Actions is what the module acts through. Check, Apply and Keep are answered by Checked, Applied and Kept, in a later
// event.
type Actions interface {
	Check(v Version)                                            // the whole of it, against what the follower knows
	Apply(v Version)                                            // between two turns, all or nothing
	Save(v Version)                                             // on disk, as the last good one
	Accept(nonce string, kept bool)                             // tell the service; what is in force goes with it
	Refuse(nonce string, v Version, why string)                 // likewise
	RequestFull(nonce string)                                   // its changes did not fit: send all of it
	Log(text string)                                            // one line for those on call
	SendStatus(held VersionRef, refused Version, kept, up bool) // what a new stream, or one that stands (up), is told unasked
}

// phase is what is being done with the offer at work.
type phase uint8

const (
	idle phase = iota
	checking
	applying
	keeping
)

// Follower is the module of one follower.
type Follower struct {
	port    Actions
	held    VersionRef
	kept    bool // what is held is on disk
	refused VersionRef
	why     string
	up      bool // a stream stands

	work  Offer
	phase phase
	void  bool  // the stream that brought work is gone: nobody waits for the answer
	next  Offer // came while another is at work; the newest alone
	waits bool

	answered string // nonce of the last answer
	again    func() // gives it again
}

// New starts with what was found: the last good version, or none (Held{}).
func New(port Actions, held VersionRef, kept bool) *Follower {
	return &Follower{port: port, held: held, kept: kept}
}

// Current is what is in force, and whether the disk has it.
func (f *Follower) Current() (VersionRef, bool) { return f.held, f.kept }

// LastRefused is what was turned down last, and why.
func (f *Follower) LastRefused() (VersionRef, string) { return f.refused, f.why }

// HandleConnect tells of a new stream: it is told what is in force. Answers of the one before are void.
func (f *Follower) HandleConnect() {
	f.up, f.answered, f.again = true, "", nil
	f.port.SendStatus(f.held, f.refused.Version, f.kept, false)
}

// HandleDisconnect tells that the stream broke. What is at work goes on; its answer reaches the service with the next stream's
// first message.
func (f *Follower) HandleDisconnect() {
	f.up, f.void, f.waits = false, true, false
}

// HandleOffer takes a response.
func (f *Follower) HandleOffer(o Offer) {
	switch {
	case o.Nonce == f.answered && f.again != nil: // the response came twice: so does its answer, and nothing else
		f.again()
	case f.phase != idle && !f.void && o.Nonce == f.work.Nonce: // likewise; the answer comes
	case f.phase != idle && o.VersionRef == f.work.VersionRef: // a new stream brings what is at work: its answer goes there
		f.work.Nonce, f.void = o.Nonce, false
	case f.phase != idle:
		f.next, f.waits = o, true
	default:
		f.take(o)
	}
}

// take decides on an offer while none is at work.
func (f *Follower) take(o Offer) {
	f.work, f.void = o, false
	switch {
	case o.Base != 0 && o.Base != f.held.Version:
		f.askWhole(o.Nonce)
	case !o.DigestOK && o.Base != 0: // what it was put on may be at fault
		f.askWhole(o.Nonce)
	case !o.DigestOK:
		f.turnDown(fmt.Sprintf("version %d: its text has not the digest that came with it", o.Version))
	case o.VersionRef == f.held:
		f.accept()
	case o.Version == f.held.Version:
		f.turnDown(fmt.Sprintf("version %d differs from the one in force under that number: was the service's store replaced?", o.Version))
	case o.Version < f.held.Version:
		f.turnDown(fmt.Sprintf("version %d is older than %d, which is in force: was the service's store restored?", o.Version, f.held.Version))
	case o.VersionRef == f.refused:
		f.turnDown(f.why)
	case o.Digest == f.held.Digest: // it went back to what stands: only the number is new
		f.held.Version = o.Version
		f.phase = keeping
		f.port.Save(o.Version)
	default:
		f.phase = checking
		f.port.Check(o.Version)
	}
}

// HandleCheckResult tells what came of a check; an empty why: it is good.
func (f *Follower) HandleCheckResult(v Version, why string) {
	if f.phase != checking || v != f.work.Version {
		return
	}
	if why != "" {
		f.turnDown(why)
		return
	}
	f.phase = applying
	f.port.Apply(v)
}

// HandleApplyResult tells what came of it; with a why nothing of it is in force, and what stood before stands.
func (f *Follower) HandleApplyResult(v Version, why string) {
	if f.phase != applying || v != f.work.Version {
		return
	}
	if why != "" {
		f.turnDown(why)
		return
	}
	f.port.Log(fmt.Sprintf("version %d in force, before it %d", v, f.held.Version))
	f.held, f.kept = f.work.VersionRef, false
	f.phase = keeping
	f.port.Save(v)
}

// HandleSaveResult tells whether the version is on disk. One that can't be kept is in force and accepted all the same: the service
// is told, and a restart begins with the one kept before.
func (f *Follower) HandleSaveResult(v Version, why string) {
	if f.phase != keeping || v != f.work.Version {
		return
	}
	if f.kept = why == ""; !f.kept {
		f.port.Log(fmt.Sprintf("version %d not kept, a restart begins with the one kept before: %s", v, why))
	}
	f.accept()
}

func (f *Follower) accept() {
	kept := f.kept
	f.answer(func(nonce string) { f.port.Accept(nonce, kept) })
}

func (f *Follower) turnDown(why string) {
	if f.refused != f.work.VersionRef {
		f.port.Log(fmt.Sprintf("version %d turned down, %d stays in force: %s", f.work.Version, f.held.Version, why))
	}
	f.refused, f.why = f.work.VersionRef, why
	v := f.work.Version
	f.answer(func(nonce string) { f.port.Refuse(nonce, v, why) })
}

// askWhole answers changes that don't fit; it is no verdict on the version.
func (f *Follower) askWhole(nonce string) {
	f.answer(func(string) { f.port.RequestFull(nonce) })
}

// answer gives the one answer to the offer at work, and takes the one that waits.
func (f *Follower) answer(give func(nonce string)) {
	f.phase = idle
	if nonce := f.work.Nonce; !f.void && f.up {
		f.answered, f.again = nonce, func() { give(nonce) }
		give(nonce)
	} else if f.up { // its stream is gone, another stands: it learns of it at once
		f.port.SendStatus(f.held, f.refused.Version, f.kept, true)
	}
	if f.waits {
		f.waits = false
		f.take(f.next)
	}
}
