//go:build review

// Case 10: a brick flips one bit of what it has stored beside a body when it is read.
package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"arrowwalk/review/lib2"
)

const (
	wait  = 10 * time.Second
	reads = 60
	seed  = 47
)

// flipper stands in front of a brick and flips one bit of the metadata in each
// answer, while it is on.
type flipper struct {
	c    *lib2.Case
	on   atomic.Bool
	rnd  *rand.Rand // used by one answer at a time
	what atomic.Value
}

func (f *flipper) serve(nc net.Conn, brick string) {
	defer nc.Close()
	far, err := net.Dial("tcp", brick)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := nc.Read(buf)
			far.Write(buf[:n])
			if err != nil {
				far.Close()
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := far.Read(buf)
		if f.on.Load() {
			f.flip(buf[:n])
		}
		nc.Write(buf[:n])
		if err != nil {
			return
		}
	}
}

// flip flips one bit of the metadata in an answer's head.
func (f *flipper) flip(answer []byte) {
	_, rest, found := bytes.Cut(answer, []byte("\r\nAw-Meta: "))
	if !found {
		return
	}
	value, _, found := bytes.Cut(rest, []byte("\r\n"))
	meta, err := base64.RawURLEncoding.DecodeString(string(value))
	if !found || err != nil || len(meta) == 0 {
		return
	}
	i, bit := f.rnd.IntN(len(meta)), byte(1)<<f.rnd.IntN(8)
	before := meta[i]
	meta[i] ^= bit
	base64.RawURLEncoding.Encode(value, meta) // in place: its length is the same
	f.what.Store(fmt.Sprintf("byte %d of %d, %q to %q", i, len(meta), before, meta[i]))
}

func main() {
	c := lib2.Open("review/10")
	c.Start("brick-1", "brick", "--name", "brick-1", "--data", c.File("brick-1.data"), "--ready-file", c.File("brick-1.ready"))
	var at struct {
		Address string `json:"address"`
	}
	c.AwaitJSON("brick-1.ready", &at)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	f := &flipper{c: c, rnd: rand.New(rand.NewPCG(seed, seed))}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(nc, at.Address)
		}
	}()
	g := c.Serve("gateway", lib2.Settings(map[string]any{"shards": 1, "zones": []string{"zone-a"},
		"bricks":      []any{map[string]any{"name": "brick-1", "zone": "zone-a", "shard": 0, "address": ln.Addr().String()}},
		"collections": []any{map[string]any{"bucket": "papers", "plan": "basic"}}}))
	body := bytes.Repeat([]byte("a source text "), 100)
	a := g.Do("PUT", "/papers/thesis", "", map[string]string{"Content-Type": "application/pdf", "X-Amz-Meta-Collection": "university", "X-Amz-Meta-Grade": "7"}, body, wait)
	if a.Status != 200 {
		c.Cannot(fmt.Errorf("put: %s", a))
	}
	fields := []string{"Etag", "Content-Type", "Content-Length", "Last-Modified", "X-Amz-Meta-Collection", "X-Amz-Meta-Grade"}
	good := g.Do("GET", "/papers/thesis", "", nil, nil, wait)
	if good.Status != 200 || !bytes.Equal(good.Body, body) {
		c.Cannot(fmt.Errorf("get: %s", good))
	}
	f.on.Store(c.Trouble)
	failed, served := 0, 0
	for range reads {
		f.what.Store("")
		a := g.Do("GET", "/papers/thesis", "", nil, nil, wait)
		if a.Err != nil || a.Status != 200 {
			failed++
			continue
		}
		served++
		for _, name := range fields {
			if got, want := a.Header.Get(name), good.Header.Get(name); got != want {
				c.Break("a bit was flipped (%s), and the read was served (200) with %s: %q in place of %q", f.what.Load(), name, got, want)
			}
		}
		if !bytes.Equal(a.Body, body) {
			c.Break("the body differs")
		}
	}
	c.Note("%d reads: %d served, %d refused, failed or not to be read", reads, served, failed)
	c.Finish()
}
