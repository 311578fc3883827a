// Command cicadadyke is a router fleet for prepaid token budgets.
package main

import (
	"os"

	"github.com/cicadadyke/cicadadyke/internal/cicadacmd"
)

func main() {
	os.Exit(cicadacmd.Main(os.Args[1:]))
}
