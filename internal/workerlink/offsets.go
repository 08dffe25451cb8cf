package workerlink

import (
	"cmp"
	"slices"
)

// sortedByOffset returns the ids in the order in which the requests were sent, so that the same events are always
// reported in the same order.
func sortedByOffset(inFlight map[string]request) []string {
	ids := make([]string, 0, len(inFlight))
	for id := range inFlight {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(inFlight[a].offset, inFlight[b].offset), cmp.Compare(a, b))
	})
	return ids
}
