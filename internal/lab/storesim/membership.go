package storesim

import (
	"slices"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// admitInterval is the time between two tries to have an instance admitted.
const admitInterval = 1500 * millisecond

// replace gives an instance an empty disk and a new id, and has it join.
func (s *simulation) replace(inst *instance) {
	s.result.Replaced++
	s.nextID++
	inst.corrupt = false
	inst.joined = false
	inst.disk = newDisk(s.random)
	identity := disk.Identity{Cluster: clusterID, Node: s.nextID, Name: inst.name}
	if err := disk.Create(inst.disk, identity, 0, nil, s.logOptions()); err != nil {
		s.addViolation("%s cannot start with an empty disk: %v", inst.name, err)
		return
	}
	inst.disk.ignoreSyncs = s.LoseSyncs
	inst.id = identity.Node
	s.admit(inst)
	s.start(s.indexOf(inst.id))
}

// admit asks another instance to admit this one, until all others have it as a voter. A learner does not count, nor does a
// voter that only some know of: until then the others must keep their disks. One that has not applied the change still
// counts the votes of the members before it, of which another lost disk would leave too few.
func (s *simulation) admit(inst *instance) {
	if inst.joined {
		return
	}
	asked := false
	others := 0 // that have it as a voter
	for _, other := range s.instances {
		if other.core == nil || other.id == inst.id || other.diskFull {
			continue
		}
		if slices.Contains(other.core.Status().Voters, inst.id) {
			others++
			continue
		}
		if _, member := core.Members(other.core.Machine())[inst.id]; member || asked {
			continue
		}
		asked = true
		s.proposeJoin(other, inst)
	}
	inst.joined = others == len(s.instances)-1
	s.schedule(admitInterval, func() { s.admit(inst) })
}

// proposeJoin plans the change, as an instance does, on a state that a linearizable read has confirmed: one that is behind may
// not know the member that is replaced.
func (s *simulation) proposeJoin(at, joining *instance) {
	s.lastToken++
	id := joining.id
	s.waiting[s.lastToken] = func(answer core.Answer) {
		if answer.Err != nil || at.core == nil || joining.id != id {
			return
		}
		member := core.Member{Name: joining.name, Format: machine.Format}
		change, command, err := core.PlanJoin(at.core.Machine(), id, member, "")
		if err != nil {
			s.addViolation("admit: %v", err)
			return
		}
		at.core.ProposeMembershipChange(0, change, command)
	}
	at.core.Read(s.lastToken)
	s.process(at)
}
