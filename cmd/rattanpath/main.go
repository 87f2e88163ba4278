// Command rattanpath manages the capacity and maintenance of a fleet.
package main

import (
	"os"

	"rattanpath/cmd/rattanpath/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
