package machine

// MaxSessions bounds the sessions. The least recently used one is dropped; its owner is told and opens another.
const MaxSessions = 16384

// session remembers the last command of a client, so that a retry is answered and not applied again.
type session struct {
	id, seq uint64
	result  Result
	used    uint64 // index of the last command
}

// openSession opens a session and drops the least recently used ones that have no room any more.
func (m *Machine) openSession(id uint64) {
	for len(m.sessions) >= MaxSessions {
		dropped := m.sessionsByUse.Remove(m.sessionsByUse.Front()).(*session)
		delete(m.sessions, dropped.id)
	}
	m.addSession(&session{id: id, used: id})
}

// addSession adds a session as the one used last.
func (m *Machine) addSession(added *session) {
	m.sessions[added.id] = m.sessionsByUse.PushBack(added)
}

// applyOnce applies a command unless its session has had it; then it returns the result that it had.
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
