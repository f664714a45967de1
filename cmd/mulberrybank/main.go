// Command mulberrybank contains the daemon of a host, the operators' commands,
// and the stand-ins for the demo and for tests.
package main

import (
	"os"

	"github.com/mulberrybank/mulberrybank/internal/cli"
	"github.com/mulberrybank/mulberrybank/platform"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, platform.Adapter{}))
}
