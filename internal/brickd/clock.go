package brickd

import (
	"fmt"
	"strconv"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store"
)

// appendClock appends the brick's clock.
func (s *Server) appendClock(b []byte) []byte {
	b = append(b, brick.HeaderClock...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, s.started, 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, s.blobs.Version(), 10)
	return append(b, "\r\n"...)
}

// parseSeen sets the condition of a request's HeaderSeen. Without one, from a host of an
// older version, there is none. A clock of another run is store.ErrChangedSince.
func (c *conn) parseSeen(cond *store.Condition) error {
	text, ok := c.req.Fields.Lookup(brick.HeaderSeen)
	if !ok {
		return nil
	}
	seen, err := brick.ParseClock(text)
	if err != nil {
		return fmt.Errorf("header %s: %w", brick.HeaderSeen, err)
	}
	if seen.Run != c.server.started || seen.Version == 0 {
		return store.ErrChangedSince
	}
	cond.Since = seen.Version
	return nil
}
