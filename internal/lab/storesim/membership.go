package storesim

import (
	"slices"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// admitInterval is the time between two attempts to have an instance admitted.
const admitInterval = 1500 * millisecond

// replace gives an instance an empty disk and a new id, starts it, and has it join the cluster.
func (s *simulation) replace(inst *instance) {
	s.result.Replacements++
	s.lastID++
	inst.corrupt = false
	inst.joined = false
	inst.disk = newDisk(s.random)
	identity := disk.Identity{Cluster: clusterID, Node: s.lastID, Name: inst.name}
	if err := disk.Create(inst.disk, identity, 0, nil, s.logOptions()); err != nil {
		s.addViolation("%s cannot start with an empty disk: %v", inst.name, err)
		return
	}
	inst.disk.ignoreSyncs = s.LoseSyncs
	inst.id = identity.Node
	s.admit(inst)
	s.start(s.indexOf(inst.id))
}

// admit asks another instance to admit this one, again and again until all other instances have it as a voter.
//
// It is not enough that it is a learner, or a voter on some instances only: until then the others must keep their disks.
// An instance that has not applied the change still needs a majority of the previous members, and the loss of another
// disk would leave too few of those.
func (s *simulation) admit(inst *instance) {
	if inst.joined {
		return
	}
	asked := false
	others := 0 // number of other instances that have it as a voter
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

// proposeJoin plans the membership change, as an instance does, on a state that a linearizable read has confirmed: the state
// of an instance that is behind may not contain the member that is replaced.
func (s *simulation) proposeJoin(at, joining *instance) {
	s.lastToken++
	id := joining.id
	s.pendingCalls[s.lastToken] = func(answer core.Answer) {
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
