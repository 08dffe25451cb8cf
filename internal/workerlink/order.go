package workerlink

import (
	"cmp"
	"slices"
)

// sortedByPlace gives the ids in the order in which they were sent: the same events, the same order.
func sortedByPlace(sent map[string]flight) []string {
	ids := make([]string, 0, len(sent))
	for id := range sent {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(sent[a].at, sent[b].at), cmp.Compare(a, b))
	})
	return ids
}
