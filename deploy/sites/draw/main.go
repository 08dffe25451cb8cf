// Command draw writes a random site, which is a deployment within the limits of the operators' protocol, in the format
// of the test bench. The program is tested on such sites because it was not tuned on them. The same seed gives the same
// file.
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
		fmt.Fprintf(os.Stderr, "draw: the seed is not an unsigned 64-bit integer: %v\n", err)
		os.Exit(2)
	}
	if err := Write(os.Stdout, Draw(seed)); err != nil {
		fmt.Fprintf(os.Stderr, "draw: %v\n", err)
		os.Exit(1)
	}
}

// Write writes a site in the format of the test bench.
func Write(w io.Writer, site Site) error {
	encoder := toml.NewEncoder(w)
	encoder.SetArraysMultiline(false)
	return encoder.Encode(site)
}

// Read reads a site strictly: an unknown key is an error, which gives its position.
func Read(r io.Reader) (site Site, err error) {
	decoder := toml.NewDecoder(r)
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&site)
	return site, err
}
