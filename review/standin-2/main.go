// Command standin2 plays the cases 6 to 10 of the review: it starts the project's programs as processes, plays the
// clients, the database hosts and discovery, and judges what they saw.
//
//	standin2 CASE --root DIR --record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	root, dir string
	trouble   bool
	rec       *record

	mu      sync.Mutex
	started []*process
	broken  []string // what broke the rule
}

// breach records that the rule was broken.
func (p *play) breach(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	p.mu.Lock()
	p.broken = append(p.broken, text)
	p.mu.Unlock()
	p.rec.linef("BROKEN %s", text)
}

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]func(*play) error{}

const limit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	flags := flag.NewFlagSet("standin2", flag.ExitOnError)
	root := flags.String("root", ".", "root of the repository")
	path := flags.String("record", "record.txt", "file for what was sent, answered and run")
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE --root DIR --record FILE")
		return 2
	}
	_ = flags.Parse(os.Args[2:])
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	p := &play{root: *root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	p.rec.linef("case %s, disruption %t", os.Args[1], p.trouble)
	defer p.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](p) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(limit):
		err = fmt.Errorf("not finished within %s", limit)
	}
	switch {
	case err != nil:
		p.rec.linef("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case len(p.broken) > 0:
		fmt.Printf("broken, %d times; the first: %s\n", len(p.broken), p.broken[0])
		return 1
	}
	p.rec.linef("the rule held")
	fmt.Println("held")
	return 0
}
