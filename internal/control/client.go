package control

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Client is an operator's connection. It is used by one goroutine at a time.
type Client struct {
	nc   net.Conn
	next uint64
	Host string // the gateway's label
}

// Refusal is a request that the gateway did not carry out.
type Refusal struct{ Code, Reason string }

func (r *Refusal) Error() string { return r.Reason }

// Dial connects to the control end of a gateway.
func Dial(path string) (*Client, error) {
	nc, err := net.DialTimeout("unix", path, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("no gateway answers at %s: %w", path, err)
	}
	c := &Client{nc: nc}
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	var hello Hello
	if err = writeFrame(nc, Hello{Version: ProtocolVersion}); err == nil {
		err = readFrame(nc, &hello)
	}
	if err == nil && hello.Refused != "" {
		err = errors.New(hello.Refused)
	}
	if err != nil {
		nc.Close()
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	nc.SetDeadline(time.Time{})
	c.Host = hello.Host
	return c, nil
}

// Close hangs up.
func (c *Client) Close() error { return c.nc.Close() }

// callFor is how long an answer may take.
const callFor = 10 * time.Second

// Call asks for one thing. A refusal is a *Refused.
func (c *Client) Call(q Request) (*Response, error) {
	c.next++
	q.ID = c.next
	c.nc.SetDeadline(time.Now().Add(callFor))
	defer c.nc.SetDeadline(time.Time{})
	if err := writeFrame(c.nc, q); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	r := &Response{}
	if err := readFrame(c.nc, r); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if r.Code != "" {
		return nil, &Refusal{r.Code, r.Error}
	}
	return r, nil
}

// Watch has the gateway tell of snapshots and of events with numbers over
// after; Next returns them. The connection serves nothing else then.
func (c *Client) Watch(after int64) error {
	c.next++
	return writeFrame(c.nc, Request{ID: c.next, Op: OpWatch, After: after})
}

// Next returns what a watched gateway tells next.
func (c *Client) Next() (*Response, error) {
	r := &Response{}
	return r, readFrame(c.nc, r)
}

// CloseWrite closes this side of the connection alone.
func (c *Client) CloseWrite() error { return c.nc.(*net.UnixConn).CloseWrite() }
