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

// admit asks another instance to admit this one, until it is a voter. A learner does not count: until then the others must
// keep their disks.
func (s *simulation) admit(inst *instance) {
	if inst.joined {
		return
	}
	asked := false
	for _, other := range s.instances {
		if other.core == nil || other.id == inst.id || other.diskFull {
			continue
		}
		if slices.Contains(other.core.Status().Voters, inst.id) {
			inst.joined = true
			return
		}
		if _, member := core.Members(other.core.Machine())[inst.id]; member || asked {
			continue
		}
		asked = true
		if !s.proposeJoin(other, inst) {
			return
		}
	}
	s.schedule(admitInterval, func() { s.admit(inst) })
}

func (s *simulation) proposeJoin(at, joining *instance) bool {
	member := core.Member{Name: joining.name, Format: machine.Format}
	change, command, err := core.PlanJoin(at.core.Machine(), joining.id, member, "")
	if err != nil {
		s.addViolation("admit: %v", err)
		return false
	}
	at.core.ProposeMembershipChange(0, change, command)
	s.process(at)
	return true
}
