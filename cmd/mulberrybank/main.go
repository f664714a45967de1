// Command mulberrybank is the daemon of a host, the operators' client and the
// stand-ins for demonstration and tests.
package main

import (
	"os"

	"github.com/mulberrybank/mulberrybank/internal/cli"
	"github.com/mulberrybank/mulberrybank/platform"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, platform.Adapter{}))
}
