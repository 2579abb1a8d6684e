package machine

// MaxSessions bounds the number of sessions. When there are more, the least recently used one is dropped, and its next
// command gives NoSession.
const MaxSessions = 16384

// session holds the result of a client's last command, so that a retry is answered without being applied again.
type session struct {
	id, seq uint64
	result  Result // of the command with number seq
	used    uint64 // index of the session's last command, which orders sessions by use
}

// openSession opens a session, and drops the least recently used one if there are too many.
func (m *Machine) openSession(id uint64) {
	for len(m.sessions) >= MaxSessions {
		dropped := m.sessionsByUse.Remove(m.sessionsByUse.Front()).(*session)
		delete(m.sessions, dropped.id)
	}
	m.addSession(&session{id: id, used: id})
}

// addSession adds a session as the most recently used.
func (m *Machine) addSession(added *session) {
	m.sessions[added.id] = m.sessionsByUse.PushBack(added)
}

// applyOnce executes a command. If its session has executed it already, applyOnce returns the earlier result.
func (m *Machine) applyOnce(index uint64, command *Command) Result {
	if command.Session == 0 {
		return m.execute(index, command)
	}
	element := m.sessions[command.Session]
	if element == nil {
		return Result{Code: NoSession, Revision: m.revision}
	}
	current := element.Value.(*session)
	if command.Seq < current.seq {
		return Result{Code: OldSeq, Revision: m.revision}
	}
	m.sessionsByUse.MoveToBack(element)
	current.used = index
	if command.Seq > current.seq {
		current.seq = command.Seq
		current.result = m.execute(index, command)
	}
	return current.result
}
