// Package configdiff compares configurations resource by resource: it computes the changes from one to another, and
// applies changes to a configuration.
package configdiff

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"mallowlanding/internal/settings"
)

// Digest returns the digest of a configuration's text: its SHA-256 in hexadecimal.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// ID identifies a resource of a configuration.
type ID struct{ Type, Name string }

// Canonical returns the canonical text of a well-formed configuration, and its resources. Errors name file.
func Canonical(file, text string) (string, []settings.Resource, error) {
	resources, err := settings.ReadResources(file, strings.NewReader(text))
	if err != nil {
		return "", nil, err
	}
	return settings.ResourcesText(resources), resources, nil
}

func textsByID(resources []settings.Resource) map[ID]string {
	out := map[ID]string{}
	for _, r := range resources {
		out[ID{r.Type, r.Name}] = r.Text
	}
	return out
}

// Diff returns the resources to set and to remove in order to turn configuration from into configuration to.
func Diff(from, to []settings.Resource) (set []settings.Resource, removed []ID) {
	before, after := textsByID(from), textsByID(to)
	for _, r := range to {
		if text, existed := before[ID{r.Type, r.Name}]; !existed || text != r.Text {
			set = append(set, r)
		}
	}
	for _, r := range from {
		if _, exists := after[ID{r.Type, r.Name}]; !exists {
			removed = append(removed, ID{r.Type, r.Name})
		}
	}
	return set, removed
}

// Patch returns the resources of base with the given ones set and removed, in canonical order.
func Patch(base, set []settings.Resource, removed []ID) []settings.Resource {
	replaced := map[ID]bool{}
	for _, id := range removed {
		replaced[id] = true
	}
	for _, r := range set {
		replaced[ID{r.Type, r.Name}] = true
	}
	var out []settings.Resource
	for _, r := range base {
		if !replaced[ID{r.Type, r.Name}] {
			out = append(out, r)
		}
	}
	out = append(out, set...)
	settings.SortResources(out)
	return out
}

// FormatDiff returns the difference as lines of text for people: each resource that was added (+), removed (-) or
// changed (!).
func FormatDiff(from, to []settings.Resource) (out []string) {
	set, removed := Diff(from, to)
	before := textsByID(from)
	for _, id := range removed {
		out = append(out, fmt.Sprintf("- %s %s", id.Type, id.Name))
	}
	for _, r := range set {
		if oldText, existed := before[ID{r.Type, r.Name}]; existed {
			out = append(out, fmt.Sprintf("! %s %s", r.Type, r.Name))
			for line := range strings.Lines(oldText) {
				out = append(out, "    - "+strings.TrimRight(line, "\n"))
			}
		} else {
			out = append(out, fmt.Sprintf("+ %s %s", r.Type, r.Name))
		}
		for line := range strings.Lines(r.Text) {
			out = append(out, "    + "+strings.TrimRight(line, "\n"))
		}
	}
	return out
}
