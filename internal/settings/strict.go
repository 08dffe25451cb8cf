package settings

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"mallowlanding/router"
)

// This file reads XML strictly into structs whose fields have these tags:
//
//	a:"name"      the field is an attribute
//	e:"name"      the field is a child element: a struct, a pointer to one, or a slice of structs
//	need:"yes"    the attribute or element is required; a slice needs at least one
//	def:"value"   default value
//	min, max      inclusive bounds of a number
//	words         allowed words, separated by blanks
//
// Child elements must be in the order of the fields. Anything that a struct does not name is an error. A field of type
// Pos is set to the position of the element.

// Pos is a position in a settings file.
type Pos struct {
	File string
	Line int
}

// Errorf returns an error with the position.
func (p Pos) Errorf(format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", p.File, p.Line, fmt.Sprintf(format, args...))
}

type element struct {
	pos      Pos
	name     string
	attrs    []xml.Attr
	children []*element
}

// maxDepth bounds the nesting of elements. The deepest document of the schema has five levels.
const maxDepth = 32

// parse parses a document into elements with their positions.
func parse(file string, in io.Reader) (*element, error) {
	dec := xml.NewDecoder(in)
	var root *element
	var open []*element
	for {
		startLine, _ := dec.InputPos()
		token, err := dec.Token()
		endLine, _ := dec.InputPos()
		pos := Pos{file, endLine}
		if err == io.EOF {
			if root == nil {
				return nil, Pos{file, startLine}.Errorf("no element")
			}
			return root, nil
		}
		if err != nil {
			var syntax *xml.SyntaxError
			if errors.As(err, &syntax) {
				return nil, Pos{file, syntax.Line}.Errorf("%s", syntax.Msg)
			}
			return nil, pos.Errorf("%v", err)
		}
		switch t := token.(type) {
		case xml.StartElement:
			e := &element{pos: pos, name: t.Name.Local, attrs: t.Copy().Attr}
			if t.Name.Space != "" {
				return nil, pos.Errorf("element %q is in namespace %q; settings have none", e.name, t.Name.Space)
			}
			if len(open) == maxDepth {
				return nil, pos.Errorf("elements are nested more than %d deep", maxDepth)
			}
			if len(open) > 0 {
				parent := open[len(open)-1]
				parent.children = append(parent.children, e)
			} else if root != nil {
				return nil, pos.Errorf("second root element %q", e.name)
			} else {
				root = e
			}
			open = append(open, e)
		case xml.EndElement:
			open = open[:len(open)-1]
		case xml.CharData:
			if text := strings.TrimSpace(string(t)); text != "" {
				before, _, _ := strings.Cut(string(t), text)
				return nil, Pos{file, startLine + strings.Count(before, "\n")}.Errorf("unexpected text %.40q", text)
			}
		case xml.Directive:
			return nil, pos.Errorf("a document type declaration is not allowed")
		}
	}
}

// readFile reads a file, whose root element must have the given name, into the struct that into points to.
func readFile(file, name string, into any) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	return readDocument(file, in, name, into)
}

func readDocument(file string, in io.Reader, name string, into any) error {
	root, err := parse(file, in)
	if err != nil {
		return err
	}
	if root.name != name {
		return root.pos.Errorf("root element %q, want %q", root.name, name)
	}
	return root.decode(reflect.ValueOf(into).Elem())
}

// decode sets the fields of a struct from an element and checks it against the tags.
func (e *element) decode(v reflect.Value) error {
	attrs, seen := map[string]string{}, map[string]bool{}
	for _, a := range e.attrs {
		if _, duplicate := attrs[a.Name.Local]; duplicate {
			return e.pos.Errorf("attribute %q of %q stands twice", a.Name.Local, e.name)
		}
		if a.Name.Space == "xmlns" || a.Name.Space == "http://www.w3.org/2001/XMLSchema-instance" {
			continue // namespaces and the schema location, which editors use
		}
		attrs[a.Name.Local] = a.Value
	}
	fields, positions, last := map[string]reflect.Value{}, map[string]int{}, ""
	for i := range v.NumField() {
		field, to := v.Type().Field(i), v.Field(i)
		if field.Type == reflect.TypeFor[Pos]() {
			to.Set(reflect.ValueOf(e.pos))
			continue
		}
		if name := field.Tag.Get("a"); name != "" {
			text, given := attrs[name]
			delete(attrs, name)
			if def, has := field.Tag.Lookup("def"); !given && has {
				text, given = def, true
			}
			if !given {
				if field.Tag.Get("need") != "" {
					return e.pos.Errorf("attribute %q of %q is missing", name, e.name)
				}
				continue
			}
			if err := setField(to, text, field.Tag); err != nil {
				return e.pos.Errorf("attribute %q of %q: %v", name, e.name, err)
			}
		} else if name := field.Tag.Get("e"); name != "" {
			fields[name], positions[name] = to, i
		}
	}
	for _, a := range e.attrs {
		if _, unknown := attrs[a.Name.Local]; unknown {
			return e.pos.Errorf("unknown attribute %q of %q", a.Name.Local, e.name)
		}
	}
	for _, child := range e.children {
		to, isKnown := fields[child.name]
		if !isKnown {
			return child.pos.Errorf("unknown element %q in %q", child.name, e.name)
		}
		if last != "" && positions[child.name] < positions[last] {
			return child.pos.Errorf("element %q must come before %q in %q", child.name, last, e.name)
		}
		last = child.name
		if to.Kind() == reflect.Slice {
			item := reflect.New(to.Type().Elem()).Elem()
			if err := child.decode(item); err != nil {
				return err
			}
			to.Set(reflect.Append(to, item))
			seen[child.name] = true
			continue
		}
		if seen[child.name] {
			return child.pos.Errorf("element %q stands twice in %q", child.name, e.name)
		}
		seen[child.name] = true
		if to.Kind() == reflect.Pointer {
			to.Set(reflect.New(to.Type().Elem()))
			to = to.Elem()
		}
		if err := child.decode(to); err != nil {
			return err
		}
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := field.Tag.Get("e")
		if name == "" || seen[name] {
			continue
		}
		if field.Tag.Get("need") != "" {
			return e.pos.Errorf("element %q is missing in %q", name, e.name)
		}
		if field.Type.Kind() == reflect.Struct { // an element that is left out has all its defaults
			if err := (&element{pos: e.pos, name: name}).decode(v.Field(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// setField parses the text of an attribute into a field and checks it against the field's tag.
func setField(field reflect.Value, text string, tag reflect.StructTag) error {
	parseNumber := func(kind string) (float64, error) {
		text = strings.Trim(text, " \t\r\n")
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(n, 0) || strings.Trim(text, "+-.0123456789") != "" {
			return 0, fmt.Errorf("%.40q is not a %s", text, kind)
		}
		for name, isMax := range map[string]bool{"min": false, "max": true} {
			if bound, err := strconv.ParseFloat(tag.Get(name), 64); err == nil && (n > bound) == isMax && n != bound {
				return 0, fmt.Errorf("%s is out of range: at %s %s", text,
					map[bool]string{false: "least", true: "most"}[isMax], tag.Get(name))
			}
		}
		return n, nil
	}
	switch field.Interface().(type) {
	case router.Time: // given in milliseconds
		n, err := parseNumber("time in milliseconds")
		if err != nil {
			return err
		}
		field.SetInt(int64(math.Round(n * 10)))
		return nil
	}
	switch field.Kind() {
	case reflect.String:
		if words := strings.Fields(tag.Get("words")); len(words) > 0 && !slices.Contains(words, text) {
			return fmt.Errorf("%.40q is not one of %s", text, strings.Join(words, ", "))
		}
		if text == "" {
			return errors.New("must not be empty")
		}
		field.SetString(text)
	case reflect.Bool:
		if text != "yes" && text != "no" {
			return fmt.Errorf("%.40q is neither yes nor no", text)
		}
		field.SetBool(text == "yes")
	case reflect.Float64:
		n, err := parseNumber("number")
		if err != nil {
			return err
		}
		field.SetFloat(n)
	case reflect.Int, reflect.Int64:
		n, err := parseNumber("whole number")
		if err != nil {
			return err
		}
		if n != math.Trunc(n) || strings.Contains(text, ".") {
			return fmt.Errorf("%.40q is not a whole number", text)
		}
		field.SetInt(int64(n))
	default:
		return fmt.Errorf("cannot read a field of type %s", field.Type())
	}
	return nil
}
