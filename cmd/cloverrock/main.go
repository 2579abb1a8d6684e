// By default the runtime keeps files open to follow changes of the container's CPU limit. The gateway sets GOMAXPROCS
// itself and needs the descriptors.
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

// fullProgram is the name of the program that contains the store.
const fullProgram = "cloverrockd"

func main() {
	store := launcher.New(fullProgram)
	if err := store.HandleCompletion(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "cloverrock:", err)
		os.Exit(app.ExitFailed)
	}
	os.Exit(app.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, store))
}
