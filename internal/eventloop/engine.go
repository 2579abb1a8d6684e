package eventloop

import (
	"net"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"
)

const engineLogPrefix = "eventloop: engine: "

// engineOpened is called by the engine, on its accepting goroutine, for a new connection.
func (l *Loop) engineOpened(nb *nbio.Conn, accept func(*Conn) Handler) {
	if isDialed := nb.Session() != nil; isDialed {
		return
	}
	c := &Conn{loop: l, nb: nb, accepted: true}
	nb.SetSession(c)
	l.syncWithEngine()
	l.acceptLimiter.opened()
	l.post(event{call: func() { c.handler = accept(c) }})
}

// engineReadable is called by the engine, on its goroutine, when data has arrived or the peer has closed its side.
func (l *Loop) engineReadable(nb *nbio.Conn) {
	l.syncWithEngine()
	if c, ok := nb.Session().(*Conn); ok {
		l.readArrived(c)
	}
}

// engineClosed is called by the engine after it has closed a socket.
func (l *Loop) engineClosed(nb *nbio.Conn, err error) {
	c, ok := nb.Session().(*Conn)
	if !ok {
		return
	}
	l.post(event{conn: c, kind: releasedEvent, err: err})
}

// engineWritten is called by the engine when the kernel has accepted n bytes.
func engineWritten(nb *nbio.Conn, _ []byte, n int) {
	if c, ok := nb.Session().(*Conn); ok {
		c.writtenBytes.Add(int64(n))
	}
}

// syncWithEngine orders the creation of a connection before the engine's first use of it, because the engine's table of
// connections has no lock.
func (l *Loop) syncWithEngine() {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// waitForEngine waits until the engine's goroutines run. When they start they reset the flag that stops them, so a stop
// before that would be lost and they would run forever. The goroutine that serves connections runs once it has reported
// the end of a connection, which is opened and closed here.
func (l *Loop) waitForEngine() {
	if l.acceptLimiter != nil {
		<-l.acceptLimiter.engineStarted
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer func() { _ = listener.Close() }() // it was only needed for the dial below
	closed := closeSignal(make(chan struct{}))
	l.Post(func() { l.Dial(listener.Addr().String(), closed) })
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = conn.Close() // an error changes nothing: the connection ends in any case
		}
	}()
	select {
	case <-closed:
	case <-l.done: // Run has ended before
	}
}

// closeSignal is a Handler that signals the end of its connection.
type closeSignal chan struct{}

func (closeSignal) Data([]byte)    {}
func (s closeSignal) Closed(error) { close(s) }

// engineLog writes the log lines of the engine to the log of the program, lines of level info at level debug. It drops
// lines of level debug.
type engineLog struct{ log zerolog.Logger }

func (e engineLog) Debug(string, ...any)          {}
func (e engineLog) Info(format string, v ...any)  { e.log.Debug().Msgf(engineLogPrefix+format, v...) }
func (e engineLog) Warn(format string, v ...any)  { e.log.Warn().Msgf(engineLogPrefix+format, v...) }
func (e engineLog) Error(format string, v ...any) { e.log.Error().Msgf(engineLogPrefix+format, v...) }
func (e engineLog) SetLevel(int)                  {}
