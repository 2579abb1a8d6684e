package storesim

import "cloverrock/internal/store/core"

// Delays of the network, and its faults until endFaults is called.
const (
	lossPercent      = 2
	duplicatePercent = 2
	lateOneIn        = 50 // one of this number of messages is delayed further, by up to lateRange

	minDelay   = millisecond / 2
	delayRange = 4 * millisecond
	lateRange  = 400 * millisecond
)

// send sends messages of an instance over the network, which may lose, duplicate and delay them.
func (s *simulation) send(inst *instance, messages []core.Envelope) {
	from := s.indexOf(inst.id)
	for _, message := range messages {
		to := s.indexOf(message.To)
		if to < 0 || from < 0 || s.cut[direction{from, to}] || s.drawNetworkFault(lossPercent) {
			continue
		}
		copies := 1
		if s.drawNetworkFault(duplicatePercent) {
			copies = 2
		}
		for range copies {
			s.schedule(s.drawDelay(), func() { s.deliver(direction{from, to}, message) })
		}
	}
}

// drawNetworkFault draws whether a fault of the network occurs. After endFaults it returns false without drawing.
func (s *simulation) drawNetworkFault(percent int) bool {
	return !s.faultsEnded && s.random.IntN(100) < percent
}

func (s *simulation) drawDelay() int64 {
	delay := minDelay + int64(s.random.IntN(int(delayRange)))
	if !s.faultsEnded && s.random.IntN(lateOneIn) == 0 {
		delay += int64(s.random.IntN(int(lateRange)))
	}
	return delay
}

func (s *simulation) deliver(link direction, message core.Envelope) {
	receiver := s.instances[link.to]
	up := receiver.core != nil && !receiver.diskFull
	if !up || receiver.id != message.To || s.cut[link] {
		return
	}
	receiver.core.Step(message)
	s.process(receiver)
}

// indexOf returns the index of the instance with an id, or -1.
func (s *simulation) indexOf(id uint64) int {
	for i, inst := range s.instances {
		if inst.id == id {
			return i
		}
	}
	return -1
}
