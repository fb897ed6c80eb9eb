// Package console is the terminal user interface of operators. It shows what a
// gateway's control socket reports and orders drains by key. View renders a State,
// and State.HandleKey changes it or returns an action to perform. Neither uses a
// terminal or a socket; Run connects them.
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

// Screen is one of the screens of the console.
type Screen int

// Screens in the order of their keys, 1 to 4.
const (
	Bricks Screen = iota
	Volumes
	Requests
	Events
)

var screenNames = []string{"bricks", "volumes", "requests", "events"}

// State holds everything that the console shows.
type State struct {
	Width, Height int
	Screen        Screen
	Help          bool
	SelectedRow   int    // selected row of the bricks; first visible row on other screens
	LinkError     string // error of the connection; "" while connected
	Snapshot      *control.Snapshot
	Running       []control.RunningRequest
	Events        []control.Event
	Rates         []float64            // requests completed per second, one value per snapshot
	Utils         map[string][]float64 // utilization by brick, one value per snapshot
	Confirmation  *Confirmation
	Note          string // result of the last command
	WatchedBrick  string // brick whose drain is shown in Note until it is idle
}

// Confirmation is an order that waits to be confirmed by a key.
type Confirmation struct {
	Brick               string
	Kind                drains.Kind
	Cost                *drains.Cost // nil until it is known
	OutstandingRequests int
}

// maxHistory bounds the values of a history. It covers five minutes, with a snapshot
// every 500 ms.
const maxHistory = 600

// Update adds the events and the snapshot of a response to the state.
func (s *State) Update(response *control.Response) {
	for _, e := range response.Events {
		if n := len(s.Events); n == 0 || e.Number > s.Events[n-1].Number {
			s.Events = append(s.Events, e)
		}
	}
	if n := len(s.Events); n > 1000 {
		s.Events = slices.Delete(s.Events, 0, n-1000)
	}
	if response.Snapshot == nil {
		return
	}
	if old := s.Snapshot; old != nil && response.Snapshot.At > old.At && response.Snapshot.Host == old.Host {
		ended := func(snapshot *control.Snapshot) float64 {
			return float64(snapshot.Served + snapshot.Refused + snapshot.Failed)
		}
		s.Rates = appendHistory(s.Rates, (ended(response.Snapshot)-ended(old))/(float64(response.Snapshot.At-old.At)/1e6))
	}
	s.Snapshot = response.Snapshot
	if s.Utils == nil {
		s.Utils = map[string][]float64{}
	}
	for _, b := range response.Snapshot.Bricks {
		s.Utils[b.Status.Brick] = appendHistory(s.Utils[b.Status.Brick], max(0, b.Util))
		if b.Status.Brick == s.WatchedBrick {
			s.Note = fmt.Sprintf("%s is %s: %d requests out", s.WatchedBrick, b.State, b.OutstandingRequests)
			if b.OutstandingRequests == 0 {
				s.Note = fmt.Sprintf("%s is %s and idle", s.WatchedBrick, b.State)
				s.WatchedBrick = ""
			}
		}
	}
	s.SelectedRow = min(s.SelectedRow, max(0, s.rowCount()-1))
}

// appendHistory appends a value and drops the oldest one beyond maxHistory.
func appendHistory(list []float64, v float64) []float64 {
	if len(list) >= maxHistory {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

// rowCount returns the number of rows in the list of the screen.
func (s *State) rowCount() int {
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

// sortedBricks returns the bricks in the order of the screen, by name.
func (s *State) sortedBricks() []control.BrickStatus {
	if s.Snapshot == nil {
		return nil
	}
	list := slices.Clone(s.Snapshot.Bricks)
	slices.SortFunc(list, func(a, b control.BrickStatus) int { return cmp.Compare(a.Status.Brick, b.Status.Brick) })
	return list
}

// SelectedBrick returns the brick under the cursor. The second result is false if
// there is none.
func (s *State) SelectedBrick() (control.BrickStatus, bool) {
	list := s.sortedBricks()
	if s.Screen != Bricks || s.SelectedRow >= len(list) {
		return control.BrickStatus{}, false
	}
	return list[s.SelectedRow], true
}

// Action is what the caller must do after a key. The zero Action requires nothing.
type Action struct {
	Quit         bool
	FetchCost    string // brick whose drain cost is to be fetched
	Order        *drains.Order
	FetchRunning bool // fetch the running requests
}

// HandleKey handles a key, given by its bubbletea name.
func (s *State) HandleKey(key string) Action {
	if key == "ctrl+c" {
		return Action{Quit: true}
	}
	if s.Confirmation != nil {
		return s.answerConfirmation(key)
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
		s.SelectedRow = min(max(0, s.rowCount()-1), s.SelectedRow+1)
	case "d", "u":
		return s.openConfirmation(key)
	}
	return Action{}
}

// openConfirmation asks to confirm a drain or an undrain of the selected brick.
func (s *State) openConfirmation(key string) Action {
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

// answerConfirmation handles the key that answers a confirmation: y, or f if data
// would become unreachable. Any other key cancels.
func (s *State) answerConfirmation(key string) Action {
	confirmation := s.Confirmation
	force := key == "f"
	s.Confirmation = nil
	switch {
	case confirmation.Kind == drains.Drain && confirmation.Cost == nil: // a drain cannot be confirmed before its cost is known
		s.Note = "nothing was ordered"
		return Action{}
	case key == "y" && (confirmation.Kind == drains.Undrain || !confirmation.Cost.Unreachable), force && confirmation.Kind == drains.Drain:
		if confirmation.Kind == drains.Drain {
			s.WatchedBrick = confirmation.Brick
		}
		s.Note = fmt.Sprintf("ordering to %s %s", confirmation.Kind, confirmation.Brick)
		return Action{Order: &drains.Order{Kind: confirmation.Kind, Brick: confirmation.Brick, Force: force}}
	}
	s.Note = "nothing was ordered"
	return Action{}
}

// Minimum size of the terminal, at which the tables fit.
const (
	minWidth  = 80
	minHeight = 24
)

// View renders the state as Height lines of at most Width columns, without colour.
func View(s *State) string {
	if s.Width < minWidth || s.Height < minHeight {
		return fmt.Sprintf("the console needs %dx%d, this terminal is %dx%d; q quits", minWidth, minHeight, s.Width, s.Height)
	}
	lines := s.header()
	maxLines := s.Height - len(lines) - 2
	var body []string
	switch {
	case s.Help:
		body = helpLines
	case s.Snapshot == nil:
		body = []string{"", "  nothing is known of the gateway yet"}
	case s.Screen == Bricks:
		body = s.bricks(maxLines)
	case s.Screen == Volumes:
		body = s.volumes()
	case s.Screen == Requests:
		body = s.requests()
	default:
		body = s.events(maxLines)
	}
	if len(body) > maxLines {
		body = body[:maxLines]
	}
	lines = append(lines, body...)
	for len(lines) < s.Height-2 {
		lines = append(lines, "")
	}
	lines = append(lines, s.prompt(), "1 bricks  2 volumes  3 requests  4 events  d drain  u undrain  ? help  q quit")
	for i := range lines {
		lines[i] = truncateLine(lines[i], s.Width)
	}
	return strings.Join(lines, "\n")
}

// truncateLine shortens a line to width columns and marks the cut by an ellipsis.
func truncateLine(line string, width int) string {
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
	snapshot := s.Snapshot
	return []string{title + "   host " + snapshot.Host,
		fmt.Sprintf("taken %d  served %d  refused %d  failed %d  queued %d  sent %d  connections %d  bodies %d KiB",
			snapshot.Accepted, snapshot.Served, snapshot.Refused, snapshot.Failed, snapshot.Queued, snapshot.Sent, snapshot.Connections, (snapshot.BodyMemoryBytes+snapshot.SpoolBytes)>>10),
		fmt.Sprintf("requests a second %8.0f  %s", lastValue(s.Rates), Sparkline(s.Rates, 40)), ""}
}

func lastValue(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1]
}

// Sparkline renders the last width values as bars, scaled to the highest of them.
func Sparkline(list []float64, width int) string {
	bars := []rune("▁▂▃▄▅▆▇█")
	list = list[max(0, len(list)-width):]
	maxValue := 0.0
	for _, v := range list {
		maxValue = max(maxValue, v)
	}
	out := make([]rune, 0, len(list))
	for _, v := range list {
		i := 0
		if maxValue > 0 {
			i = int(max(0, v) / maxValue * float64(len(bars)-1))
		}
		out = append(out, bars[i])
	}
	return string(out)
}

func (s *State) bricks(maxLines int) []string {
	out := []string{"  brick            state     util last min  queue  out units/cap     p50     p99 failed"}
	list := s.sortedBricks()
	first := max(0, s.SelectedRow-(maxLines-4))
	for i, b := range list[first:] {
		cursor := "  "
		if first+i == s.SelectedRow {
			cursor = "> "
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
		out = append(out, fmt.Sprintf("%s%-16.16s %-8.8s %s %-8s %6s %4d %5.1f/%-4.1f %7s %7s %6d", cursor, b.Status.Brick, state, util,
			Sparkline(s.Utils[b.Status.Brick], 8), formatDuration(time.Duration(b.QueueUS)*time.Microsecond), b.OutstandingRequests, b.OutstandingUnits, b.Cap, formatDuration(b.P50), formatDuration(b.P99), sumCounts(b.Failed)))
	}
	if b, ok := s.SelectedBrick(); ok {
		out = append(out, "", "  "+s.brickDetails(b))
	}
	return out
}

// brickDetails returns the details of a brick that do not fit into its row.
func (s *State) brickDetails(b control.BrickStatus) string {
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

// sumCounts returns the sum of all counts.
func sumCounts(counts map[string]uint64) (n uint64) {
	for _, v := range counts {
		n += v
	}
	return n
}

// formatDuration formats a duration with the unit that suits it; 0 is "-".
func formatDuration(d time.Duration) string {
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
			out = append(out, fmt.Sprintf("  %-30.30s %-5.5s %8s %-7.7s %-16.16s %5d", r.ID, r.Class, formatDuration(time.Duration(r.AgeUS)*time.Microsecond), r.Stage, r.Brick, r.Attempts))
		}
	}
	return out
}

func (s *State) events(maxLines int) []string {
	out := []string{"  number  time          kind      what"}
	from := max(0, len(s.Events)-(maxLines-1)-s.SelectedRow)
	for _, e := range s.Events[from:max(from, len(s.Events)-s.SelectedRow)] {
		out = append(out, fmt.Sprintf("  %6d  %s  %-8.8s  %s", e.Number, time.UnixMicro(e.At).Format("15:04:05.000"), e.Kind, e.Text))
	}
	return out
}

// prompt returns the pending confirmation, or the note if there is none.
func (s *State) prompt() string {
	confirmation := s.Confirmation
	switch {
	case confirmation == nil:
		return s.Note
	case confirmation.Kind == drains.Undrain:
		return fmt.Sprintf("undrain %s? y takes the drain by hand back, any other key does nothing", confirmation.Brick)
	case confirmation.Cost == nil:
		return fmt.Sprintf("drain %s? asking what it costs ...", confirmation.Brick)
	case confirmation.Cost.Unreachable:
		volumes := "no collection is known to have data there"
		if len(confirmation.Cost.Volumes) > 0 {
			volumes = strings.Join(confirmation.Cost.Volumes, ", ")
		}
		return fmt.Sprintf("drain %s? %d out; OUT OF REACH: %s. f drains all the same", confirmation.Brick, confirmation.OutstandingRequests, volumes)
	}
	return fmt.Sprintf("drain %s? %d requests out may end, shard %d goes on elsewhere. y drains", confirmation.Brick, confirmation.OutstandingRequests, confirmation.Cost.Shard)
}

var helpLines = []string{
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
