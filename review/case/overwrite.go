//go:build review

package main

import (
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"regexp"
	"sync"
	"time"
)

const (
	objectBytes = 2500 << 10 // three pieces
	slowAnswer  = 300 * time.Millisecond
	behind      = 3 * time.Second // for what the gateway does behind its answers
	readTries   = 4               // of each object, a second apart
)

// object keys of the three groups, each of which is overwritten in another way.
var (
	leftKeys     = []string{"thesis-left-1", "thesis-left-2", "thesis-left-3", "thesis-left-4"}
	completeKeys = []string{"thesis-parts-1", "thesis-parts-2"}
	quietKeys    = []string{"thesis-quiet-1", "thesis-quiet-2", "thesis-quiet-3", "thesis-quiet-4"}
)

// stored is an object of the run with every content that it may have.
type stored struct {
	key  string
	may  [][]byte
	told string // what its clients were told
}

// overwrites is the state of playOverwrite.
type overwrites struct {
	*gatewaySite
	trouble bool
	mu      sync.Mutex
	objects []*stored
}

// playOverwrite stores objects, overwrites each of them and reads them again.
// With the trouble, the clients of the first group leave while the last write of
// their request is at a slow brick; in the second group a client leaves while its
// multipart upload is completed, another client overwrites the object, and the
// first one repeats its complete; for the third group the bricks go quiet at the
// last write of each request. Whatever becomes of an overwrite, the object must be there, with its
// old bytes or its new ones.
func playOverwrite(rec *recorder, trouble bool) ([]string, error) {
	site, err := newGatewaySite(rec)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		return nil, err
	}
	o := &overwrites{gatewaySite: site, trouble: trouble}
	if a := o.request("PUT", "/papers", nil, nil); a.status != 200 {
		return nil, fmt.Errorf("create the bucket: %d %v", a.status, a.err)
	}
	for _, key := range leftKeys {
		if err := o.overwriteAndLeave(key); err != nil {
			return nil, err
		}
	}
	for i, key := range completeKeys {
		if err := o.completeTwice(key, byte('a'+i)); err != nil {
			return nil, err
		}
	}
	if err := o.overwriteQuietly(); err != nil {
		return nil, err
	}
	time.Sleep(behind)
	var found []string
	var readers sync.WaitGroup
	for _, object := range o.objects {
		readers.Go(func() {
			if text, lost := o.readBack(object); lost {
				o.mu.Lock()
				found = append(found, text)
				o.mu.Unlock()
			}
		})
	}
	readers.Wait()
	return found, nil
}

func target(key string) string { return "/papers/" + key }

func content(c byte) []byte { return bytes.Repeat([]byte{c}, objectBytes) }

// put stores an object, which must be answered with 200 and be read back.
func (o *overwrites) put(key string, body []byte) error {
	a := o.request("PUT", target(key), body, nil)
	b := o.request("GET", target(key), nil, nil)
	o.rec.at(time.Now(), "client: PUT %s, %q...: %d; GET: %d, %d bytes, as put %v", key, body[:1], a.status, b.status, len(b.body), bytes.Equal(b.body, body))
	if a.status != 200 || b.status != 200 || !bytes.Equal(b.body, body) {
		return fmt.Errorf("%s was not stored: %d, then %d", key, a.status, b.status)
	}
	return nil
}

// remember notes an object with the contents that it may have from now on.
func (o *overwrites) remember(key, told string, may ...[]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects = append(o.objects, &stored{key: key, may: may, told: told})
}

// slowDown makes the bricks slow for writes of objects. The returned channel is
// closed when the next such write of this key has passed a proxy.
func (o *overwrites) slowDown(key string) chan struct{} {
	passed := make(chan struct{})
	var once sync.Once
	for _, p := range o.proxies {
		p.set(slowAnswer, false)
		write := p.awaitWrite(key)
		go func() {
			<-write
			once.Do(func() { close(passed) })
		}()
	}
	return passed
}

// recover makes the bricks answer at once again.
func (o *overwrites) recover() {
	for _, p := range o.proxies {
		p.set(0, false)
	}
}

// overwriteAndLeave overwrites an object; its client leaves before the answer.
func (o *overwrites) overwriteAndLeave(key string) error {
	old, next := content('o'), content('n')
	if err := o.put(key, old); err != nil {
		return err
	}
	var leave chan struct{}
	if o.trouble {
		leave = o.slowDown(key)
		defer o.recover()
	}
	a := o.request("PUT", target(key), next, leave)
	o.rec.say("client: PUT %s again: status %d (0: none)", key, a.status)
	o.remember(key, fmt.Sprintf("200 for the first PUT, status %d for the second", a.status), old, next)
	return nil
}

// overwriteQuietly overwrites the objects of the third group at once; the bricks
// go quiet.
func (o *overwrites) overwriteQuietly() error {
	old, next := content('o'), content('n')
	for _, key := range quietKeys {
		if err := o.put(key, old); err != nil {
			return err
		}
	}
	for _, p := range o.proxies {
		p.set(0, o.trouble)
	}
	defer o.recover()
	var clients sync.WaitGroup
	for _, key := range quietKeys {
		clients.Go(func() {
			a := o.request("PUT", target(key), next, nil)
			o.rec.say("client: PUT %s again: status %d", key, a.status)
			o.remember(key, fmt.Sprintf("200 for the first PUT, status %d for the second", a.status), old, next)
		})
	}
	clients.Wait()
	return nil
}

var uploadID = regexp.MustCompile("<UploadId>(.*?)</UploadId>")

// completeTwice uploads an object in two parts. Its client leaves while it
// completes the upload, and completes it once more after another client has
// overwritten the object.
func (o *overwrites) completeTwice(key string, c byte) error {
	a := o.request("POST", target(key)+"?uploads=", nil, nil)
	id := uploadID.FindSubmatch(a.body)
	if a.status != 200 || id == nil {
		return fmt.Errorf("create the upload of %s: %d", key, a.status)
	}
	var whole []byte
	list := "<CompleteMultipartUpload>"
	for number, size := range []int{5 << 20, 1 << 20} {
		part := bytes.Repeat([]byte{c + byte(number)}, size)
		at := fmt.Sprintf("%s?partNumber=%d&uploadId=%s", target(key), number+1, id[1])
		if a := o.request("PUT", at, part, nil); a.status != 200 {
			return fmt.Errorf("part %d of %s: %d", number+1, key, a.status)
		}
		sum := md5.Sum(part)
		list += fmt.Sprintf("<Part><PartNumber>%d</PartNumber><ETag>%s</ETag></Part>", number+1, hex.EncodeToString(sum[:]))
		whole = append(whole, part...)
	}
	complete := func(leave chan struct{}) int {
		a := o.request("POST", fmt.Sprintf("%s?uploadId=%s", target(key), id[1]), []byte(list+"</CompleteMultipartUpload>"), leave)
		return a.status
	}
	var leave chan struct{}
	if o.trouble {
		leave = o.slowDown(key)
	}
	first := complete(leave)
	time.Sleep(time.Second)
	o.recover()
	other := content('x')
	if err := o.put(key, other); err != nil {
		return err
	}
	time.Sleep(time.Second)
	again := 0
	if o.trouble {
		again = complete(nil)
	}
	o.rec.say("client: complete of %s: status %d (0: none); another client's PUT: 200; complete again: status %d (0: not sent)", key, first, again)
	o.remember(key, fmt.Sprintf("status %d for the complete, 200 for another client's PUT, %d for the complete again", first, again), whole, other)
	return nil
}

// readBack reads an object up to readTries times. It reports whether it never
// came whole with one of the contents that it may have.
func (o *overwrites) readBack(object *stored) (string, bool) {
	var a answer
	for range readTries {
		a = o.request("GET", target(object.key), nil, nil)
		o.rec.at(time.Now(), "client: GET %s: status %d, %d bytes, %v", object.key, a.status, len(a.body), a.err)
		for _, may := range object.may {
			if a.status == 200 && a.err == nil && bytes.Equal(a.body, may) {
				return "", false
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Sprintf("%s (%s) cannot be read any more: status %d in each of %d tries", object.key, object.told, a.status, readTries), true
}
