package reclaim

import (
	"fmt"
	"slices"
	"testing"
)

// The model has one object and three sets of pieces: the one of the object at the
// beginning, one that a PUT writes, and one that a multipart upload completes, twice.
const (
	initialSet = iota
	putSet
	uploadSet
	numSets
)

const noSet = -1

// A writer sends its record write in up to maxCopies attempts, each of which may run at
// any later time. Its answer may be lost.
const maxCopies = 2

// phase is the progress of a writer.
type phase int8

const (
	beforeIntent phase = iota
	beforePieces
	beforeRecord
	waiting  // record writes were sent
	checking // reads the record
	acknowledged
	failed
)

// The writers: a PUT, two completes of one upload, and one DELETE.
const (
	putWriter = iota
	completeWriter
	repeatWriter
	deleter
	numWriters
)

// setOf returns the set of a writer.
func setOf(writer int) int {
	if writer == putWriter {
		return putSet
	}
	return uploadSet
}

// note asks for the reclamation of a set.
type note struct {
	kind Kind
	set  int8
}

// worker is a janitor's progress with a note.
type worker struct {
	active bool
	note   note
	step   Step
	named  bool
}

// state is a state of the model. It is comparable.
type state struct {
	record  int8 // the set that the object's record names, or noSet
	pieces  [numSets]bool
	unused  bool // pieces of the upload that its object does not use
	intent  bool // of the PUT
	upload  bool
	claimed bool // a complete has claimed the upload, so that it cannot be aborted
	writers [numWriters]phase
	copies  [numWriters]int8 // record writes that may still run
	answers [numWriters]int8 // 0: none; 1: stored; 2: owner missing
	notes   [3][numSets]bool // by kind
	janitor [2]worker
	applied [numSets]int8
	sending int8 // attempts of each record write
}

// guards switch off parts of the rule, to show that the model notices it.
type guards struct {
	keepOwner    bool // do not remove the intent or upload first
	ignoreRecord bool // do not look whether the record names the set
	consumeNone  bool // record writes do not consume their owner
	deleteAtOnce bool // a writer that gives up deletes its pieces
}

// scenario selects who takes part, so that each state space stays small.
type scenario struct {
	name     string
	writers  []int
	copies   int8 // attempts of each record write
	janitors int
}

var scenarios = []scenario{
	{"a put, a delete and two janitors", []int{putWriter, deleter}, maxCopies, 2},
	{"a complete, a delete and two janitors", []int{completeWriter, deleter}, maxCopies, 2},
	{"a complete, its repeat and a janitor", []int{completeWriter, repeatWriter}, maxCopies, 1},
	{"a put, a complete and a janitor", []int{putWriter, completeWriter}, maxCopies, 1},
	{"a put, a complete, its repeat and a janitor", []int{putWriter, completeWriter, repeatWriter}, 1, 1},
}

// maxStates bounds the memory of an exploration.
const maxStates = 2_000_000

func (sc *scenario) initialState() state {
	s := state{record: initialSet, upload: true, unused: true, sending: sc.copies}
	s.pieces[initialSet], s.pieces[uploadSet] = true, true
	s.applied[initialSet] = 1
	for w := range s.writers {
		if !slices.Contains(sc.writers, w) {
			s.writers[w] = failed
		}
	}
	return s
}

// name replaces what the record names and keeps a note of what it named.
func (s *state) name(set int8) {
	if s.record != noSet {
		s.notes[Record][s.record] = true
	}
	s.record = set
}

// ownerExists reports whether the owner that a writer consumes exists.
func (s *state) ownerExists(writer int) bool {
	if writer == putWriter {
		return s.intent
	}
	return s.upload
}

// applyRecordWrite runs one attempt of a record write at the brick.
func (s *state) applyRecordWrite(writer int, g guards) (answer int8) {
	if !s.ownerExists(writer) && !g.consumeNone {
		return 2
	}
	set := setOf(writer)
	if !g.consumeNone {
		if writer == putWriter {
			s.intent = false
		} else {
			s.upload, s.notes[Upload][uploadSet] = false, true
		}
	}
	if s.record != int8(set) {
		s.name(int8(set))
	}
	s.applied[set]++
	return 1
}

// successors returns all states that one step can reach from s.
func (s state) successors(g guards, janitors int) []state {
	var next []state
	add := func(change func(n *state)) {
		n := s
		change(&n)
		next = append(next, n)
	}
	for w := range numWriters {
		s.writerSteps(w, g, add)
	}
	for j := range janitors {
		s.janitorSteps(j, g, add)
	}
	return next
}

// writerSteps adds the steps of a writer and of its attempts.
func (s state) writerSteps(w int, g guards, add func(func(*state))) {
	if s.copies[w] > 0 {
		add(func(n *state) { // an attempt runs; its answer arrives unless it is lost
			n.copies[w]--
			n.applyRecordWrite(w, g)
		})
		if s.writers[w] == waiting && s.answers[w] == 0 {
			add(func(n *state) {
				n.copies[w]--
				n.answers[w] = n.applyRecordWrite(w, g)
			})
		}
	}
	to := func(p phase, change func(*state)) {
		add(func(n *state) {
			n.writers[w] = p
			if change != nil {
				change(n)
			}
		})
	}
	giveUp := func(n *state) {
		if w != putWriter {
			return // the end of the upload reclaims its pieces
		}
		if g.deleteAtOnce {
			n.pieces[putSet] = false
			return
		}
		n.notes[Intent][putSet] = true
	}
	switch s.writers[w] {
	case beforeIntent:
		switch w {
		case putWriter:
			to(beforePieces, func(n *state) { n.intent = true })
		case deleter:
			to(acknowledged, func(n *state) { n.name(noSet) })
		default:
			if s.upload {
				to(beforeRecord, func(n *state) { n.claimed = true })
			} else {
				to(failed, nil) // the upload does not exist
			}
		}
	case beforePieces:
		to(beforeRecord, func(n *state) { n.pieces[putSet] = true })
		to(failed, giveUp)
	case beforeRecord:
		to(waiting, func(n *state) { n.copies[w] = n.sending })
	case waiting:
		switch {
		case s.answers[w] == 1 && AfterWrite(Stored) == Succeed:
			to(acknowledged, nil)
		case s.answers[w] == 2 && AfterWrite(OwnerMissing) == CheckRecord:
			to(checking, nil)
		}
		if AfterWrite(Unknown) == GiveUp {
			to(failed, giveUp)
		}
	case checking:
		if int(s.record) == setOf(w) {
			to(acknowledged, nil)
		} else {
			to(failed, giveUp)
		}
	}
}

// janitorSteps adds the steps of a janitor. A janitor may also begin a reclamation
// that another one executes.
func (s state) janitorSteps(j int, g guards, add func(func(*state))) {
	job := s.janitor[j]
	if !job.active {
		for kind := range s.notes {
			for set, wanted := range s.notes[kind] {
				if wanted {
					add(func(n *state) {
						first := New(Kind(kind), set == uploadSet).Next()
						n.janitor[j] = worker{active: true, note: note{Kind(kind), int8(set)}, step: first}
					})
				}
			}
		}
		return
	}
	add(func(n *state) {
		r := &Reclamation{kind: job.note.kind, next: job.step}
		w := &n.janitor[j]
		var seen Observation
		switch job.step {
		case RemoveIntent:
			n.intent = n.intent && g.keepOwner
		case RemoveUpload:
			n.upload = n.upload && g.keepOwner
		case ReadUpload:
			seen.UploadExists = n.upload && !g.keepOwner
		case ReadRecord:
			seen.Named = n.record == job.note.set && !g.ignoreRecord
			w.named = seen.Named
		case DeleteUnnamed:
			n.pieces[job.note.set] = n.pieces[job.note.set] && job.named
			if job.note.set == uploadSet {
				n.unused = false
			}
		case Finish:
			n.notes[job.note.kind][job.note.set] = false
			*w = worker{}
			return
		}
		r.Done(seen)
		w.step = r.Next()
	})
}

// check returns what is wrong with a state, or "".
func (s state) check() string {
	if s.record != noSet && !s.pieces[s.record] {
		return fmt.Sprintf("the record names set %d, whose pieces are deleted", s.record)
	}
	for set, n := range s.applied {
		if n > 1 {
			return fmt.Sprintf("set %d was stored %d times", set, n)
		}
	}
	if s.upload && !s.pieces[uploadSet] {
		return "pieces of an upload in progress are deleted"
	}
	return ""
}

// checkEnd returns what is wrong with a state in which nothing can happen any more.
func (s state) checkEnd() string {
	for set, present := range s.pieces {
		if present && int(s.record) != set && !(set == uploadSet && s.upload) {
			return fmt.Sprintf("the pieces of set %d are left without an owner", set)
		}
	}
	if s.unused && !s.upload {
		return "pieces that the upload's object does not use are left"
	}
	return ""
}

// explore visits all reachable states of a scenario and returns their number and the
// first fault.
func (sc *scenario) explore(g guards) (states int, fault string) {
	first := sc.initialState()
	seen := map[state]bool{first: true}
	queue := []state{first}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if fault := s.check(); fault != "" {
			return len(seen), fault
		}
		next := s.successors(g, sc.janitors)
		if len(next) == 0 {
			if fault := s.checkEnd(); fault != "" {
				return len(seen), fault
			}
		}
		for _, n := range next {
			if seen[n] {
				continue
			}
			if len(seen) == maxStates {
				return len(seen), "more states than the test may hold"
			}
			seen[n] = true
			queue = append(queue, n)
		}
	}
	return len(seen), ""
}

// No interleaving of writers, a repeated complete, a delete and janitors, with attempts
// that run late or whose answers are lost, deletes pieces that are named, or leaves
// pieces without an owner.
func TestAllInterleavings(t *testing.T) {
	for _, sc := range scenarios {
		states, fault := sc.explore(guards{})
		if fault != "" {
			t.Errorf("%s: %s", sc.name, fault)
		}
		t.Logf("%s: %d states", sc.name, states)
	}
}

// The model notices each part of the rule that is left out.
func TestModelNoticesMissingGuards(t *testing.T) {
	for name, g := range map[string]guards{
		"the owner is not removed":           {keepOwner: true},
		"the record is not read":             {ignoreRecord: true},
		"a record write consumes nothing":    {consumeNone: true},
		"a failed writer deletes its pieces": {deleteAtOnce: true},
	} {
		found := ""
		for _, sc := range scenarios {
			if _, fault := sc.explore(g); fault != "" {
				found = sc.name + ": " + fault
				break
			}
		}
		if found == "" {
			t.Errorf("%s: no fault is found", name)
		}
		t.Logf("%s: %s", name, found)
	}
}
