// Command ashwood is the gateway: it takes clients' requests and routes each
// to a prefill and a decode engine.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ashwood:", err)
		os.Exit(1)
	}
}
