// Package nameid derives ids from names. They must be the same at every front end: the module chooses homes by a
// hash of both ids, and front ends that share nothing meet there.
package nameid

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"mallowlanding/router"
)

// Function is the id of a function's name: XXH64 with seed 0.
func Function(name string) router.FunctionID { return router.FunctionID(xxhash.Sum64String(name)) }

// Worker is the id of a worker's name: the upper half of XXH64 with seed 0.
func Worker(name string) router.WorkerID { return router.WorkerID(xxhash.Sum64String(name) >> 32) }

// CheckDistinct tells of the first two names that share an id, or of a name that stands twice.
func CheckDistinct[ID comparable](names []string, id func(string) ID) error {
	by := make(map[ID]string, len(names))
	for _, name := range names {
		other, known := by[id(name)]
		if known && other == name {
			return fmt.Errorf("name %q stands twice", name)
		} else if known {
			return fmt.Errorf("names %q and %q share the id %v: rename one of them", other, name, id(name))
		}
		by[id(name)] = name
	}
	return nil
}
