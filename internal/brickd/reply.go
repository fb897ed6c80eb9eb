package brickd

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/store"
	"arrowwalk/internal/store/record"
)

// reply is what is answered.
type reply struct {
	status   int
	text     string // body of an error
	body     []byte // body of a list
	blob     *store.Blob
	info     *store.Info // of a blob that is told of but not sent
	from     int64       // of the range
	length   int64
	size     int64 // of the whole blob
	version  uint64
	replaced *store.Info
	repeat   bool
	cut      bool // the connection ends after it
	corrupt  bool // what is stored, or came, is not what was written
	sums     []uint32
	others   float64
	fleet    float64
}

func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.EDQUOT)
}

func decodeMeta(text string) ([]byte, error) {
	if text == "" {
		return nil, nil
	}
	return base64.RawURLEncoding.DecodeString(text)
}

func appendMeta(b []byte, name string, meta []byte) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = base64.RawURLEncoding.AppendEncode(b, meta)
	return append(b, "\r\n"...)
}

func (c *conn) list(x *Exchange) *reply {
	_, query, _ := strings.Cut(c.req.Target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return &reply{status: 400, text: "query: " + err.Error()}
	}
	most, err := strconv.Atoi(values.Get("max"))
	if err != nil || most < 1 || most > 10_000 {
		return &reply{status: 400, text: fmt.Sprintf("query max: bad value %q", values.Get("max"))}
	}
	items, more := c.s.dir.List(x.Space, store.Query{
		Prefix: values.Get("prefix"), After: values.Get("after"), Delimiter: values.Get("delimiter"), MaxItems: most,
	})
	answer := brick.ListResponse{Items: make([]brick.ListItem, 0, len(items)), More: more}
	for _, it := range items {
		answer.Items = append(answer.Items, brick.ListItem{
			Name: []byte(it.Name), Meta: it.Meta, Size: it.Size, Version: it.Version, IsPrefix: it.IsPrefix,
		})
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return &reply{status: 500, text: err.Error()}
	}
	return &reply{status: 200, body: text}
}

// head appends the head of r with the given length.
func (c *conn) head(r *reply, length int64) {
	b := http1.AppendStatusLine(c.out[:0], r.status)
	b = http1.AppendField(b, brick.HeaderBrick, c.s.name)
	if c.request != "" { // an answer says to what, so that one too many is seen
		b = http1.AppendField(b, brick.HeaderRequest, c.request)
	}
	b = c.s.appendLoad(b)
	if c.s.drains.Load() {
		b = http1.AppendField(b, brick.HeaderState, "draining")
	}
	if r.version != 0 {
		b = http1.AppendIntField(b, brick.HeaderVersion, int64(r.version))
	}
	if r.blob != nil {
		b = appendMeta(b, brick.HeaderMeta, r.blob.Meta)
		if r.blob.Whole {
			b = http1.AppendField(b, brick.HeaderWhole, "1")
		}
	} else if r.info != nil {
		b = appendMeta(b, brick.HeaderMeta, r.info.Meta)
	}
	if r.replaced != nil {
		b = appendMeta(b, brick.HeaderReplaced, r.replaced.Meta)
	}
	switch r.status {
	case 206:
		b = fmt.Appendf(b, "Content-Range: bytes %d-%d/%d\r\n", r.from, r.from+r.length-1, r.size)
	case 416:
		b = fmt.Appendf(b, "Content-Range: bytes */%d\r\n", r.size)
	}
	if len(r.sums) > 0 {
		b = append(brick.AppendSums(append(b, brick.HeaderSums+": "...), r.sums), "\r\n"...)
	}
	if r.corrupt {
		b = http1.AppendField(b, brick.HeaderReason, brick.Corrupt)
	}
	if r.repeat {
		b = http1.AppendField(b, brick.HeaderRepeat, "1")
	}
	if r.others > 0 {
		b = append(append(b, brick.HeaderOthers...), ": "...)
		b = append(strconv.AppendFloat(b, r.others, 'f', 3, 64), "\r\n"...)
	}
	if r.fleet > 0 {
		b = append(append(b, brick.HeaderFleet...), ": "...)
		b = append(strconv.AppendFloat(b, r.fleet, 'f', 3, 64), "\r\n"...)
	}
	if r.cut {
		b = http1.AppendField(b, "Connection", "close")
	}
	if r.status != 204 {
		b = http1.AppendIntField(b, "Content-Length", length)
	}
	c.out = append(b, "\r\n"...)
}

// answer gives a reply that holds no blob.
func (c *conn) answer(r *reply) error {
	text := r.body
	if text == nil && r.text != "" {
		text = []byte(r.text + "\n")
	}
	if r.status == 204 {
		text = nil
	}
	c.head(r, int64(len(text)))
	if c.req.Method != "HEAD" {
		c.out = append(c.out, text...)
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.s.opt.IdleTimeout))
	if err := c.write(c.out); err != nil {
		return err
	}
	if r.cut {
		return errCut
	}
	return nil
}

// deliver gives the reply of finished work, spoilt by a scripted fault.
func (c *conn) deliver(x *Exchange, r *reply, f Fault) error {
	if f.CutAfter < 0 {
		x.Status = 0
		return errCut
	}
	if r.blob == nil {
		if err := c.answer(r); err != nil {
			return err
		}
		if f.RespondTwice {
			return c.answer(r)
		}
		return nil
	}
	err := c.sendBlob(x, r, f)
	if err == nil && f.RespondTwice {
		err = c.sendBlob(x, r, Fault{})
	}
	return err
}

// smallBody is what is read into the buffer of the head and sent with it.
const smallBody = record.BlockSize

func (c *conn) sendBlob(x *Exchange, r *reply, f Fault) error {
	if x.Method == "HEAD" {
		c.head(r, r.length)
		c.nc.SetWriteDeadline(time.Now().Add(c.s.opt.IdleTimeout))
		return c.write(c.out)
	}
	length := r.length - min(f.MissingBytes, r.length)
	if f.CutAfter > 0 {
		length = min(length, f.CutAfter)
	}
	if err := c.send(r, length, f); err != nil {
		return err
	}
	if r.corrupt {
		x.Status = 500
		return nil
	}
	x.Sent = length
	if f.ExtraBytes > 0 {
		c.nc.Write(make([]byte, f.ExtraBytes))
		return errCut
	}
	if length < r.length {
		return errCut
	}
	return nil
}

// send writes the head and length bytes of a blob, by the blocks that its
// checksums cover; a small body goes in one write with the head. The first
// block, and the last of a range, are read and found right before the head goes
// out, later ones before they do: one that is not right ends the connection.
func (c *conn) send(r *reply, length int64, f Fault) error {
	buf := sendBuffers.Get().(*[record.BlockSize]byte)
	defer sendBuffers.Put(buf)
	first, err := c.sumRange(r, buf)
	if err != nil {
		return c.answer(failedRead(r, err))
	}
	if f.OmitChecksums {
		r.sums = nil
	}
	if f.FlipBit && len(first) > 0 {
		first[len(first)/2] ^= 1
	}
	c.head(r, r.length)
	c.nc.SetWriteDeadline(time.Now().Add(c.s.opt.IdleTimeout))
	first = first[:min(int64(len(first)), length)]
	c.out = append(c.out, first...)
	if err := c.write(c.out); err != nil {
		return err
	}
	for at := int64(len(first)); at < length; {
		part, err := r.blob.ReadBlock(int((r.from+at)/record.BlockSize), buf[:])
		if err != nil {
			c.s.opt.Log.Error("an answer is cut", "brick", c.s.opt.ID, "error", err)
			return errCut
		}
		part = part[:min(int64(len(part)), length-at)]
		if err := c.write(part); err != nil {
			return err
		}
		at += int64(len(part))
	}
	return nil
}

var sendBuffers = sync.Pool{New: func() any { return new([record.BlockSize]byte) }}

func failedRead(r *reply, err error) *reply {
	r.corrupt = errors.Is(err, store.ErrCorrupt)
	return &reply{status: statusOf(err), text: err.Error(), corrupt: r.corrupt}
}

// sumRange sets the checksums of the blocks that a range touches, and returns
// what it takes of the first, read into buf. Blocks of which it takes a part are
// read and checked whole, and have the checksum of that part.
func (c *conn) sumRange(r *reply, buf *[record.BlockSize]byte) (first []byte, err error) {
	if r.length == 0 {
		return nil, nil
	}
	a, z := int(r.from/record.BlockSize), int((r.from+r.length-1)/record.BlockSize)
	r.sums = slices.Clone(r.blob.Checksums[a : z+1])
	cut := func(i int) (part []byte, err error) {
		block, err := r.blob.ReadBlock(i, buf[:])
		if err != nil {
			return nil, err
		}
		start := int64(i) * record.BlockSize
		from, to := max(r.from-start, 0), min(r.from+r.length-start, int64(len(block)))
		if part = block[from:to]; len(part) < len(block) {
			r.sums[i-a] = record.Checksum(part)
		}
		return part, nil
	}
	if z > a {
		if _, err := cut(z); err != nil {
			return nil, err
		}
	}
	return cut(a)
}
