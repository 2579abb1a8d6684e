package balance

// commitRetention is the shortest time for which a commit is remembered by session, µs.
const commitRetention = 10e6

// sessionCommits remembers the position of the last commit of each session, by session key. Old commits are
// replaced by a single floor: a position that covers all of them.
type sessionCommits struct {
	recent, older map[int64]int64
	rotatedAt     int64 // when recent was created
	floor         int64 // a position that covers the commits of all sessions that were dropped
}

func newSessionCommits() sessionCommits {
	return sessionCommits{recent: map[int64]int64{}, older: map[int64]int64{}}
}

// rotate replaces the older commits by the floor, and makes the recent ones older, once per commitRetention.
func (s *sessionCommits) rotate(now int64) {
	if now-s.rotatedAt <= commitRetention {
		return
	}
	for _, position := range s.older {
		s.floor = max(s.floor, position)
	}
	s.older = s.recent
	s.recent = map[int64]int64{}
	s.rotatedAt = now
}

// record remembers a commit of a session.
func (s *sessionCommits) record(key, position int64) {
	s.recent[key] = max(s.recent[key], position)
}

// position returns a position that covers all commits of a session.
func (s *sessionCommits) position(key int64) int64 {
	return max(s.floor, s.recent[key], s.older[key])
}

// recordCommit remembers the commit of a successful write, unless requests carry the age of their session's
// last write.
func (r *Router) recordCommit(req *pendingRequest, reported int64) {
	if req.isWrite() && req.hasSession && !r.settings.RequestsCarrySessionAge {
		r.sessions.record(req.sessionKey, r.commitPosition(reported))
	}
}

// commitPosition returns a position that covers a commit whose answer is being handled. Without a reported
// position the commit counts as made now, the latest time at which it can have been made.
func (r *Router) commitPosition(reported int64) int64 {
	if reported <= 0 {
		return r.now
	}
	return reported
}

// sessionPosition returns the log position that covers the writes of a request's session so far; 0 if a host
// of any position may answer it.
func (r *Router) sessionPosition(req *pendingRequest) int64 {
	if r.settings.RequestsCarrySessionAge {
		return req.carriedPosition
	}
	return r.sessions.position(req.sessionKey)
}

// carriedPosition returns the log position of the session's last write that a new request carries; 0 if it
// carries none.
func (r *Router) carriedPosition(class *Class, event *Event) int64 {
	if class.Consistency != ReadYourWrites || event.SessionWriteAge == 0 {
		return 0
	}
	return r.now - event.SessionWriteAge
}
