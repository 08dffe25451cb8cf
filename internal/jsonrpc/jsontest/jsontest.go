// Package jsontest compares JSON in tests.
package jsontest

import (
	"fmt"
	"reflect"

	"github.com/go-json-experiment/json"
)

// Same tells how got differs from want; "*" in want stands for anything.
func Same(got, want []byte) error {
	var g, w any
	if err := json.Unmarshal(got, &g); err != nil {
		return fmt.Errorf("got %q: %w", got, err)
	}
	if err := json.Unmarshal(want, &w); err != nil {
		return fmt.Errorf("want %q: %w", want, err)
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
		g, is := got.(map[string]any)
		if !is || len(g) != len(w) {
			return false
		}
		for name := range w {
			if v, has := g[name]; !has || !matches(v, w[name]) {
				return false
			}
		}
		return true
	case []any:
		g, is := got.([]any)
		if !is || len(g) != len(w) {
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
