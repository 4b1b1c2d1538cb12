// Command sagevale schedules jobs and services on fleets of rented machines that serve language models. It runs one
// controller; its subcommands report the state of a fleet's controllers.
package main

import (
	"fmt"
	"os"
)

// version is the program's version.
const version = "0.1.0"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sagevale:", err)
		os.Exit(1)
	}
}
