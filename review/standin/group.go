package main

// startGroup returns a group and its hosts, which do not listen yet.
func startGroup(rec *record, ids ...string) ([]*host, *group) {
	g := &group{}
	var hosts []*host
	for _, id := range ids {
		hosts = append(hosts, &host{id: id, group: g, rec: rec})
	}
	return hosts, g
}

// instances returns discovery's entries of hosts.
func instances(cell int, hosts []*host, primary *host) []instance {
	var entries []instance
	for _, h := range hosts {
		entries = append(entries, entry(cell, h, h == primary))
	}
	return entries
}

func entry(cell int, h *host, primary bool) instance {
	rank := "copy"
	if primary {
		rank = "source"
	}
	return instance{
		InstanceID: h.id, HostPort: h.address, Zone: "regina-dc1", MachineType: "std-4core", Cell: cell,
		Lifecycle: "SERVING", Weight: 1, Rank: rank,
	}
}
