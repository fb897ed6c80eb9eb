package brickd

import (
	"io"
	"strings"
	"time"
)

// Fault is a fault that a Hook injects into a request. The zero value injects
// none.
type Fault struct {
	Delay         time.Duration   // wait before the request is processed
	DropResponse  bool            // process the request but send no response
	IgnoreRequest bool            // neither process the request nor respond
	Status        int             // respond with this status instead of processing the request
	CutAfter      int64           // close the connection after this many bytes of the body; -1 before the response
	MissingBytes  int64           // number of bytes missing at the end of the body, despite Content-Length
	ExtraBytes    int64           // number of extra bytes after the body
	FlipBit       bool            // flip a bit of the response's body
	OmitChecksums bool            // send no checksums
	Garbage       bool            // respond with bytes that are not HTTP
	EndlessHeader bool            // respond with an endless header
	RespondTwice  bool            // send the response twice
	ExtraWork     time.Duration   // occupy the worker for this long in addition
	WaitFor       <-chan struct{} // wait until it is closed
}

// Hook injects faults into a brick and logs its requests. Its methods may be
// called from many goroutines at once.
type Hook interface {
	// OnRequest is called when a request was received and returns the fault to
	// inject.
	OnRequest(x *Exchange) Fault
	// OnResponse is called when the request is done, whether or not a response
	// was sent.
	OnResponse(x *Exchange)
}

// injectFault applies the faults that delay or replace the processing of a
// request. done is true if the request must not be processed.
func (c *conn) injectFault(ex *Exchange, fault Fault) (done bool, err error) {
	if fault.Delay > 0 {
		timer := time.NewTimer(fault.Delay)
		defer timer.Stop()
		<-timer.C
	}
	switch {
	case fault.IgnoreRequest:
		return true, c.waitForClose()
	case fault.Status != 0:
		ex.Status = fault.Status
		return true, c.sendText(&reply{status: fault.Status, text: "scripted"})
	case fault.Garbage:
		c.nc.Write([]byte("\x00\x01garbage \xff without a line"))
		return true, errConnCut
	case fault.EndlessHeader:
		line := []byte("X-More: " + strings.Repeat("y", 1000) + "\r\n")
		c.nc.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for range 1 << 10 { // bounded in case the client reads them all
			if _, err := c.nc.Write(line); err != nil {
				break
			}
		}
		return true, errConnCut
	}
	return false, nil
}

// waitForClose sends nothing until the client closes the connection or the idle
// timeout expires.
func (c *conn) waitForClose() error {
	c.nc.SetReadDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	io.Copy(io.Discard, c.reader)
	return errConnCut
}
