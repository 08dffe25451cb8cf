package operatorsettings

import (
	"encoding/json"
	"reflect"
	"testing"
)

func parseTree(t *testing.T, text string) (out map[string]any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestKeepIndexes checks that entries keep their indexes, whatever was added, removed or moved in the new settings.
func TestKeepIndexes(t *testing.T) {
	previous := parseTree(t, `{"zone":1,"localities":["a","b"],"models":["std","lite"],"customers":[{"name":"x","quotaPerS":1}],
		"grades":[{"name":"q","value":1},{"name":"r","value":2}],"familyInfo":{"ramMbByKind":[100,200],"mayLoad":true}}`)
	current := parseTree(t, `{"zone":0,"localities":["b","c"],"models":["big","std"],"customers":[{"name":"y","quotaPerS":5},{"name":"x","quotaPerS":6}],
		"grades":[{"name":"s","value":9},{"name":"q","value":7}],"familyInfo":{"ramMbByKind":[900,101],"mayLoad":false}}`)
	want := parseTree(t, `{"zone":1,"localities":["a","b","c"],"models":["std","lite","big"],
		"customers":[{"name":"x","quotaPerS":6},{"name":"y","quotaPerS":5}],
		"grades":[{"name":"q","value":7},{"name":"r","value":2},{"name":"s","value":9}],
		"familyInfo":{"ramMbByKind":[101,200,900],"mayLoad":false}}`)
	before, _ := json.Marshal(current)
	got, removed := KeepIndexes(current, previous)
	if !reflect.DeepEqual(got, want) {
		text, _ := json.Marshal(got)
		t.Errorf("got %s", text)
	}
	if after, _ := json.Marshal(current); string(after) != string(before) {
		t.Errorf("the argument was modified: %s", after)
	}
	for list, indexes := range map[string]map[int]bool{Methods: {1: true}, Zones: {0: true}, Kinds: {1: true}, Customers: {}} {
		if !reflect.DeepEqual(removed[list], indexes) {
			t.Errorf("%s: removed %v, want %v", list, removed[list], indexes)
		}
	}

	// Going back to the first settings restores the removed entries and removes the added ones.
	reverted, removed := KeepIndexes(previous, got)
	if len(removed[Methods]) != 1 || !removed[Methods][2] || reverted["zone"] != 1. || !removed[Customers][1] {
		t.Errorf("removed %v, zone %v", removed, reverted["zone"])
	}
}

// TestKeepIndexesOfMalformedLists checks that settings without a list, or with one of another type, cause no panic.
func TestKeepIndexesOfMalformedLists(t *testing.T) {
	for _, text := range []string{`{}`, `{"models":7,"familyInfo":[],"zone":"x"}`, `{"models":["a"],"familyInfo":{"ramMbByKind":[]}}`,
		`{"localities":["a"],"zone":9}`} {
		KeepIndexes(parseTree(t, text), parseTree(t, `{"models":["b"],"localities":["z"],"familyInfo":{"ramMbByKind":[1]}}`))
		KeepIndexes(parseTree(t, `{"models":["b"],"localities":["z"],"familyInfo":{"ramMbByKind":[1]}}`), parseTree(t, text))
	}
}
