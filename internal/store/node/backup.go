package node

import (
	"bufio"
	"context"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
)

// backupChunk is the size in bytes of the part of a backup in one response.
const backupChunk = 256 << 10

// backup sends the latest state as an encoded snapshot, in several responses.
func (cc *clientConn) backup(ctx context.Context, request *frame.Request) error {
	var snapshot *core.Snapshot
	_, err := cc.node.Read(ctx, false, func(*machine.Machine) { snapshot = cc.node.core.CurrentSnapshot() })
	if err != nil {
		return err
	}
	if snapshot == nil {
		return core.ErrNoLeader
	}
	writer := bufio.NewWriterSize(&chunkWriter{cc, request.ID}, backupChunk)
	if err := disk.EncodeSnapshot(writer, snapshot.Meta, snapshot.Image.Write); err != nil {
		return err
	}
	return writer.Flush()
}

// chunkWriter sends the bytes written to it as responses to one request.
type chunkWriter struct {
	conn      *clientConn
	requestID uint64
}

// Write implements io.Writer.
func (w *chunkWriter) Write(data []byte) (int, error) {
	for at := 0; at < len(data); at += backupChunk {
		chunk := data[at:min(at+backupChunk, len(data))]
		if err := w.conn.send(&frame.Response{ID: w.requestID, More: true, Body: chunk}); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}
