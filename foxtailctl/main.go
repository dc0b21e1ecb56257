package main

import (
	"os"

	"foxtaillug.org/foxtailctl/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
