package brick

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"arrowwalk"
)

// Identity identifies a run of a brick.
type Identity struct {
	Name    string
	Started int64 // microseconds since 1970
}

// ParseIdentity parses the value of HeaderBrick, ID@STARTED.
func ParseIdentity(text string) (Identity, bool) {
	name, started, ok := strings.Cut(text, "@")
	at, err := strconv.ParseInt(started, 10, 64)
	return Identity{name, at}, ok && err == nil && name != "" && at >= 0
}

// Identify returns the identity of the brick at address. It requests a blob that
// never exists, so the brick does no work. A brick whose name is not name
// rejects the request, and Identify returns an error.
func (p *Pool) Identify(at *Attempt, address, name string, deadline time.Time) (Identity, error) {
	var resp Response
	err := p.Do(at, address, &Request{Method: "HEAD", Space: SpaceProbe, Name: "who", RequestID: "probe", Expect: name, Deadline: deadline}, &resp)
	if err != nil {
		return Identity{}, err
	}
	resp.Release(p, resp.Body.Drain(maxDrainBytes))
	id, ok := ParseIdentity(resp.Brick)
	if !ok || id.Name != name {
		return id, newFailure(arrowwalk.Unreachable, ReasonWrongBrick, errors.New("identifies itself as "+resp.Brick))
	}
	return id, nil
}
