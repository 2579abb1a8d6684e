package zonefailover

import "time"

// LogEntry is an event for operators.
type LogEntry struct {
	Zone, Message string
	Epoch         uint64        // of the decision in effect
	Share         byte          // in effect, in hundredths
	PreviousShare byte          // in effect before, if Message is about a change
	NextStepIn    time.Duration // 0 if no step follows
	Proposal      *Proposal     // if Message is about a proposal
}

// Proposal is a share that this gateway has proposed, and the votes that led to it.
type Proposal struct {
	Share byte
	Votes VoteCount
}

// The messages of log entries.
const (
	logProposed       = "zone share proposed"
	logEvacuated      = "zone evacuated"
	logRecovering     = "zone recovering"
	logRecoveryFailed = "zone recovery failed, evacuated again"
	logFullUse        = "zone in full use again"
)

// TakeLog returns and removes the events since the last call.
func (s *State) TakeLog() []LogEntry {
	entries := s.log
	s.log = nil
	return entries
}

// logChange logs that another share of a zone is in effect. The time until the next step is in microseconds; 0 if there
// is none.
func (s *State) logChange(i int, message string, previousShare byte, nextStepIn int64) {
	s.log = append(s.log, LogEntry{
		Zone:          s.conf.Zones[i],
		Message:       message,
		Epoch:         s.epoch,
		Share:         s.zones[i].share,
		PreviousShare: previousShare,
		NextStepIn:    time.Duration(nextStepIn) * time.Microsecond,
	})
}

// logProposals logs the shares that are proposed and differ from those in effect.
func (s *State) logProposals(shares []byte) {
	for i, share := range shares {
		if share == s.zones[i].share {
			continue
		}
		s.log = append(s.log, LogEntry{
			Zone:     s.conf.Zones[i],
			Message:  logProposed,
			Epoch:    s.epoch,
			Share:    s.zones[i].share,
			Proposal: &Proposal{Share: share, Votes: countVotes(s.votes, i)},
		})
	}
}
