// Command sagevale schedules jobs and services on fleets of rented machines that serve language models. The command runs
// one controller. Its subcommands show the state that the controllers keep in the key-value store.
package main

import (
	"fmt"
	"os"
)

// version is printed by --version and logged at startup.
const version = "0.1.0"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sagevale:", err)
		os.Exit(1)
	}
}
