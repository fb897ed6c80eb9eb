package prove

import (
	"bytes"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/standin/clients"
)

// think is how long a client waits between two requests.
const think = 40 * time.Millisecond

// actor is one scripted client of the day.
type actor struct {
	d    *day
	c    *clients.Client
	name string
	rnd  *rand.Rand
	stop <-chan struct{}
	n    int
}

// startClients starts all clients of the day; they run until stop closes.
func (d *day) startClients(stop <-chan struct{}, wg *sync.WaitGroup) {
	kinds := []struct {
		name string
		many int
		turn func(a *actor)
	}{
		{"reader", 4, (*actor).read}, {"writer", 3, (*actor).write}, {"sharer", 2, (*actor).writeShared}, {"hasty", 2, (*actor).writeHasty},
		{"big", 1, (*actor).readBig}, {"capped", 2, (*actor).readCapped}, {"uploader", 1, (*actor).upload},
		{"slow", 1, (*actor).readSlowly}, {"leaver", 2, (*actor).leave}, {"pauser", 1, (*actor).pause},
	}
	for host, g := range d.gateways {
		for _, k := range kinds {
			for i := range k.many {
				name := fmt.Sprintf("%s-%d-%d", k.name, host, i)
				a := &actor{d: d, name: name, stop: stop, rnd: rand.New(rand.NewSource(d.opt.Seed + int64(len(name)*1000+host*100+i))),
					c: &clients.Client{Name: name, Target: g.target, Log: d.log}}
				wg.Add(1)
				go func() {
					defer wg.Done()
					a.run(k.turn)
				}()
			}
		}
	}
}

// run takes turns until the day is over.
func (a *actor) run(turn func(a *actor)) {
	defer a.c.Close()
	tick := time.NewTicker(think)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-tick.C:
			a.n++
			turn(a)
		}
	}
}

// rest waits as a refusal asks, or until the day is over.
func (a *actor) rest(by time.Duration) {
	t := time.NewTimer(by)
	defer t.Stop()
	select {
	case <-a.stop:
	case <-t.C:
	}
}

func (a *actor) read() {
	key := fmt.Sprintf("/theses/source/%02d", a.rnd.Intn(daySmall))
	want := a.d.objects[key]
	r := &clients.Request{Method: "GET", Path: key, Wait: readWait, Want: want}
	if a.rnd.Intn(3) == 0 && len(want) > 10 {
		from := a.rnd.Intn(len(want) - 1)
		to := from + a.rnd.Intn(len(want)-from)
		r.Fields = append(r.Fields, field("Range", fmt.Sprintf("bytes=%d-%d", from, to)))
		r.Want = want[from : to+1]
	}
	if ans := a.c.Do(r); ans.Call.Status == 503 && a.rnd.Intn(2) == 0 {
		a.rest(ans.After() / 4) // half of them wait, and not as long as they should
	}
}

func (a *actor) readBig() {
	from := a.rnd.Intn(dayBig - 1<<20)
	want := a.d.big[from:]
	a.c.Do(&clients.Request{Method: "GET", Path: "/theses/big", Wait: readWait, Want: want,
		Fields: fields("Range", fmt.Sprintf("bytes=%d-", from))})
}

func (a *actor) readSlowly() {
	a.c.Do(&clients.Request{Method: "GET", Path: "/theses/big", Wait: readWait, Want: a.d.big,
		ReadBytes: 500 + a.rnd.Intn(2000), ReadEvery: 10 * time.Millisecond, ReadMost: 20_000 + a.rnd.Intn(40_000)})
}

// readCapped asks for more than the collection's limit allows.
func (a *actor) readCapped() {
	key := fmt.Sprintf("/capped/%s", a.name)
	if a.n == 1 {
		a.store(key, made{int64(a.n), 2000})
		return
	}
	a.c.Do(&clients.Request{Method: "GET", Path: key, Wait: readWait})
}

// store writes an object and remembers what the client knows of it.
func (a *actor) store(key string, of made) {
	ans := a.c.Do(&clients.Request{Method: "PUT", Path: key, Body: of.bytes(), Wait: writeWait})
	a.know(key, of, &ans)
}

func (a *actor) know(key string, of made, ans *clients.Answer) {
	d := a.d
	d.mu.Lock()
	defer d.mu.Unlock()
	switch ans.Call.Status {
	case 200:
		d.stored[key] = of
		delete(d.unsure, key)
	case 503, 403: // it did not happen
	default:
		d.unsure[key] = true
	}
}

func (a *actor) write() {
	a.store(fmt.Sprintf("/theses/%s/%d", a.name, a.n), made{int64(a.n), 1 + a.rnd.Intn(40<<10)})
}

// writeHasty waits for a second only, so that writes go on beside a brick that
// says nothing.
func (a *actor) writeHasty() {
	key, of := fmt.Sprintf("/theses/%s/%d", a.name, a.n), made{int64(a.n), 1 + a.rnd.Intn(4<<10)}
	ans := a.c.Do(&clients.Request{Method: "PUT", Path: key, Body: of.bytes(), Wait: time.Second})
	a.know(key, of, &ans)
}

// writeShared writes objects that others write through the same host too.
func (a *actor) writeShared() {
	key := fmt.Sprintf("/theses/shared/%d/%d", a.c.Target.Host, a.n%2)
	a.d.mu.Lock()
	a.d.unsure[key] = true // the last writer is not known
	a.d.mu.Unlock()
	a.c.Do(&clients.Request{Method: "PUT", Path: key, Body: []byte(a.name), Wait: writeWait})
}

// upload stores an object in two parts.
func (a *actor) upload() {
	key, of := fmt.Sprintf("/theses/%s/%d", a.name, a.n), made{int64(a.n), 5<<20 + 1000}
	if ans, ok := multipart(a.c, key, of.bytes()); ok {
		a.know(key, of, &ans)
	}
}

// multipart stores body in two parts, the first of the least size that parts
// may have. It returns the answer to the completion; false: it came not so far.
func multipart(c *clients.Client, key string, body []byte) (clients.Answer, bool) {
	ans := c.Do(&clients.Request{Method: "POST", Path: key, Query: query("uploads", ""), Wait: writeWait})
	id, err := ans.Text("UploadId")
	if ans.Call.Status != 200 || err != nil {
		return ans, false
	}
	list := "<CompleteMultipartUpload>"
	for i, part := range [][]byte{body[:5<<20], body[5<<20:]} {
		for range 3 {
			ans = c.Do(&clients.Request{Method: "PUT", Path: key, Body: part, Wait: writeWait,
				Query: query("partNumber", fmt.Sprint(i+1), "uploadId", id)})
			if ans.Call.Status == 200 {
				break
			}
		}
		if ans.Call.Status != 200 {
			return ans, false
		}
		list += fmt.Sprintf("<Part><PartNumber>%d</PartNumber><ETag>%s</ETag></Part>", i+1, ans.Fields.Get("ETag"))
	}
	ans = c.Do(&clients.Request{Method: "POST", Path: key, Query: query("uploadId", id), Wait: writeWait,
		Body: []byte(list + "</CompleteMultipartUpload>")})
	return ans, true
}

// leave hangs up: in the middle of its upload, while it waits, or while the
// answer comes.
func (a *actor) leave() {
	key := fmt.Sprintf("/theses/%s/%d", a.name, a.n)
	body := bytes.Repeat([]byte("leave "), 20_000)
	switch a.n % 3 {
	case 0:
		a.c.Do(&clients.Request{Method: "PUT", Path: key, Body: body, HangUpAfter: 1 + a.rnd.Intn(len(body)-1)})
	case 1:
		a.c.Do(&clients.Request{Method: "PUT", Path: key, Body: body, HangUpWait: time.Duration(1+a.rnd.Intn(30)) * time.Millisecond, Wait: writeWait})
	default:
		a.c.Do(&clients.Request{Method: "GET", Path: "/theses/big", Wait: readWait, Want: a.d.big, ReadBytes: 10_000,
			ReadEvery: time.Millisecond, ReadMost: 20_000})
	}
}

// pause stops in the middle of an upload for a while.
func (a *actor) pause() {
	key := fmt.Sprintf("/theses/%s/%d", a.name, a.n)
	of := made{int64(a.n), 100_000}
	ans := a.c.Do(&clients.Request{Method: "PUT", Path: key, Body: of.bytes(), Pause: 300 * time.Millisecond, Wait: writeWait})
	a.know(key, of, &ans)
}

func field(name, value string) http1.Field { return http1.Field{Name: name, Value: value} }

func fields(name, value string) http1.Fields { return http1.Fields{field(name, value)} }

// query makes parameters of names and values in turn.
func query(pairs ...string) sigv4.Query {
	var q sigv4.Query
	for i := 0; i+1 < len(pairs); i += 2 {
		q = append(q, sigv4.Param{Name: pairs[i], Value: pairs[i+1]})
	}
	return q
}
