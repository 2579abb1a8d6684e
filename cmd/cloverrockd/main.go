// The runtime would hold files open to follow the limit of cores; the gateway says itself how many it uses.
//
//go:debug containermaxprocs=0
//go:debug updatemaxprocs=0

// Command cloverrockd is cloverrock with the store in it. cloverrock hands over to it where the store is needed.
package main

import (
	"os"

	"cloverrock/internal/app"
	"cloverrock/internal/daemon"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, daemon.Extension{})) }
