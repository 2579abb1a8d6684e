package gossip

import (
	"fmt"
	"slices"
)

// buildReports returns the reports that are due, one or more messages for each coordinator. Reports about groups that
// this gateway coordinates are applied at once instead.
func (s *State) buildReports(now int64) (messages []Message) {
	for _, host := range s.pendingReports {
		r := host.takeReport()
		to := s.coordinator(now, host.group)
		if to == s.conf.Ordinal {
			s.applyReport(now, now, to, host, &r)
			continue
		}
		host.group.awaitDigest(now, to)
		hasSpace := func(m Message) bool { return m.To == to && len(m.Data)+reportSize <= MaxMessage }
		i := slices.IndexFunc(messages, hasSpace)
		if i < 0 {
			i = len(messages)
			messages = append(messages, Message{to, newMessage(now, reportVersion)})
		}
		messages[i].Data = appendReport(messages[i].Data, now, &r)
	}
	s.pendingReports = s.pendingReports[:0]
	return messages
}

// takeReport returns the report of a host and resets the counts and samples for the next one.
func (h *hostState) takeReport() report {
	r := report{HostFact: h.ownFact, hash: h.hash, inFlight: h.inFlight, started: h.started}
	r.Host = h.id
	h.samples.writeTo(&r.HostFact)
	h.samples = latencySamples{}
	h.started = 0
	h.reportedInFlight = h.inFlight
	h.reportDue = false
	return r
}

// receiveReport applies a report message, which gateways send to the coordinator of the hosts in it, and returns the
// facts in it about known hosts.
func (s *State) receiveReport(now, sentAt int64, from int, body []byte) ([]HostFact, error) {
	if len(body)%reportSize != 0 {
		return nil, fmt.Errorf("%w: report of %d bytes is not made of whole entries", errMalformedMessage, len(body))
	}
	reports := make([]report, 0, len(body)/reportSize)
	for ; len(body) > 0; body = body[reportSize:] {
		r, err := readReport(sentAt, body)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	var facts []HostFact
	for _, r := range reports {
		host := s.hostsByHash[r.hash]
		if host == nil {
			continue
		}
		r.Host = host.id
		s.applyReport(now, sentAt, from, host, &r)
		facts = append(facts, r.HostFact)
	}
	return facts, nil
}

// applyReport adds the report of one gateway about a host to the next digest.
func (s *State) applyReport(now, sentAt int64, from int, host *hostState, r *report) {
	group := host.group
	group.hasUnpublished = true
	group.lastReportAt = now
	isNewPrimary := r.Role == Primary && host.latest.Role != Primary && r.Position > host.latest.Position
	if isNewPrimary { // writes wait for the new primary, so the digest is due at once
		group.nextDigestAt = now
	}
	host.recordLatest(now, r.HostFact)
	if r.LatencyShare > 0 || r.Failing {
		host.reportedSamples.add(r.LatencyShare, r.Failing)
	}
	if host.latest.Role != Primary { // attempts at the primary are not chosen by load
		group.started += r.started
		group.checkTokens = min(checkTokenBurst, group.checkTokens+float64(checkTokensPerAttempt*float64(r.started)))
	}
	if host.reportedCounts == nil {
		host.reportedCounts = make([]reportedCount, s.conf.Gateways)
	}
	host.recordCount(now, sentAt, from, r.inFlight)
}
