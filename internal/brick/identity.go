package brick

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"arrowwalk"
)

// Identity is who a brick says it is in its answers.
type Identity struct {
	Name    string
	Started int64 // microseconds since 1970
}

// ParseIdentity reads HeaderBrick's ID@STARTED.
func ParseIdentity(text string) (Identity, bool) {
	name, started, ok := strings.Cut(text, "@")
	at, err := strconv.ParseInt(started, 10, 64)
	return Identity{name, at}, ok && err == nil && name != "" && at >= 0
}

// Identify asks the brick at address who it is, without any work: it is asked for a
// blob that is not there. A brick of another name refuses, and has done nothing.
func (p *Pool) Identify(at *Attempt, address, name string, deadline time.Time) (Identity, error) {
	var ans Response
	err := p.Do(at, address, &Request{Method: "HEAD", Space: SpaceProbe, Name: "who", RequestID: "probe", Expect: name, Deadline: deadline}, &ans)
	if err != nil {
		return Identity{}, err
	}
	ans.Release(p, ans.Body.Drain(smallRest))
	id, ok := ParseIdentity(ans.Brick)
	if !ok || id.Name != name {
		return id, fail(arrowwalk.Unreachable, ReasonWrongBrick, errors.New("it says it is "+ans.Brick))
	}
	return id, nil
}
