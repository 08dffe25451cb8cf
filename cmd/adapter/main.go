// Command adapter speaks the simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"mallowlanding/internal/pebble"
)

func main() {
	if err := pebble.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
