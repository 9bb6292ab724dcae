// Command ashwood is the gateway process: it accepts clients' requests and routes each to a
// prefill and a decode engine.
//
// It owns the command line, the lifetime of the process (signals, reloads, shutdown, upgrades)
// and the assembly of the fronts. Protocols, routing decisions and the parsing of
// configuration are in other packages.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ashwood:", err)
		os.Exit(1)
	}
}
