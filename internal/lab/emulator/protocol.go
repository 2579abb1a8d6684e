package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cloverrock/internal/pgwire"
)

const (
	messageHeaderBytes = 5       // type and length
	maxMessageBytes    = 1 << 20 // bytes

	healthCheck = "SHOW vitals"
)

// errMessageSize reports a length field that is too small or too large for a message.
var errMessageSize = errors.New("emulator: message length out of range")

// ReadMessage reads one protocol message from a stream.
func ReadMessage(reader *bufio.Reader) (pgwire.Message, error) {
	head, err := reader.Peek(messageHeaderBytes)
	if err != nil {
		return pgwire.Message{}, err
	}
	size := 1 + int(head[1])<<24 + int(head[2])<<16 + int(head[3])<<8 + int(head[4])
	if size < messageHeaderBytes || size > maxMessageBytes {
		return pgwire.Message{}, fmt.Errorf("%w: %d bytes", errMessageSize, size)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(reader, text); err != nil {
		return pgwire.Message{}, err
	}
	message, _, _, err := pgwire.Next(text)
	return message, err
}

// serve answers the queries of one connection. A hanging host, and a silent listener, read queries without answering them.
func (h *Host) serve(connection net.Conn, silent *atomic.Bool) {
	reader := bufio.NewReader(connection)
	if err := skipStartup(reader); err != nil {
		return
	}
	startupResponse := pgwire.AppendReadyForQuery(pgwire.AppendAuthenticationOk(nil))
	if _, err := connection.Write(startupResponse); err != nil {
		return
	}
	for {
		message, err := ReadMessage(reader)
		if err != nil || message.Type != 'Q' {
			return
		}
		if h.hanging.Load() || silent.Load() || h.observeAndDrawHang(string(message.Body)) {
			continue
		}
		if _, err := connection.Write(h.answerQuery(string(message.Body))); err != nil {
			return
		}
	}
}

// observeAndDrawHang reports the statement to the observer. It returns true if this statement gets no answer.
func (h *Host) observeAndDrawHang(text string) bool {
	if h.observe == nil || strings.HasPrefix(text, healthCheck) {
		return false
	}
	h.observe(text, isWrite(text) && h.primary.Load())
	return rand.IntN(100) < h.hangPercent
}

func isWrite(text string) bool { return strings.Contains(text, "INSERT") }

// skipStartup reads the startup message, which has no type byte.
func skipStartup(reader *bufio.Reader) error {
	head, err := reader.Peek(4)
	if err != nil {
		return err
	}
	_, err = io.ReadFull(reader, make([]byte, int(head[2])<<8+int(head[3])))
	return err
}

// answerQuery executes a statement and returns the answer. The host's role and log position follow the result.
func (h *Host) answerQuery(text string) []byte {
	answer := h.execute(text)
	role, position := h.status()
	answer = pgwire.AppendParameterStatus(answer, "rank", [...]string{"copy", "source"}[role])
	answer = pgwire.AppendParameterStatus(answer, "as_of", strconv.FormatInt(position, 10))
	return pgwire.AppendReadyForQuery(answer)
}

func (h *Host) execute(text string) []byte {
	if strings.HasPrefix(text, healthCheck) {
		role, position := h.status()
		return singleRow(fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, role))
	}
	write := isWrite(text)
	if write && !h.primary.Load() {
		return pgwire.AppendError(nil, pgwire.ErrorResponse{
			Severity: "ERROR", Code: pgwire.CodeReadOnly, Message: "not the primary",
		})
	}
	h.simulateWork()
	if write {
		h.Writes.Add(1)
	}
	return singleRow("ok")
}

func singleRow(value string) []byte {
	return pgwire.AppendCommandComplete(pgwire.AppendRow(nil, "body", value), "SELECT 1")
}

// status returns the host's role (1: primary) and its log position in milliseconds, as the host reports them.
func (h *Host) status() (role int, position int64) {
	if h.primary.Load() {
		return 1, time.Now().UnixMilli()
	}
	return 0, time.Now().Add(-h.lag).UnixMilli()
}
