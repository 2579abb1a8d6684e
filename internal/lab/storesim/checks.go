package storesim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Keys that the clients write.
const (
	dataNamespace = "data"
	sharedPrefix  = "shared" // keys that are written more than once
)

// appliedEntry identifies the entry that was applied at an index.
type appliedEntry struct{ term, chain uint64 }

func (s *simulation) addViolation(format string, args ...any) {
	violation := fmt.Sprintf("at %.3f s: ", float64(s.now)/1e6) + fmt.Sprintf(format, args...)
	s.result.Violations = append(s.result.Violations, violation)
	s.trace("VIOLATED "+format, args...)
}

// observeApplied checks each entry that an instance applies: all instances must apply the same entry at an index.
func (s *simulation) observeApplied(inst *instance, index, term, chain uint64) {
	s.hashEvent('a', inst.id<<32|index, chain)
	before, known := s.applied[index]
	switch {
	case known && before.chain != chain:
		s.addViolation("state-machine safety: %s applied something else at %d", inst.name, index)
	case known && before.term != term:
		s.addViolation("log matching: %s has term %d at %d, others %d", inst.name, term, index, before.term)
	}
	s.applied[index] = appliedEntry{term, chain}
	s.highestApplied = max(s.highestApplied, index)
}

// checkLeaderAndCommit checks that a term has one leader, and that an instance's commit index neither decreases nor is
// below its applied index.
func (s *simulation) checkLeaderAndCommit(inst *instance) {
	status := inst.core.Status()
	if status.Role == "StateLeader" {
		s.checkLeader(inst, status.Term)
	}
	if status.Applied > status.Commit {
		s.addViolation("%s applied %d and committed %d", inst.name, status.Applied, status.Commit)
	}
	if status.Commit < s.commits[inst.id] {
		s.addViolation("%s committed %d and then %d", inst.name, s.commits[inst.id], status.Commit)
	}
	s.commits[inst.id] = status.Commit
}

func (s *simulation) checkLeader(inst *instance, term uint64) {
	leader, known := s.leaders[term]
	switch {
	case known && leader != inst.id:
		s.addViolation("election safety: %d and %d lead term %d", leader, inst.id, term)
	case !known:
		s.result.Elections++
		s.leaders[term] = inst.id
		s.trace("%s leads term %d", inst.name, term)
	}
}

// checkAcknowledged checks, at the end of a run, that every instance is up, has each acknowledged write, and has applied no
// write twice.
func (s *simulation) checkAcknowledged() {
	if len(s.result.Violations) > 0 {
		return
	}
	for _, inst := range s.instances {
		if inst.core != nil {
			s.trace("%s at the end: %+v", inst.name, inst.core.Status())
		}
	}
	for _, inst := range s.instances {
		if inst.core == nil {
			s.addViolation("%s is not up at the end", inst.name)
			continue
		}
		s.checkFinalState(inst)
	}
}

func (s *simulation) checkFinalState(inst *instance) {
	status := inst.core.Status()
	s.hashEvent('e', status.Applied, status.Chain)
	if status.Applied < s.highestApplied {
		s.addViolation("durability: %s has applied up to %d, and %d was applied somewhere (%+v)",
			inst.name, status.Applied, s.highestApplied, status)
		return
	}
	for _, key := range slices.Sorted(maps.Keys(s.acknowledged)) {
		entry, found := inst.core.Machine().Get(dataNamespace, key)
		switch {
		case !found:
			s.addViolation("durability: %s lacks %s, which was acknowledged", inst.name, key)
		case entry.Version != 1:
			s.addViolation("%s has %s %d times", inst.name, key, entry.Version)
		}
	}
	for _, entry := range inst.core.Machine().List(dataNamespace, "", 0) {
		if entry.Version != 1 && !strings.HasPrefix(entry.Key, sharedPrefix) {
			s.addViolation("%s has %s %d times", inst.name, entry.Key, entry.Version)
		}
	}
}
