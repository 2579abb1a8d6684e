package main

import (
	"fmt"
	"time"
)

// startHosts starts the hosts of a group, the first one as its primary, and returns their entries in the list.
func startHosts(g *group, n int, work time.Duration) ([]instance, error) {
	var instances []instance
	for i := range n {
		h, err := newHost(g, fmt.Sprintf("db-%d-%d", g.number, i+1), work)
		if err != nil {
			return nil, err
		}
		h.primary = i == 0
		instances = append(instances, instance{
			h.id, h.address, "regina-dc1", "std-4core", g.number, "SERVING", 1, 0, roleName(h.primary),
		})
	}
	return instances, nil
}
