package host

import (
	"time"

	"arrowwalk"
	"arrowwalk/internal/stall"
)

// minSuspendingStall is the shortest stall after which the node list counts as outdated.
// What changed in a shorter one is learned in time, within the grace of a drain.
const minSuspendingStall = 250 * time.Millisecond

// ListSource is where node lists come from, if the host has to ask for them.
type ListSource interface {
	// ReadAgain asks for the list to be read again, because this process was stalled
	// from start on and the last list may be outdated. The host sends nothing until
	// ConfirmLists is called for a later reading. It returns false if the source had
	// been out of reach before. It must not block.
	ReadAgain(start time.Time) bool
}

// SetListSource sets the source that is asked after a stall. Without one the last list
// counts as current. Call it before the first task.
func (h *Host) SetListSource(s ListSource) {
	h.loopMu.Lock()
	h.loop.listSource = s
	h.loopMu.Unlock()
}

// ConfirmLists reports that a source of node lists was read at a time, and that all that
// it said was handed over with Nodes.
func (h *Host) ConfirmLists(readAt time.Time) {
	h.post(message{listsReadAt: readAt})
}

// suspendMembers makes the module send nothing to any node after a stall, until the node
// list has been read again. The caller holds h.loopMu and steps the module.
func (h *Host) suspendMembers(ended stall.Stall) {
	l := &h.loop
	length := time.Duration(ended.End-ended.Start) * time.Microsecond
	if l.listSource == nil || length < minSuspendingStall {
		return
	}
	now := time.Now()
	if !l.listSource.ReadAgain(h.startTime.Add(time.Duration(ended.Start-h.startMicros) * time.Microsecond)) {
		return
	}
	h.log.Warn("host process stalled, the node list is read again before anything is sent", "for", length.Round(time.Millisecond))
	l.suspendedAt = now
	l.events = append(l.events, l.memberList())
}

// resumeMembers applies a reading of the node list. It returns the event for the module,
// or nil if there is none.
func (l *loop) resumeMembers(readAt time.Time) arrowwalk.Event {
	if l.suspendedAt.IsZero() || readAt.Before(l.suspendedAt) {
		return nil
	}
	l.suspendedAt = time.Time{}
	return l.memberList()
}

// memberList returns the node list that the module has to have now.
func (l *loop) memberList() *arrowwalk.NodeList {
	list := &arrowwalk.NodeList{Kind: arrowwalk.ListDelta, Version: l.listVersion}
	for _, member := range l.members {
		list.Nodes = append(list.Nodes, member.Node)
	}
	l.suspendNodes(list)
	return list
}

// suspendNodes makes the nodes of a list draining while the members are suspended.
func (l *loop) suspendNodes(list *arrowwalk.NodeList) {
	if l.suspendedAt.IsZero() {
		return
	}
	for i := range list.Nodes {
		if list.Nodes[i].State == arrowwalk.Ready {
			list.Nodes[i].State = arrowwalk.Draining
		}
	}
}
