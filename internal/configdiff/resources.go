// Package configdiff compares configurations resource by resource: what one changes in another, and what comes of a change.
package configdiff

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"mallowlanding/internal/settings"
)

// Digest is of a configuration's text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// ID names a resource.
type ID struct{ Type, Name string }

// Canonical is the one text of a well-formed configuration, and its parts.
func Canonical(file, text string) (string, []settings.Resource, error) {
	parts, err := settings.ReadResources(file, strings.NewReader(text))
	if err != nil {
		return "", nil, err
	}
	return settings.ResourcesText(parts), parts, nil
}

func byID(parts []settings.Resource) map[ID]string {
	out := map[ID]string{}
	for _, p := range parts {
		out[ID{p.Type, p.Name}] = p.Text
	}
	return out
}

// Diff are what must be set and removed to come from one configuration to another.
func Diff(from, to []settings.Resource) (set []settings.Resource, removed []ID) {
	before, after := byID(from), byID(to)
	for _, p := range to {
		if text, had := before[ID{p.Type, p.Name}]; !had || text != p.Text {
			set = append(set, p)
		}
	}
	for _, p := range from {
		if _, has := after[ID{p.Type, p.Name}]; !has {
			removed = append(removed, ID{p.Type, p.Name})
		}
	}
	return set, removed
}

// Patch is a configuration with changes made.
func Patch(base, set []settings.Resource, removed []ID) []settings.Resource {
	drop := map[ID]bool{}
	for _, id := range removed {
		drop[id] = true
	}
	for _, p := range set {
		drop[ID{p.Type, p.Name}] = true
	}
	var out []settings.Resource
	for _, p := range base {
		if !drop[ID{p.Type, p.Name}] {
			out = append(out, p)
		}
	}
	out = append(out, set...)
	settings.SortResources(out)
	return out
}

// FormatDiff tell the difference for people: each resource that one has and the other has not, or has otherwise.
func FormatDiff(from, to []settings.Resource) (out []string) {
	set, removed := Diff(from, to)
	before := byID(from)
	for _, id := range removed {
		out = append(out, fmt.Sprintf("- %s %s", id.Type, id.Name))
	}
	for _, p := range set {
		if was, had := before[ID{p.Type, p.Name}]; had {
			out = append(out, fmt.Sprintf("! %s %s", p.Type, p.Name))
			for line := range strings.Lines(was) {
				out = append(out, "    - "+strings.TrimRight(line, "\n"))
			}
		} else {
			out = append(out, fmt.Sprintf("+ %s %s", p.Type, p.Name))
		}
		for line := range strings.Lines(p.Text) {
			out = append(out, "    + "+strings.TrimRight(line, "\n"))
		}
	}
	return out
}
