package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// The case "memory": some clients stop in the middle of a request and stay, while a sound client sends several writes
// ahead. Every command of the sound client is owed a final answer.

const (
	memoryMB       = 64      // of the settings: the operators' pages name 32 to 192 MB
	stoppedClients = 7       // clients that stop in the middle of a request
	stoppedLength  = 1 << 20 // what their message announces; they stop 576 bytes before its end
	writesAhead    = 12      // commands of the sound client, sent ahead
	valueBytes     = 64 << 10
)

func init() { cases["memory"] = memoryCase }

func memoryCase(r *rig) (int, error) {
	hosts, g := startGroup(r.rec, "db1", "db2", "db3")
	for _, h := range hosts {
		h.work = func(*statement) time.Duration { return 60 * time.Millisecond }
		if err := h.start("127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	g.setPrimary(hosts[0])
	disco := newAgent(instances(1, hosts, hosts[0]))
	if err := disco.start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	conf, err := r.configuration(func(conf, _ map[string]any) {
		conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 256}
	})
	if err != nil {
		return 0, err
	}
	gw, err := r.startGateway("g1", disco.address, conf)
	if err != nil {
		return 0, err
	}
	sound, err := dialClient(gw.listen)
	if err != nil {
		return 0, err
	}
	defer sound.close()
	first, err := sound.query(writeText("warm0", "zone-change", "warm", []byte("warm"), 3000, 1), 4*time.Second)
	if err != nil || !first.served {
		return 0, fmt.Errorf("the first write was not served: %v %v", first, err)
	}
	if r.trouble {
		stopped, err := stopInTheMiddle(r, gw.listen)
		defer func() {
			for _, conn := range stopped {
				_ = conn.Close()
			}
		}()
		if err != nil {
			return 0, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sendAhead(r, sound, hosts)
}

// stopInTheMiddle opens the connections of the clients that stop in the middle of a request and stay.
func stopInTheMiddle(r *rig, address string) (stopped []net.Conn, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range stoppedClients {
		wg.Go(func() {
			c, dialErr := dialClient(address)
			if dialErr != nil {
				mu.Lock()
				err = dialErr
				mu.Unlock()
				return
			}
			text := writeText(fmt.Sprintf("stop%d", i), "zone-change", "stopped", nil, 3000, 1)
			head, _, _ := bytes.Cut([]byte(text), []byte("\\x"))
			b := []byte{'Q'}
			b = binary.BigEndian.AppendUint32(b, stoppedLength)
			b = append(b, head...)
			b = append(b, "\\x"...)
			b = append(b, bytes.Repeat([]byte{'0'}, stoppedLength-576-len(b))...)
			n, writeErr := c.conn.Write(b)
			r.rec.line("stopping client %d: wrote %d bytes of a request of %d and stays (%v)", i, n, stoppedLength+1, writeErr)
			mu.Lock()
			stopped = append(stopped, c.conn)
			mu.Unlock()
			go func() {
				for {
					answer, err := c.receive(5 * time.Second)
					if err != nil {
						r.rec.line("stopping client %d: its connection ended: %v", i, err)
						return
					}
					r.rec.line("stopping client %d: got %v", i, answer)
				}
			}()
		})
	}
	wg.Wait()
	return stopped, err
}

// sendAhead sends all writes of the sound client at once and reads its answers.
func sendAhead(r *rig, sound *client, hosts []*host) (int, error) {
	var all []byte
	var ids []string
	values := map[string][]byte{}
	for i := range writesAhead {
		id := fmt.Sprintf("ahead%d", i)
		value := bytes.Repeat([]byte{byte('A' + i)}, valueBytes)
		ids = append(ids, id)
		values[id] = value
		all = append(all, queryMessage(writeText(id, "zone-change", "oid"+id, value, 3000, 1))...)
	}
	sent := make(chan error, 1)
	go func() {
		_, err := sound.conn.Write(all)
		r.rec.line("sound client: all %d bytes of %d writes are written (%v)", len(all), len(ids), err)
		sent <- err
	}()
	answered, served := 0, 0
	var end error
	for answered < len(ids) {
		answer, err := sound.receive(10 * time.Second)
		if err != nil {
			end = err
			break
		}
		id := ids[answered]
		answered++
		r.rec.line("sound client: %s: %v", id, answer)
		if answer.served && !bytes.Equal(answer.value, values[id]) {
			r.rec.say("broken: %s was served another value", id)
			return exitBroken, nil
		}
		if answer.served {
			served++
		}
		if answer.fatal {
			_, end = sound.receive(10 * time.Second)
			break
		}
	}
	writeErr := <-sent
	ran := 0
	for _, id := range ids {
		for _, h := range hosts {
			ran += h.ran(id)
		}
	}
	r.rec.say("writes sent ahead: %d, answered: %d (served %d), executed: %d; writing: %v; end of the connection: %v",
		len(ids), answered, served, ran, writeErr, end)
	if answered < len(ids) {
		r.rec.say("broken: without a final answer, and the gateway ended the connection: %v", slices.Clip(ids[answered:]))
		return exitBroken, nil
	}
	return exitHeld, nil
}
