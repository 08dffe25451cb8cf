package operatorsettings

import (
	"encoding/json"
	"reflect"
	"testing"
)

func tree(t *testing.T, text string) (out map[string]any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestKeepPlaces: what is known by its place keeps it, whatever came, went or moved in the new settings.
func TestKeepPlaces(t *testing.T) {
	was := tree(t, `{"zone":1,"localities":["a","b"],"models":["std","lite"],"customers":[{"name":"x","quotaPerS":1}],
		"grades":[{"name":"q","value":1},{"name":"r","value":2}],"familyInfo":{"ramMbByKind":[100,200],"mayLoad":true}}`)
	now := tree(t, `{"zone":0,"localities":["b","c"],"models":["big","std"],"customers":[{"name":"y","quotaPerS":5},{"name":"x","quotaPerS":6}],
		"grades":[{"name":"s","value":9},{"name":"q","value":7}],"familyInfo":{"ramMbByKind":[900,101],"mayLoad":false}}`)
	want := tree(t, `{"zone":1,"localities":["a","b","c"],"models":["std","lite","big"],
		"customers":[{"name":"x","quotaPerS":6},{"name":"y","quotaPerS":5}],
		"grades":[{"name":"q","value":7},{"name":"r","value":2},{"name":"s","value":9}],
		"familyInfo":{"ramMbByKind":[101,200,900],"mayLoad":false}}`)
	before, _ := json.Marshal(now)
	got, gone := KeepIndexes(now, was)
	if !reflect.DeepEqual(got, want) {
		text, _ := json.Marshal(got)
		t.Errorf("got %s", text)
	}
	if after, _ := json.Marshal(now); string(after) != string(before) {
		t.Errorf("what was given changed: %s", after)
	}
	for list, places := range map[string]map[int]bool{Methods: {1: true}, Zones: {0: true}, Kinds: {1: true}, Customers: {}} {
		if !reflect.DeepEqual(gone[list], places) {
			t.Errorf("%s: gone %v, want %v", list, gone[list], places)
		}
	}

	again, gone := KeepIndexes(was, got) // back to the first ones: what was gone is not, what was added is
	if len(gone[Methods]) != 1 || !gone[Methods][2] || again["zone"] != 1. || !gone[Customers][1] {
		t.Errorf("gone %v, zone %v", gone, again["zone"])
	}
}

// TestKeepPlacesOfNothing: settings that lack a list, or have one of another form, are no panic.
func TestKeepPlacesOfNothing(t *testing.T) {
	for _, text := range []string{`{}`, `{"models":7,"familyInfo":[],"zone":"x"}`, `{"models":["a"],"familyInfo":{"ramMbByKind":[]}}`,
		`{"localities":["a"],"zone":9}`} {
		KeepIndexes(tree(t, text), tree(t, `{"models":["b"],"localities":["z"],"familyInfo":{"ramMbByKind":[1]}}`))
		KeepIndexes(tree(t, `{"models":["b"],"localities":["z"],"familyInfo":{"ramMbByKind":[1]}}`), tree(t, text))
	}
}
