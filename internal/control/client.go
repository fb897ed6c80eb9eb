package control

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Client is a connection to the control socket of a gateway. It is not safe for
// concurrent use.
type Client struct {
	conn   net.Conn
	lastID uint64 // of the last request
	Host   string // label of the gateway's run
}

// Refusal is the error of a request that the gateway refused.
type Refusal struct{ Code, Reason string }

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// Dial connects to the control socket of a gateway. The caller must close the Client.
func Dial(path string) (*Client, error) {
	conn, err := net.DialTimeout("unix", path, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("no gateway answers at %s: %w", path, err)
	}
	c := &Client{conn: conn}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	var hello Hello
	if err = writeFrame(conn, Hello{Version: ProtocolVersion}); err == nil {
		err = readFrame(conn, &hello)
	}
	if err == nil && hello.Refused != "" {
		err = errors.New(hello.Refused)
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("control socket %s: %w", path, err)
	}
	conn.SetDeadline(time.Time{})
	c.Host = hello.Host
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// callTimeout bounds the time for a request and its answer.
const callTimeout = 10 * time.Second

// Call sends a request and waits for its answer. If the gateway refuses the request,
// the error is a *Refusal.
func (c *Client) Call(request Request) (*Response, error) {
	c.lastID++
	request.ID = c.lastID
	c.conn.SetDeadline(time.Now().Add(callTimeout))
	defer c.conn.SetDeadline(time.Time{})
	if err := writeFrame(c.conn, request); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	r := &Response{}
	if err := readFrame(c.conn, r); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if r.Code != "" {
		return nil, &Refusal{r.Code, r.Error}
	}
	return r, nil
}

// Watch subscribes to snapshots and to events with numbers above after, which Next
// returns. The connection cannot be used for calls afterwards.
func (c *Client) Watch(after int64) error {
	c.lastID++
	return writeFrame(c.conn, Request{ID: c.lastID, Op: OpWatch, After: after})
}

// Next waits for the next update after Watch.
func (c *Client) Next() (*Response, error) {
	r := &Response{}
	return r, readFrame(c.conn, r)
}

// CloseWrite closes the sending side of the connection only.
func (c *Client) CloseWrite() error { return c.conn.(*net.UnixConn).CloseWrite() }
