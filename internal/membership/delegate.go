package membership

import (
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

// keyedBroadcast is a broadcast that replaces a queued broadcast with the same key.
type keyedBroadcast struct {
	key  string
	data []byte
}

// Invalidates implements memberlist.Broadcast.
func (b *keyedBroadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(*keyedBroadcast)
	return ok && earlier.key == b.key
}

// Message implements memberlist.Broadcast.
func (b *keyedBroadcast) Message() []byte { return b.data }

// Finished implements memberlist.Broadcast.
func (b *keyedBroadcast) Finished() {}

// delegate implements memberlist.Delegate: it receives messages and provides queued broadcasts.
type delegate Members

func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg splits a message into the sender's name and its content, and passes both to Config.OnMessage. A truncated
// message is ignored.
func (d *delegate) NotifyMsg(b []byte) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return
	}
	headerSize := 1 + int(b[0])
	sender := string(b[1:headerSize])
	message := append([]byte(nil), b[headerSize:]...) // the library reuses b
	d.conf.OnMessage(sender, message)
}

func (d *delegate) GetBroadcasts(overhead, limit int) (messages [][]byte) {
	m := (*Members)(d)
	headerSize := 1 + len(m.conf.Name)
	for _, b := range m.queue.GetBroadcasts(overhead+headerSize, limit) {
		messages = append(messages, m.withSender(b))
	}
	return messages
}

func (d *delegate) LocalState(bool) []byte        { return nil }
func (d *delegate) MergeRemoteState([]byte, bool) {}

// events implements memberlist.EventDelegate. It records when members failed, except those that left gracefully.
type events Members

func (e *events) NotifyJoin(node *memberlist.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.failedAt, node.Name)
}

func (e *events) NotifyLeave(node *memberlist.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if node.State == memberlist.StateLeft {
		delete(e.failedAt, node.Name)
		return
	}
	e.failedAt[node.Name] = time.Now()
}

func (e *events) NotifyUpdate(*memberlist.Node) {}

// conflicts implements memberlist.ConflictDelegate. It logs when two processes use the same name.
type conflicts Members

func (c *conflicts) NotifyConflict(_, other *memberlist.Node) {
	err := &DuplicateNameError{other.Name, other.Address()}
	c.conf.Log.Error().Err(err).Str("remedy", err.Remedy()).Msg("membership: duplicate name")
}

// libraryLog writes the library's log at debug level; this package itself logs the events for operators.
type libraryLog struct{ log zerolog.Logger }

func (l libraryLog) Write(b []byte) (int, error) {
	l.log.Debug().Str("library", "memberlist").Msg(string(b))
	return len(b), nil
}
