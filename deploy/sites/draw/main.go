// Command draw writes a deployment drawn over all that the operators' protocol allows, in the form that the bench
// reads, so that the program is played on settings it was not tuned on. The same seed gives the same file.
//
// usage: go run ./deploy/sites/draw SEED > deploy/sites/drawn-SEED.toml
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/pelletier/go-toml/v2"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: draw SEED")
		os.Exit(2)
	}
	seed, err := strconv.ParseUint(os.Args[1], 10, 64)
	if err != nil {
		fmt.Fprintf(os.Stderr, "draw: the seed is no whole number: %v\n", err)
		os.Exit(2)
	}
	if err := Write(os.Stdout, Draw(seed)); err != nil {
		fmt.Fprintf(os.Stderr, "draw: %v\n", err)
		os.Exit(1)
	}
}

// Write writes a site as the bench reads it.
func Write(to io.Writer, site Site) error {
	encoder := toml.NewEncoder(to)
	encoder.SetArraysMultiline(false)
	return encoder.Encode(site)
}

// Read reads a site strictly: a name that is not known is an error with its place.
func Read(from io.Reader) (site Site, err error) {
	decoder := toml.NewDecoder(from)
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&site)
	return site, err
}
