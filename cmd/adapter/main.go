// Command adapter connects the router to a simulator over standard input and output.
package main

import (
	"fmt"
	"os"

	"mallowlanding/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
