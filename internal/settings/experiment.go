package settings

import (
	"encoding/xml"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// Experiment is a plan: days, policies and settings, each combination with the same seeds.
type Experiment struct {
	Pos
	Name      string    `a:"name" need:"yes"`
	Seeds     int       `a:"seeds" def:"5" min:"1" max:"10000"`
	FirstSeed int64     `a:"first-seed" def:"1" min:"0" max:"9007199254740992"`
	Days      []PlanDay `e:"day" need:"yes"`
	Policies  []Named   `e:"policy"`
	Varied    []Vary    `e:"vary"`
}

// PlanDay is a scenario, by its file's path from the plan's folder.
type PlanDay struct {
	Pos
	File string `a:"scenario" need:"yes"`
}

// Vary sets attributes of the scenario to each of some values: ELEMENT/ELEMENT[N]@ATTRIBUTE, N from 0, 0 if left out.
type Vary struct {
	Pos
	Set    string `a:"set" need:"yes"`    // by blanks: more than one go together
	Values string `a:"values" need:"yes"` // by blanks, each with a part for each attribute, by commas
}

// OverrideSets are the overrides of each value.
func (v *Vary) OverrideSets() (out [][]Override, err error) {
	paths := strings.Fields(v.Set)
	for value := range strings.FieldsSeq(v.Values) {
		parts := strings.Split(value, ",")
		if len(parts) != len(paths) {
			return nil, v.Errorf("value %q has %d parts for %d attributes", value, len(parts), len(paths))
		}
		var step []Override
		for i, path := range paths {
			if !pathForm.MatchString(path) {
				return nil, v.Errorf("set %q: want ELEMENT/ELEMENT[N]@ATTRIBUTE", path)
			}
			step = append(step, Override{path, parts[i]})
		}
		out = append(out, step)
	}
	return out, nil
}

// Override is one attribute's value.
type Override struct{ Path, Value string }

var pathForm = regexp.MustCompile(`^([a-z-]+(\[[0-9]+\])?/)*([a-z-]+(\[[0-9]+\])?)?@[a-z-]+$`)

// ReadExperiment reads and checks a plan; the scenarios' paths become ones from here.
func ReadExperiment(file string) (*Experiment, error) {
	x := &Experiment{}
	if err := readFile(file, "experiment", x); err != nil {
		return nil, err
	}
	for i := range x.Days {
		d := &x.Days[i]
		d.File = filepath.Join(filepath.Dir(file), d.File)
		if _, err := ReadScenario(d.File); err != nil {
			return nil, d.Errorf("%v", err)
		}
	}
	for _, v := range x.Varied {
		steps, err := v.OverrideSets()
		if err != nil {
			return nil, err
		}
		for _, step := range steps {
			for _, d := range x.Days {
				if _, err := ReadScenarioWith(d.File, step); err != nil {
					return nil, v.Errorf("%v: %v", step, err)
				}
			}
		}
	}
	return x, distinct(x.Policies, named, "policy")
}

// ReadScenarioWith is ReadScenario with attributes set.
func ReadScenarioWith(file string, set []Override) (*Scenario, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	root, err := parse(file, in)
	if err != nil {
		return nil, err
	}
	if root.name != "scenario" {
		return nil, root.pos.Errorf("root element %q, want %q", root.name, "scenario")
	}
	for _, o := range set {
		if err := root.override(o); err != nil {
			return nil, err
		}
	}
	s := &Scenario{}
	if err := root.into(reflect.ValueOf(s).Elem()); err != nil {
		return nil, err
	}
	return s, s.check()
}

// override sets an attribute, of an element that is there.
func (e *element) override(o Override) error {
	path, attr, _ := strings.Cut(o.Path, "@")
	at := e
	for step := range strings.SplitSeq(path, "/") {
		if step == "" {
			continue
		}
		name, index, _ := strings.Cut(strings.TrimSuffix(step, "]"), "[")
		n, _ := strconv.Atoi(index)
		var found *element
		for _, child := range at.children {
			if child.name == name {
				if n == 0 {
					found = child
					break
				}
				n--
			}
		}
		if found == nil {
			return at.pos.Errorf("no element %q in %q to set %s", step, at.name, o.Path)
		}
		at = found
	}
	for i := range at.attrs {
		if at.attrs[i].Name.Local == attr {
			at.attrs[i].Value = o.Value
			return nil
		}
	}
	at.attrs = append(at.attrs, xml.Attr{Name: xml.Name{Local: attr}, Value: o.Value})
	return nil
}
