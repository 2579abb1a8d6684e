// Command standin plays the cases of the review. It starts the project's gateways as processes of their own and takes the
// place of clients, database hosts, discovery and the network, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*rig) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitNotRun
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	signal.Ignore(syscall.SIGPIPE) // the processes are ended even if nobody reads the output
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		os.Exit(exitNotRun)
	}()
	code, err := cases[os.Args[1]](r)
	if err != nil {
		r.rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	for _, g := range r.gateways {
		if !g.running() {
			r.rec.say("gateway %s has ended by itself", g.name)
		}
	}
	r.rec.line("exit %d", code)
	return code
}
