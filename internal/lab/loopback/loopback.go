// Package loopback finds addresses for processes that are started later. A port of 127.0.0.1 that was free a moment ago
// may be the source of somebody's connection by then, or be given to another listener: rehearsals saw both, on a
// machine with many connections. Connections on this machine come from 127.0.0.1, so other addresses of 127.0.0.0/8 stay
// free.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const port = 7443

// Reserve returns so many addresses that nobody listens at.
func Reserve(n int) ([]string, error) {
	var all []string
	for tries := 0; len(all) < n; tries++ {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 2+rand.IntN(250), rand.IntN(256), 1+rand.IntN(254), port)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			if tries > 10*n {
				return nil, fmt.Errorf("no loopback address is free: %w", err)
			}
			continue
		}
		_ = ln.Close() // the listener is over either way
		all = append(all, address)
	}
	return all, nil
}
