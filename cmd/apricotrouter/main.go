// Command apricotrouter is the command-line tool for operators.
package main

import (
	"os"

	"apricotrouter/bench"
	"apricotrouter/cli"
	"apricotrouter/dev"
)

func main() {
	root := cli.NewRoot()
	root.AddCommand(dev.Command(), bench.Command())
	os.Exit(cli.Run(root, os.Args[1:], os.Stdout, os.Stderr))
}
