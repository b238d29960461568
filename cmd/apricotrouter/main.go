// Command apricotrouter is the operators' command line.
package main

import (
	"os"

	"apricotrouter/cli"
)

func main() {
	os.Exit(cli.Run(cli.NewRoot(), os.Args[1:], os.Stdout, os.Stderr))
}
