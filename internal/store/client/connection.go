package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"cloverrock/internal/store/frame"
)

// responseBacklog is how many responses to one request may wait for whoever reads them.
const responseBacklog = 16

// partHandler takes a response that others follow. An error ends the request.
type partHandler func(*frame.Response) error

// connection is one connection with the requests that wait on it.
type connection struct {
	conn    net.Conn
	writeMu sync.Mutex    // held while a request is written
	closed  chan struct{} // closed when nothing more comes

	mu      sync.Mutex
	pending map[uint64]chan *frame.Response // by request id
}

func newConnection(conn net.Conn) *connection {
	c := &connection{conn: conn, pending: map[uint64]chan *frame.Response{}, closed: make(chan struct{})}
	go c.read()
	return c
}

// close closes the connection; whatever waits on it ends. An error would tell nothing more.
func (c *connection) close() { _ = c.conn.Close() }

// read passes responses to the requests that wait for them until the connection ends.
func (c *connection) read() {
	defer close(c.closed)
	defer c.close()
	reader := bufio.NewReader(c.conn)
	for {
		kind, body, err := frame.Read(reader, nil, frame.MaxSize)
		if err != nil {
			return
		}
		response := &frame.Response{}
		if kind != frame.ResponseKind || frame.DecodeValue(body, response) != nil {
			continue
		}
		if responses := c.waiting(response); responses != nil {
			responses <- response
		}
	}
}

// waiting returns the channel of a response's request; nil if nobody waits. After the last response nobody does.
func (c *connection) waiting(response *frame.Response) chan *frame.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	responses := c.pending[response.ID]
	if !response.More {
		delete(c.pending, response.ID)
	}
	return responses
}

// register has the responses to a request passed to a channel, until cancel is called.
func (c *connection) register(id uint64) (responses chan *frame.Response, cancel func()) {
	responses = make(chan *frame.Response, responseBacklog)
	c.mu.Lock()
	c.pending[id] = responses
	c.mu.Unlock()
	return responses, func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		for len(responses) > 0 { // read may wait to pass on another one
			<-responses
		}
	}
}

func (c *connection) write(data []byte, timeout time.Duration) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(data)
	return err
}

// receive passes each response but the last to part, and returns the last. It gives up after a time, if that is not 0.
// An error of part closes the connection, which ends the request at the instance.
func (c *connection) receive(ctx context.Context, responses <-chan *frame.Response, limit time.Duration, part partHandler) (*frame.Response, error) {
	var late <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		late = timer.C
	}
	for {
		select {
		case response := <-responses:
			if !response.More {
				return response, nil
			}
			if err := part(response); err != nil {
				c.close()
				return nil, err
			}
		case <-c.closed:
			return lastResponse(responses)
		case <-late:
			return nil, fmt.Errorf("%w: no answer in time", ErrUnavailable)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// lastResponse returns the last response if it came just before the connection was closed.
func lastResponse(responses <-chan *frame.Response) (*frame.Response, error) {
	select {
	case response := <-responses:
		if !response.More {
			return response, nil
		}
	default:
	}
	return nil, fmt.Errorf("%w: the connection ended", ErrUnavailable)
}
