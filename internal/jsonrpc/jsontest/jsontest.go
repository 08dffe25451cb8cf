// Package jsontest compares JSON values in tests.
package jsontest

import (
	"fmt"
	"reflect"

	"github.com/go-json-experiment/json"
)

// Match returns an error if got is not the JSON that want describes. The string "*" in want matches any value.
func Match(got, want []byte) error {
	var g, w any
	if err := json.Unmarshal(got, &g); err != nil {
		return fmt.Errorf("invalid JSON in got, %q: %w", got, err)
	}
	if err := json.Unmarshal(want, &w); err != nil {
		return fmt.Errorf("invalid JSON in want, %q: %w", want, err)
	}
	if !matches(g, w) {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func matches(got, want any) bool {
	switch w := want.(type) {
	case string:
		return w == "*" || got == want
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok || len(g) != len(w) {
			return false
		}
		for name := range w {
			if v, has := g[name]; !has || !matches(v, w[name]) {
				return false
			}
		}
		return true
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) != len(w) {
			return false
		}
		for i := range w {
			if !matches(g[i], w[i]) {
				return false
			}
		}
		return true
	}
	return reflect.DeepEqual(got, want)
}
