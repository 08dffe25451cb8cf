// Package nameid derives the ids of functions and workers from their names. The ids must be the same at every front
// end: the router prefers workers for a function by a hash of both ids, so that front ends choose the same workers
// without exchanging any state.
package nameid

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"mallowlanding/router"
)

// Function returns the id of a function's name: its XXH64 with seed 0.
func Function(name string) router.FunctionID { return router.FunctionID(xxhash.Sum64String(name)) }

// Worker returns the id of a worker's name: the upper half of its XXH64 with seed 0.
func Worker(name string) router.WorkerID { return router.WorkerID(xxhash.Sum64String(name) >> 32) }

// CheckDistinct returns an error for the first name that occurs twice or has the id of another name.
func CheckDistinct[ID comparable](names []string, id func(string) ID) error {
	nameByID := make(map[ID]string, len(names))
	for _, name := range names {
		other, known := nameByID[id(name)]
		if known && other == name {
			return fmt.Errorf("name %q stands twice", name)
		} else if known {
			return fmt.Errorf("names %q and %q share the id %v: rename one of them", other, name, id(name))
		}
		nameByID[id(name)] = name
	}
	return nil
}
