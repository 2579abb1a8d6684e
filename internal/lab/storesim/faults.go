package storesim

// faultCases is the number of equally likely cases of injectFault.
const faultCases = 14

// maxChangesUntilPowerLoss bounds the number of the disk change during which the machine loses power.
const maxChangesUntilPowerLoss = 12

// cutKind selects the messages that a cut drops.
type cutKind int

const (
	cutBoth     cutKind = iota // messages to and from the instance
	cutInbound                 // messages to the instance
	cutOutbound                // messages from the instance
	cutKinds                   // the number of kinds
)

// scheduleFaults injects faults at random times until endFaults is called.
func (s *simulation) scheduleFaults() {
	s.schedule(int64(200+s.random.IntN(1500))*millisecond, func() {
		if s.faultsEnded {
			return
		}
		s.injectFault()
		s.scheduleFaults()
	})
}

func (s *simulation) injectFault() {
	i := s.random.IntN(len(s.instances))
	inst := s.instances[i]
	duration := int64(100+s.random.IntN(4000)) * millisecond
	switch s.random.IntN(faultCases) {
	case 0, 1: // the process ends; the kernel keeps what it wrote
		s.stopFor(i, false, duration)
	case 2, 3: // the machine loses power
		s.stopFor(i, true, duration)
	case 4:
		s.stopAllFor(duration)
	case 5, 6:
		s.cutOff(i, duration)
	case 7: // its clock runs fast or slow
		inst.tickInterval = []int64{30, 60, 200, 400}[s.random.IntN(4)] * millisecond
		s.schedule(duration, func() { inst.tickInterval = normalTick })
	case 8:
		s.fillDisk(inst, duration)
	case 9: // a sync fails: the instance must stop
		inst.disk.failSync = true
		s.schedule(duration, func() { inst.disk.failSync = false })
	case 10:
		s.corruptDisk(i, duration)
	case 11:
		if inst.core != nil && !inst.diskFull {
			inst.core.TransferLeadership()
			s.process(inst)
		}
	case 12, 13: // the machine loses power in the middle of a write, a rename, a removal, a snapshot or a start
		inst.disk.changesUntilPowerLoss = 1 + s.random.IntN(maxChangesUntilPowerLoss)
	}
}

// stopFor stops an instance, if it is up, and starts it again after the duration.
func (s *simulation) stopFor(i int, powerLost bool, duration int64) {
	inst := s.instances[i]
	if inst.core == nil {
		return
	}
	s.stop(inst, powerLost)
	s.schedule(duration, func() {
		if inst.core == nil {
			s.start(i)
		}
	})
}

func (s *simulation) stopAllFor(duration int64) {
	for i := range s.instances {
		powerLost := s.random.IntN(2) == 0
		s.stopFor(i, powerLost, duration+int64(s.random.IntN(500))*millisecond)
	}
}

// cutOff cuts an instance off from all others for the duration, in one direction or both.
func (s *simulation) cutOff(i int, duration int64) {
	kind := cutKind(s.random.IntN(int(cutKinds)))
	for j := range s.instances {
		if j != i {
			s.cut[direction{i, j}] = kind != cutInbound
			s.cut[direction{j, i}] = kind != cutOutbound
		}
	}
	s.trace("%s cut off, way %d", s.instances[i].name, kind)
	s.schedule(duration, func() {
		for j := range s.instances {
			delete(s.cut, direction{i, j})
			delete(s.cut, direction{j, i})
		}
	})
}

func (s *simulation) fillDisk(inst *instance, duration int64) {
	inst.disk.full = true
	s.trace("%s has a full disk", inst.name)
	s.schedule(duration, func() {
		inst.disk.full = false
		s.process(inst)
	})
}

// corruptDisk stops an instance and marks it, so that a bit of its log flips before its next start. It does nothing while
// another instance is marked or a replaced one has not joined: if two disks were lost at a time, there might be no majority
// left to learn from.
func (s *simulation) corruptDisk(i int, duration int64) {
	for _, inst := range s.instances {
		if !inst.joined || inst.corrupt {
			return
		}
	}
	if s.instances[i].core != nil {
		s.stopFor(i, false, duration)
		s.instances[i].corrupt = true
	}
}

// endFaults ends all faults and starts the instances that are down.
func (s *simulation) endFaults() {
	s.faultsEnded = true
	s.cut = map[direction]bool{}
	s.trace("healed")
	for i, inst := range s.instances {
		inst.disk.full = false
		inst.disk.failSync = false
		inst.disk.changesUntilPowerLoss = 0
		inst.tickInterval = normalTick
		if inst.core == nil {
			s.start(i)
		} else {
			s.process(inst)
		}
	}
}
