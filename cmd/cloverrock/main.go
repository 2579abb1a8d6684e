// The runtime would hold files open to follow the limit of cores; the gateway runs one thread at a time as it is.
//
//go:debug containermaxprocs=0
//go:debug updatemaxprocs=0

// Command cloverrock is a gateway between clients and groups of database hosts.
package main

import (
	"fmt"
	"os"

	"cloverrock/internal/app"
	"cloverrock/internal/launcher"
)

// fullProgram is the program with the store.
const fullProgram = "cloverrockd"

func main() {
	store := launcher.New(fullProgram)
	if err := store.HandleCompletion(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "cloverrock:", err)
		os.Exit(app.ExitFailed)
	}
	os.Exit(app.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, store))
}
