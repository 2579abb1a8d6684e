// The program sets GOMAXPROCS itself. Without these settings the runtime would keep cgroup files open to follow the CPU
// limit.
//
//go:debug containermaxprocs=0
//go:debug updatemaxprocs=0

// Command cloverrockd is the gateway cloverrock with the optional components of package daemon. cloverrock executes it
// when a settings file requires them.
package main

import (
	"os"

	"cloverrock/internal/app"
	"cloverrock/internal/daemon"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, daemon.Extension{})) }
