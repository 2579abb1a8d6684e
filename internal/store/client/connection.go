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

// responseBacklog is the number of responses to one request that are buffered until they are received.
const responseBacklog = 16

// partHandler handles a response that is not the last one of its request. An error ends the request.
type partHandler func(*frame.Response) error

// connection is a connection to an instance with the requests in progress on it.
type connection struct {
	conn    net.Conn
	writeMu sync.Mutex    // held while a request is written
	closed  chan struct{} // closed when no further response can arrive

	mu      sync.Mutex
	pending map[uint64]chan *frame.Response // by request id
}

func newConnection(conn net.Conn) *connection {
	c := &connection{conn: conn, pending: map[uint64]chan *frame.Response{}, closed: make(chan struct{})}
	go c.read()
	return c
}

// close closes the connection, which ends all its requests. They do not depend on the error of Close.
func (c *connection) close() { _ = c.conn.Close() }

// read passes responses to their requests until the connection ends.
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
		if responses := c.responseChannel(response); responses != nil {
			responses <- response
		}
	}
}

// responseChannel returns the channel for a response, or nil if its request has ended. The last response ends the request.
func (c *connection) responseChannel(response *frame.Response) chan *frame.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	responses := c.pending[response.ID]
	if !response.More {
		delete(c.pending, response.ID)
	}
	return responses
}

// register returns a channel for the responses to a request. The caller must call cancel when it stops receiving.
func (c *connection) register(id uint64) (responses chan *frame.Response, cancel func()) {
	responses = make(chan *frame.Response, responseBacklog)
	c.mu.Lock()
	c.pending[id] = responses
	c.mu.Unlock()
	return responses, func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		for len(responses) > 0 { // read may be blocked because the channel is full
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

// receive passes each response but the last to part, and returns the last. The error wraps ErrUnavailable after limit (0:
// no limit) or when the connection ends. An error of part closes the connection, which ends the request at the instance.
func (c *connection) receive(ctx context.Context, responses <-chan *frame.Response, limit time.Duration, part partHandler) (*frame.Response, error) {
	var timedOut <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		timedOut = timer.C
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
		case <-timedOut:
			return nil, fmt.Errorf("%w: no answer in time", ErrUnavailable)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// lastResponse returns the last response if it arrived just before the connection ended.
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
