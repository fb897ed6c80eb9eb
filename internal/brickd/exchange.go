package brickd

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/tcpinfo"
)

// Exchange is a request as it was received, and how it was answered. Hooks and
// the logs of test bricks see it.
type Exchange struct {
	Brick           string
	Zone            string
	Started         int64     // start of the brick, microseconds since 1970
	At              time.Time // when the request was read
	EarliestArrival time.Time // earliest time at which the request may have arrived; zero if unknown
	Method          string
	Space           string
	Name            string
	List            bool
	Request         string // value of HeaderRequest
	Host            int
	Volume          uint64
	Units           float64
	Key             string
	Deadline        time.Duration
	Range           string

	Status   int       // of the response; 0 if none was sent
	Repeat   bool      // the request was dropped as a duplicate
	Stored   bool      // the store has executed a write
	Sent     int64     // bytes of the response's body
	Answered time.Time // when the last write of the response began
}

// earliestArrival returns the earliest time at which a request may have arrived,
// or the zero time if it was read promptly. Checks that use a Hook's log must not
// blame a host for the stall of a brick. The kernel reports when bytes last
// arrived; on a machine that stalled as a whole, that time may be up to 0.1 s too
// early.
func (c *conn) earliestArrival() (t time.Time) {
	if c.server.opt.Hook == nil {
		return t
	}
	if c.rawConn == nil {
		if sc, ok := c.nc.(syscall.Conn); ok {
			c.rawConn, _ = sc.SyscallConn()
		}
	}
	if age, ok := tcpinfo.LastReceiveAge(c.rawConn); ok && age >= tcpinfo.MinReliableAge {
		t = time.Now().Add(-age)
	}
	return t
}

// parseRequest parses the current request's target and protocol fields.
func (c *conn) parseRequest() (*Exchange, error) {
	c.requestID = ""
	ex := &Exchange{Brick: c.server.opt.ID, Zone: c.server.opt.Zone.Name, Started: c.server.started, At: time.Now(), EarliestArrival: c.earliestArrival(), Method: c.req.Method}
	path, query, _ := strings.Cut(c.req.Target, "?")
	path, ok := strings.CutPrefix(path, "/v1/")
	if !ok {
		return nil, fmt.Errorf("path %q: not /v1/SPACE/NAME", path)
	}
	space, name, _ := strings.Cut(path, "/")
	if space == "" || len(space) > 8 || strings.Contains(name, "/") {
		return nil, fmt.Errorf("path %q: not /v1/SPACE/NAME", path)
	}
	ex.Space, ex.List = space, query == "list" || strings.HasPrefix(query, "list&")
	var err error
	if ex.Name, err = brick.Unescape(name); err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	if ex.Name == "" && !ex.List {
		return nil, fmt.Errorf("path %q: no name", path)
	}
	for i := range c.req.Fields {
		if err := ex.parseField(&c.req.Fields[i]); err != nil {
			return nil, err
		}
	}
	c.requestID = ex.Request
	return ex, nil
}

// parseField sets the field of the exchange that a header field carries. It
// ignores unknown fields.
func (x *Exchange) parseField(f *http1.Field) (err error) {
	if len(f.Name) < 4 || f.Name[0]|32 != 'a' || f.Name[1]|32 != 'w' {
		if strings.EqualFold(f.Name, "Range") {
			x.Range = f.Value
		}
		return nil
	}
	switch {
	case strings.EqualFold(f.Name, brick.HeaderRequest):
		x.Request = f.Value
	case strings.EqualFold(f.Name, brick.HeaderKey):
		x.Key = f.Value
	case strings.EqualFold(f.Name, brick.HeaderHost):
		x.Host, err = strconv.Atoi(f.Value)
	case strings.EqualFold(f.Name, brick.HeaderVolume):
		x.Volume, err = strconv.ParseUint(f.Value, 10, 64)
	case strings.EqualFold(f.Name, brick.HeaderUnits):
		x.Units, err = strconv.ParseFloat(f.Value, 64)
		if err == nil && !(x.Units >= 0 && x.Units <= 1e9) {
			err = strconv.ErrRange
		}
	case strings.EqualFold(f.Name, brick.HeaderDeadline):
		var us int64
		us, err = strconv.ParseInt(f.Value, 10, 64)
		x.Deadline = time.Duration(us) * time.Microsecond
	}
	if err != nil {
		return fmt.Errorf("header %s: bad value %q", f.Name, f.Value)
	}
	return nil
}
