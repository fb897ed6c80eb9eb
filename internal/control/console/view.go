// Package console is the operator's screen: what a gateway's control end tells,
// drawn as text in a terminal, with drains by a key. What is drawn follows from
// the State alone (View); keys change the State or ask for something to be done
// (Key). Neither knows a terminal or a socket; run.go joins them.
package console

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
)

// Screen is one of the console's pages.
type Screen int

// The screens, in the order of their keys 1 to 4.
const (
	Bricks Screen = iota
	Volumes
	Requests
	Events
)

var screenNames = []string{"bricks", "volumes", "requests", "events"}

// State is all that the screen shows.
type State struct {
	Width, Height int
	Screen        Screen
	Help          bool
	SelectedRow   int    // the chosen row of bricks; the first shown of the others
	LinkError     string // "" while connected, else what is wrong
	Snapshot      *control.Snapshot
	Running       []control.RunningRequest
	Events        []control.Event
	Rates         []float64            // requests ended a second, by snapshot
	Utils         map[string][]float64 // by brick, by snapshot
	Confirmation  *Confirmation
	Note          string // what the last command did
	WatchedBrick  string // brick whose drain is followed until it is idle
}

// Confirmation is a confirmation that waits for a key.
type Confirmation struct {
	Brick               string
	Kind                drains.Kind
	Cost                *drains.Cost // nil: not known yet
	OutstandingRequests int
}

const historyMost = 600 // snapshots: five minutes

// Update brings a new snapshot and events into the state.
func (s *State) Update(r *control.Response) {
	for _, e := range r.Events {
		if n := len(s.Events); n == 0 || e.Number > s.Events[n-1].Number {
			s.Events = append(s.Events, e)
		}
	}
	if n := len(s.Events); n > 1000 {
		s.Events = slices.Delete(s.Events, 0, n-1000)
	}
	if r.Snapshot == nil {
		return
	}
	if old := s.Snapshot; old != nil && r.Snapshot.At > old.At && r.Snapshot.Host == old.Host {
		ended := func(x *control.Snapshot) float64 { return float64(x.Served + x.Refused + x.Failed) }
		s.Rates = push(s.Rates, (ended(r.Snapshot)-ended(old))/(float64(r.Snapshot.At-old.At)/1e6))
	}
	s.Snapshot = r.Snapshot
	if s.Utils == nil {
		s.Utils = map[string][]float64{}
	}
	for _, b := range r.Snapshot.Bricks {
		s.Utils[b.Status.Brick] = push(s.Utils[b.Status.Brick], max(0, b.Util))
		if b.Status.Brick == s.WatchedBrick {
			s.Note = fmt.Sprintf("%s is %s: %d requests out", s.WatchedBrick, b.State, b.OutstandingRequests)
			if b.OutstandingRequests == 0 {
				s.Note = fmt.Sprintf("%s is %s and idle", s.WatchedBrick, b.State)
				s.WatchedBrick = ""
			}
		}
	}
	s.SelectedRow = min(s.SelectedRow, max(0, s.rows()-1))
}

func push(list []float64, v float64) []float64 {
	if len(list) >= historyMost {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

// rows returns how many rows the screen's list has.
func (s *State) rows() int {
	if s.Snapshot == nil {
		return 0
	}
	switch s.Screen {
	case Bricks:
		return len(s.Snapshot.Bricks)
	case Volumes:
		return len(s.Snapshot.Volumes)
	case Requests:
		return len(s.Running)
	}
	return len(s.Events)
}

// sorted returns the bricks in the order of the screen.
func (s *State) sorted() []control.BrickStatus {
	if s.Snapshot == nil {
		return nil
	}
	list := slices.Clone(s.Snapshot.Bricks)
	slices.SortFunc(list, func(a, b control.BrickStatus) int { return cmp.Compare(a.Status.Brick, b.Status.Brick) })
	return list
}

// SelectedBrick returns the brick under the cursor.
func (s *State) SelectedBrick() (control.BrickStatus, bool) {
	list := s.sorted()
	if s.Screen != Bricks || s.SelectedRow >= len(list) {
		return control.BrickStatus{}, false
	}
	return list[s.SelectedRow], true
}

// Action is what a key asks for.
type Action struct {
	Quit         bool
	FetchCost    string // ask what draining this brick would cost
	Order        *drains.Order
	FetchRunning bool // the requests that run
}

// HandleKey takes in a key, by its name as bubbletea gives it.
func (s *State) HandleKey(key string) Action {
	if key == "ctrl+c" {
		return Action{Quit: true}
	}
	if s.Confirmation != nil {
		return s.answer(key)
	}
	if s.Help {
		s.Help = false
		return Action{Quit: key == "q"}
	}
	switch key {
	case "q":
		return Action{Quit: true}
	case "?", "h":
		s.Help = true
	case "1", "2", "3", "4":
		s.Screen, s.SelectedRow = Screen(key[0]-'1'), 0
		return Action{FetchRunning: s.Screen == Requests}
	case "tab":
		s.Screen, s.SelectedRow = (s.Screen+1)%4, 0
		return Action{FetchRunning: s.Screen == Requests}
	case "up", "k":
		s.SelectedRow = max(0, s.SelectedRow-1)
	case "down", "j":
		s.SelectedRow = min(max(0, s.rows()-1), s.SelectedRow+1)
	case "d", "u":
		return s.ask(key)
	}
	return Action{}
}

func (s *State) ask(key string) Action {
	b, ok := s.SelectedBrick()
	if !ok {
		return Action{}
	}
	if key == "u" {
		s.Confirmation = &Confirmation{Brick: b.Status.Brick, Kind: drains.Undrain}
		return Action{}
	}
	s.Confirmation = &Confirmation{Brick: b.Status.Brick, Kind: drains.Drain, OutstandingRequests: b.OutstandingRequests}
	return Action{FetchCost: b.Status.Brick}
}

// answer takes in the key that answers a question: y, or f where data would be
// out of reach; any other key is a no.
func (s *State) answer(key string) Action {
	q := s.Confirmation
	force := key == "f"
	s.Confirmation = nil
	switch {
	case q.Kind == drains.Drain && q.Cost == nil: // not before its price is known
		s.Note = "nothing was ordered"
		return Action{}
	case key == "y" && (q.Kind == drains.Undrain || !q.Cost.Unreachable), force && q.Kind == drains.Drain:
		if q.Kind == drains.Drain {
			s.WatchedBrick = q.Brick
		}
		s.Note = fmt.Sprintf("ordering to %s %s", q.Kind, q.Brick)
		return Action{Order: &drains.Order{Kind: q.Kind, Brick: q.Brick, Force: force}}
	}
	s.Note = "nothing was ordered"
	return Action{}
}

// least is the smallest screen on which the tables fit.
const (
	leastWidth  = 80
	leastHeight = 24
)

// View draws the state: Height lines of at most Width columns, without colour.
func View(s *State) string {
	if s.Width < leastWidth || s.Height < leastHeight {
		return fmt.Sprintf("the console needs %dx%d, this terminal is %dx%d; q quits", leastWidth, leastHeight, s.Width, s.Height)
	}
	lines := s.header()
	room := s.Height - len(lines) - 2
	var body []string
	switch {
	case s.Help:
		body = help
	case s.Snapshot == nil:
		body = []string{"", "  nothing is known of the gateway yet"}
	case s.Screen == Bricks:
		body = s.bricks(room)
	case s.Screen == Volumes:
		body = s.volumes()
	case s.Screen == Requests:
		body = s.requests()
	default:
		body = s.events(room)
	}
	if len(body) > room {
		body = body[:room]
	}
	lines = append(lines, body...)
	for len(lines) < s.Height-2 {
		lines = append(lines, "")
	}
	lines = append(lines, s.prompt(), "1 bricks  2 volumes  3 requests  4 events  d drain  u undrain  ? help  q quit")
	for i := range lines {
		lines[i] = clip(lines[i], s.Width)
	}
	return strings.Join(lines, "\n")
}

func clip(line string, width int) string {
	r := []rune(line)
	if len(r) > width {
		return string(r[:width-1]) + "…"
	}
	return line
}

func (s *State) header() []string {
	title := "arrowwalk: " + screenNames[s.Screen]
	if s.LinkError != "" {
		title += "   NO CONNECTION: " + s.LinkError
	}
	if s.Snapshot == nil {
		return []string{title, ""}
	}
	x := s.Snapshot
	return []string{title + "   host " + x.Host,
		fmt.Sprintf("taken %d  served %d  refused %d  failed %d  queued %d  sent %d  connections %d  bodies %d KiB",
			x.Accepted, x.Served, x.Refused, x.Failed, x.Queued, x.Sent, x.Connections, (x.BodyMemoryBytes+x.SpoolBytes)>>10),
		fmt.Sprintf("requests a second %8.0f  %s", last(s.Rates), Sparkline(s.Rates, 40)), ""}
}

func last(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1]
}

// Sparkline draws the last width values as bars, the highest of them full.
func Sparkline(list []float64, width int) string {
	bars := []rune("▁▂▃▄▅▆▇█")
	list = list[max(0, len(list)-width):]
	most := 0.0
	for _, v := range list {
		most = max(most, v)
	}
	out := make([]rune, 0, len(list))
	for _, v := range list {
		i := 0
		if most > 0 {
			i = int(max(0, v) / most * float64(len(bars)-1))
		}
		out = append(out, bars[i])
	}
	return string(out)
}

func (s *State) bricks(room int) []string {
	out := []string{"  brick            state     util last min  queue  out units/cap     p50     p99 failed"}
	list := s.sorted()
	first := max(0, s.SelectedRow-(room-4))
	for i, b := range list[first:] {
		mark := "  "
		if first+i == s.SelectedRow {
			mark = "> "
		}
		state := string(b.State)
		if b.Cold && b.State == drains.Ready {
			state = "cold"
		}
		if b.QuarantinedBlocks > 0 {
			state = fmt.Sprintf("BAD %d", b.QuarantinedBlocks)
		}
		if b.Full {
			state = "FULL"
		}
		util := "   -"
		if b.Util >= 0 {
			util = fmt.Sprintf("%3.0f%%", 100*b.Util)
		}
		out = append(out, fmt.Sprintf("%s%-16.16s %-8.8s %s %-8s %6s %4d %5.1f/%-4.1f %7s %7s %6d", mark, b.Status.Brick, state, util,
			Sparkline(s.Utils[b.Status.Brick], 8), short(time.Duration(b.QueueUS)*time.Microsecond), b.OutstandingRequests, b.OutstandingUnits, b.Cap, short(b.P50), short(b.P99), total(b.Failed)))
	}
	if b, ok := s.SelectedBrick(); ok {
		out = append(out, "", "  "+s.why(b))
	}
	return out
}

// why tells of the chosen brick what does not fit into its row.
func (s *State) why(b control.BrickStatus) string {
	text := fmt.Sprintf("%s: shard %d, %s, %s, %s", b.Status.Brick, b.Shard, b.Zone, b.Address, b.Trust)
	if b.Origin != drains.ByNone {
		text += "; " + string(b.State) + " by " + string(b.Origin)
		if b.Operator != "" {
			text += " (" + b.Operator + ", " + time.UnixMicro(b.Since).Format("15:04:05") + ")"
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(b.Failed)) {
		text += fmt.Sprintf("; %s %d", reason, b.Failed[reason])
	}
	return text
}

func total(by map[string]uint64) (n uint64) {
	for _, v := range by {
		n += v
	}
	return n
}

func short(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Millisecond:
		return fmt.Sprintf("%dus", d.Microseconds())
	case d < time.Second:
		return fmt.Sprintf("%.1fms", d.Seconds()*1e3)
	}
	return fmt.Sprintf("%.2fs", d.Seconds())
}

func (s *State) volumes() []string {
	out := []string{"  collection          plan          served   refused   failed  quadrant  paced at  reserve"}
	for i, v := range s.Snapshot.Volumes {
		if i >= s.SelectedRow {
			paced := "-"
			if v.TokenRate > 0 {
				paced = fmt.Sprintf("%.1f/s", v.TokenRate)
			}
			out = append(out, fmt.Sprintf("  %-19.19s %-10.10s %9d %9d %8d  %-8s %9s %8.1f", v.Name, v.Plan, v.Served, v.Refused, v.Failed, v.Quadrant, paced, v.Reserve))
		}
	}
	return out
}

func (s *State) requests() []string {
	out := []string{"  request                        class      age stage   brick            tries"}
	for i, r := range s.Running {
		if i >= s.SelectedRow {
			out = append(out, fmt.Sprintf("  %-30.30s %-5.5s %8s %-7.7s %-16.16s %5d", r.ID, r.Class, short(time.Duration(r.AgeUS)*time.Microsecond), r.Stage, r.Brick, r.Attempts))
		}
	}
	return out
}

func (s *State) events(room int) []string {
	out := []string{"  number  time          kind      what"}
	from := max(0, len(s.Events)-(room-1)-s.SelectedRow)
	for _, e := range s.Events[from:max(from, len(s.Events)-s.SelectedRow)] {
		out = append(out, fmt.Sprintf("  %6d  %s  %-8.8s  %s", e.Number, time.UnixMicro(e.At).Format("15:04:05.000"), e.Kind, e.Text))
	}
	return out
}

func (s *State) prompt() string {
	q := s.Confirmation
	switch {
	case q == nil:
		return s.Note
	case q.Kind == drains.Undrain:
		return fmt.Sprintf("undrain %s? y takes the drain by hand back, any other key does nothing", q.Brick)
	case q.Cost == nil:
		return fmt.Sprintf("drain %s? asking what it costs ...", q.Brick)
	case q.Cost.Unreachable:
		who := "no collection is known to have data there"
		if len(q.Cost.Volumes) > 0 {
			who = strings.Join(q.Cost.Volumes, ", ")
		}
		return fmt.Sprintf("drain %s? %d out; OUT OF REACH: %s. f drains all the same", q.Brick, q.OutstandingRequests, who)
	}
	return fmt.Sprintf("drain %s? %d requests out may end, shard %d goes on elsewhere. y drains", q.Brick, q.OutstandingRequests, q.Cost.Shard)
}

var help = []string{
	"",
	"  1 2 3 4, tab   bricks, volumes, running requests, events",
	"  up down, k j   choose a brick, or scroll",
	"  d              drain the chosen brick: nothing new goes there; asks first, with its cost",
	"  u              take the drain by hand back",
	"  y, f           yes; f where data would be out of reach",
	"  q, ctrl+c      quit: the gateway goes on, and so do drains",
	"",
	"  state   ready, cold (just started), draining, gone; FULL: it has no room for writes",
	"  util    what the brick last told of its workers' time",
	"  queue   how long the module expects a request to wait there",
	"  out     requests and units of this host that are at the brick now, and the module's cap",
	"  paced   the module's token rate of a collection, units a second; - means unpaced",
	"  p50 p99 of this host's attempts there in the last one or two minutes",
	"",
	"  any key closes this page",
}
