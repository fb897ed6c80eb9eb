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

// reply is the response to a request.
type reply struct {
	status          int
	text            string // body of an error
	body            []byte // body of a list
	blob            *store.Blob
	info            *store.Info // of a blob whose metadata is sent without its body
	rangeStart      int64
	length          int64
	size            int64 // of the whole blob
	version         uint64
	replaced        *store.Info
	repeat          bool // the request was a duplicate and this is the first one's response
	closeConn       bool // the connection is closed after the response
	corrupt         bool // stored or received bytes do not match their checksums
	sums            []uint32
	otherHostsUnits float64
	fleetRate       float64
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

func (c *conn) listBlobs(ex *Exchange) *reply {
	_, query, _ := strings.Cut(c.req.Target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return &reply{status: 400, text: "query: " + err.Error()}
	}
	maxItems, err := strconv.Atoi(values.Get("max"))
	if err != nil || maxItems < 1 || maxItems > 10_000 {
		return &reply{status: 400, text: fmt.Sprintf("query max: bad value %q", values.Get("max"))}
	}
	items, more := c.server.blobs.List(ex.Space, store.Query{
		Prefix: values.Get("prefix"), After: values.Get("after"), Delimiter: values.Get("delimiter"), MaxItems: maxItems,
	})
	resp := brick.ListResponse{Items: make([]brick.ListItem, 0, len(items)), More: more}
	for _, it := range items {
		resp.Items = append(resp.Items, brick.ListItem{
			Name: []byte(it.Name), Meta: it.Meta, Size: it.Size, Version: it.Version, IsPrefix: it.IsPrefix,
		})
	}
	text, err := json.Marshal(resp)
	if err != nil {
		return &reply{status: 500, text: err.Error()}
	}
	return &reply{status: 200, body: text, sums: record.AppendChecksums(nil, text)}
}

// buildHead sets c.writeBuf to the head of r with the given body length.
func (c *conn) buildHead(r *reply, length int64) {
	b := brick.AppendProtocol(http1.AppendStatusLine(c.writeBuf[:0], r.status))
	b = http1.AppendField(b, brick.HeaderBrick, c.server.identity)
	if c.requestID != "" { // lets the client detect a second response to an earlier request
		b = http1.AppendField(b, brick.HeaderRequest, c.requestID)
	}
	b = c.server.appendLoad(b)
	if c.server.draining.Load() {
		b = http1.AppendField(b, brick.HeaderState, "draining")
	}
	b = c.server.appendClock(b)
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
		b = fmt.Appendf(b, "Content-Range: bytes %d-%d/%d\r\n", r.rangeStart, r.rangeStart+r.length-1, r.size)
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
	if r.otherHostsUnits > 0 {
		b = append(append(b, brick.HeaderOthers...), ": "...)
		b = append(strconv.AppendFloat(b, r.otherHostsUnits, 'f', 3, 64), "\r\n"...)
	}
	if r.fleetRate > 0 {
		b = append(append(b, brick.HeaderFleet...), ": "...)
		b = append(strconv.AppendFloat(b, r.fleetRate, 'f', 3, 64), "\r\n"...)
	}
	if r.closeConn {
		b = http1.AppendField(b, "Connection", "close")
	}
	if r.status != 204 {
		b = http1.AppendIntField(b, "Content-Length", length)
	}
	c.writeBuf = brick.AppendHeadSum(b, 0)
}

// sendText sends a reply that has no blob.
func (c *conn) sendText(r *reply) error {
	text := r.body
	if text == nil && r.text != "" {
		text = []byte(r.text + "\n")
	}
	if r.status == 204 {
		text = nil
	}
	c.buildHead(r, int64(len(text)))
	if c.req.Method != "HEAD" {
		c.writeBuf = append(c.writeBuf, text...)
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	if err := c.write(c.writeBuf); err != nil {
		return err
	}
	if r.closeConn {
		return errConnCut
	}
	return nil
}

// sendReply sends the reply of a completed request, modified by an injected
// fault.
func (c *conn) sendReply(ex *Exchange, r *reply, fault Fault) error {
	if fault.CutAfter < 0 {
		ex.Status = 0
		return errConnCut
	}
	if r.blob == nil {
		if err := c.sendText(r); err != nil {
			return err
		}
		if fault.RespondTwice {
			return c.sendText(r)
		}
		return nil
	}
	err := c.sendBlob(ex, r, fault)
	if err == nil && fault.RespondTwice {
		err = c.sendBlob(ex, r, Fault{})
	}
	return err
}

func (c *conn) sendBlob(ex *Exchange, r *reply, fault Fault) error {
	if ex.Method == "HEAD" {
		c.buildHead(r, r.length)
		c.nc.SetWriteDeadline(time.Now().Add(c.server.opt.IdleTimeout))
		return c.write(c.writeBuf)
	}
	length := r.length - min(fault.MissingBytes, r.length)
	if fault.CutAfter > 0 {
		length = min(length, fault.CutAfter)
	}
	if err := c.writeBlob(r, length, fault); err != nil {
		return err
	}
	if r.corrupt {
		ex.Status = 500
		return nil
	}
	ex.Sent = length
	if fault.ExtraBytes > 0 {
		c.nc.Write(make([]byte, fault.ExtraBytes))
		return errConnCut
	}
	if length < r.length {
		return errConnCut
	}
	return nil
}

// writeBlob writes the head and length bytes of a blob, one checksum block at a
// time; the first block goes in one write with the head. The first block, and
// the last one of a range, are read and verified before the head is sent, other
// blocks before they are sent. A block that fails verification after the head
// was sent ends the connection.
func (c *conn) writeBlob(r *reply, length int64, fault Fault) error {
	buf := blockBuffers.Get().(*[record.BlockSize]byte)
	defer blockBuffers.Put(buf)
	first, err := c.prepareRange(r, buf)
	if err != nil {
		return c.sendText(readFailure(r, err))
	}
	if fault.OmitChecksums {
		r.sums = nil
	}
	if fault.FlipBit && len(first) > 0 {
		first[len(first)/2] ^= 1
	}
	c.buildHead(r, r.length)
	c.nc.SetWriteDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	first = first[:min(int64(len(first)), length)]
	c.writeBuf = append(c.writeBuf, first...)
	if err := c.write(c.writeBuf); err != nil {
		return err
	}
	for sent := int64(len(first)); sent < length; {
		part, err := r.blob.ReadBlock(int((r.rangeStart+sent)/record.BlockSize), buf[:])
		if err != nil {
			c.server.opt.Log.Error("response cut short: cannot read block", "brick", c.server.opt.ID, "error", err)
			return errConnCut
		}
		part = part[:min(int64(len(part)), length-sent)]
		if err := c.write(part); err != nil {
			return err
		}
		sent += int64(len(part))
	}
	return nil
}

var blockBuffers = sync.Pool{New: func() any { return new([record.BlockSize]byte) }}

// readFailure returns the reply for a blob that cannot be read.
func readFailure(r *reply, err error) *reply {
	r.corrupt = errors.Is(err, store.ErrCorrupt)
	return &reply{status: statusOf(err), text: err.Error(), corrupt: r.corrupt}
}

// prepareRange sets the checksums of the blocks that the range of r touches, and
// returns the range's part of the first block, read into buf. Blocks of which the
// range covers only a part are read and verified as a whole, and the checksum
// sent for them is that of the part.
func (c *conn) prepareRange(r *reply, buf *[record.BlockSize]byte) (first []byte, err error) {
	if r.length == 0 {
		return nil, nil
	}
	firstBlock, lastBlock := int(r.rangeStart/record.BlockSize), int((r.rangeStart+r.length-1)/record.BlockSize)
	r.sums = slices.Clone(r.blob.Checksums[firstBlock : lastBlock+1])
	readPart := func(i int) (part []byte, err error) {
		block, err := r.blob.ReadBlock(i, buf[:])
		if err != nil {
			return nil, err
		}
		blockStart := int64(i) * record.BlockSize
		from, to := max(r.rangeStart-blockStart, 0), min(r.rangeStart+r.length-blockStart, int64(len(block)))
		if part = block[from:to]; len(part) < len(block) {
			r.sums[i-firstBlock] = record.Checksum(part)
		}
		return part, nil
	}
	if lastBlock > firstBlock {
		if _, err := readPart(lastBlock); err != nil {
			return nil, err
		}
	}
	return readPart(firstBlock)
}
