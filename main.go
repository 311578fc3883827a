// Command cicadadyke runs routers that keep organisations within prepaid token budgets,
// and the tools to operate them.
package main

import (
	"embed"
	"io/fs"
	"log"
	"os"

	"github.com/cicadadyke/cicadadyke/internal/cicadacmd"
)

//go:embed examples
var embedded embed.FS

func main() {
	examples, err := fs.Sub(embedded, "examples")
	if err != nil {
		log.Fatal(err)
	}
	os.Exit(cicadacmd.Main(os.Args[1:], examples))
}
