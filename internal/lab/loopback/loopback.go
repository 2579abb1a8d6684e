// Package loopback finds addresses for processes that are started later. A port of 127.0.0.1 that is free now may become
// the source port of a connection, or be assigned to another listener, before the process starts. Connections on this
// machine originate from 127.0.0.1, so ports of other addresses in 127.0.0.0/8 stay free.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	port            = 7443
	triesPerAddress = 10
)

// Reserve returns n random loopback addresses, as ip:port, that have no listener. It does not prevent other processes from
// using them.
func Reserve(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 2+rand.IntN(250), rand.IntN(256), 1+rand.IntN(254), port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			if tries > triesPerAddress*n {
				return nil, fmt.Errorf("no loopback address is free: %w", err)
			}
			continue
		}
		_ = listener.Close() // it was opened only to check that the address is free
		addresses = append(addresses, address)
	}
	return addresses, nil
}
