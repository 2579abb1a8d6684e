package gossip

import (
	"strconv"
)

const (
	ms   = int64(1000)
	base = 1_700_000_000_000 * ms
)

func testConfig(gateways, ordinal int) Config {
	return Config{Gateways: gateways, Ordinal: ordinal, BytesPerRequest: 1280, FreshnessWindow: 500 * ms}
}

// fleet is a set of gateways that receive one another's messages after a delay, unless a message is lost.
type fleet struct {
	now        int64
	states     []*State
	packets    []packet
	reports    int
	digests    int
	bytes      int
	stopped    map[int]bool
	isLost     func(from, to int) bool
	extraDelay map[int]int64      // by receiver
	positions  []map[string]int64 // highest position received, by gateway and host
}

// packet is a message in transit.
type packet struct {
	at       int64
	from, to int
	data     []byte
}

func noLoss(int, int) bool { return false }

func hostName(h int) string { return "s-" + strconv.Itoa(h) }

// newFleet returns gateways with hosts in groups of five.
func newFleet(gateways, hosts int) *fleet {
	f := &fleet{now: base, isLost: noLoss, stopped: map[int]bool{}, extraDelay: map[int]int64{}}
	for ordinal := range gateways {
		state := New(testConfig(gateways, ordinal), uint64(ordinal)+1)
		for h := range hosts {
			state.AddHost(hostName(h), int64(h/5))
		}
		f.states = append(f.states, state)
		f.positions = append(f.positions, map[string]int64{})
	}
	return f
}

// step advances the clock by 5 ms. Messages take 10 ms. A stopped gateway receives the messages sent to it when it
// resumes.
func (f *fleet) step() {
	f.now += 5 * ms
	f.deliver()
	for ordinal, state := range f.states {
		if f.stopped[ordinal] {
			continue
		}
		for _, m := range state.PendingMessages(f.now) {
			f.send(ordinal, m)
		}
	}
}

func (f *fleet) deliver() {
	var later []packet
	for _, p := range f.packets {
		if p.at > f.now || f.stopped[p.to] {
			later = append(later, p)
			continue
		}
		known := f.positions[p.to]
		for _, fact := range f.states[p.to].Receive(f.now, p.from, p.data) {
			known[fact.Host] = max(known[fact.Host], fact.Position)
		}
	}
	f.packets = later
}

func (f *fleet) send(from int, m Message) {
	if m.To != Broadcast {
		f.reports++
		f.sendTo(from, m.To, m.Data)
		return
	}
	f.digests++
	for to := range f.states {
		f.sendTo(from, to, m.Data)
	}
}

func (f *fleet) sendTo(from, to int, data []byte) {
	if from == to {
		return
	}
	f.bytes += len(data)
	if !f.isLost(from, to) {
		f.packets = append(f.packets, packet{f.now + 10*ms + f.extraDelay[to], from, to, data})
	}
}

// run simulates a duration. Every 5 ms an answer of each host is recorded by a gateway that changes with the host
// and the time, unless that gateway is stopped.
func (f *fleet) run(hosts int, duration int64) {
	for end := f.now + duration; f.now < end; f.step() {
		for h := range hosts {
			ordinal := int(f.now/ms+int64(h)*7) % len(f.states)
			if f.stopped[ordinal] {
				continue
			}
			state := f.states[ordinal]
			state.Record(HostFact{Host: hostName(h), Position: f.now - 3*ms, Role: Replica})
			state.toggleInFlight(hostName(h))
		}
	}
}

// maxPositionAge returns the greatest age of a host's position among the selected gateways.
func (f *fleet) maxPositionAge(hosts int, selects func(ordinal int) bool) (age int64) {
	for ordinal, state := range f.states {
		if !selects(ordinal) {
			continue
		}
		for h := range hosts {
			host := state.hosts[hostName(h)]
			age = max(age, f.now-max(f.positions[ordinal][host.id], host.ownFact.Position))
		}
	}
	return age
}

func all(int) bool { return true }

// coordinators returns the coordinator of each group as one gateway determines it.
func (f *fleet) coordinators(ordinal int) (ordinals []int) {
	state := f.states[ordinal]
	for _, group := range state.groups {
		ordinals = append(ordinals, state.coordinator(f.now, group))
	}
	return ordinals
}

// toggleInFlight starts an attempt at a host, or ends the one that is in flight.
func (s *State) toggleInFlight(id string) { s.SetInFlight(id, 1-s.hosts[id].inFlight) }

// receiveAs decodes a message as the other state would, without changing the other state.
func (s *State) receiveAs(other *State, now int64, from int, data []byte) []HostFact {
	for _, group := range other.groups {
		for _, host := range group.hosts {
			s.AddHost(host.id, 0)
		}
	}
	return s.Receive(now, from, data)
}
