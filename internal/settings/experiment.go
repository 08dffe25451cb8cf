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

// Experiment is a plan of runs: every combination of scenarios (days), policies and varied settings, with the same
// seeds.
type Experiment struct {
	Pos
	Name      string    `a:"name" need:"yes"`
	Seeds     int       `a:"seeds" def:"5" min:"1" max:"10000"`
	FirstSeed int64     `a:"first-seed" def:"1" min:"0" max:"9007199254740992"`
	Scenarios []PlanDay `e:"day" need:"yes"`
	Policies  []Named   `e:"policy"`
	Varied    []Vary    `e:"vary"`
}

// PlanDay is a scenario of a plan. The path of its file is relative to the folder of the plan.
type PlanDay struct {
	Pos
	File string `a:"scenario" need:"yes"`
}

// Vary sets attributes of the scenario to each of several values. The path of an attribute is
// ELEMENT/ELEMENT[N]@ATTRIBUTE, where N counts from 0 and may be left out for 0.
type Vary struct {
	Pos
	Set    string `a:"set" need:"yes"`    // paths, separated by blanks; several are set together
	Values string `a:"values" need:"yes"` // separated by blanks; each has a part for each path, separated by commas
}

// OverrideSets returns the overrides of each value.
func (v *Vary) OverrideSets() (out [][]Override, err error) {
	paths := strings.Fields(v.Set)
	for value := range strings.FieldsSeq(v.Values) {
		parts := strings.Split(value, ",")
		if len(parts) != len(paths) {
			return nil, v.Errorf("value %q has %d parts for %d attributes", value, len(parts), len(paths))
		}
		var step []Override
		for i, path := range paths {
			if !overridePattern.MatchString(path) {
				return nil, v.Errorf("set %q: want ELEMENT/ELEMENT[N]@ATTRIBUTE", path)
			}
			step = append(step, Override{path, parts[i]})
		}
		out = append(out, step)
	}
	return out, nil
}

// Override sets the attribute at Path to Value.
type Override struct{ Path, Value string }

var overridePattern = regexp.MustCompile(`^([a-z-]+(\[[0-9]+\])?/)*([a-z-]+(\[[0-9]+\])?)?@[a-z-]+$`)

// ReadExperiment reads and checks a plan. The paths of the scenarios become relative to the current directory.
func ReadExperiment(file string) (*Experiment, error) {
	x := &Experiment{}
	if err := readFile(file, "experiment", x); err != nil {
		return nil, err
	}
	for i := range x.Scenarios {
		scenario := &x.Scenarios[i]
		scenario.File = filepath.Join(filepath.Dir(file), scenario.File)
		if _, err := ReadScenario(scenario.File); err != nil {
			return nil, scenario.Errorf("%v", err)
		}
	}
	for _, v := range x.Varied {
		steps, err := v.OverrideSets()
		if err != nil {
			return nil, err
		}
		for _, step := range steps {
			for _, scenario := range x.Scenarios {
				if _, err := ReadScenarioWith(scenario.File, step); err != nil {
					return nil, v.Errorf("%v: %v", step, err)
				}
			}
		}
	}
	return x, checkDistinct(x.Policies, nameAndPos, "policy")
}

// ReadScenarioWith is like ReadScenario, with some attributes overridden.
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
		if err := root.setAttribute(o); err != nil {
			return nil, err
		}
	}
	s := &Scenario{}
	if err := root.decode(reflect.ValueOf(s).Elem()); err != nil {
		return nil, err
	}
	return s, s.check()
}

// setAttribute applies an override. The element must exist, the attribute need not.
func (e *element) setAttribute(o Override) error {
	path, attr, _ := strings.Cut(o.Path, "@")
	target := e
	for step := range strings.SplitSeq(path, "/") {
		if step == "" {
			continue
		}
		name, index, _ := strings.Cut(strings.TrimSuffix(step, "]"), "[")
		n, _ := strconv.Atoi(index)
		var found *element
		for _, child := range target.children {
			if child.name == name {
				if n == 0 {
					found = child
					break
				}
				n--
			}
		}
		if found == nil {
			return target.pos.Errorf("no element %q in %q to set %s", step, target.name, o.Path)
		}
		target = found
	}
	for i := range target.attrs {
		if target.attrs[i].Name.Local == attr {
			target.attrs[i].Value = o.Value
			return nil
		}
	}
	target.attrs = append(target.attrs, xml.Attr{Name: xml.Name{Local: attr}, Value: o.Value})
	return nil
}
