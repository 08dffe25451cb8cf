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

// Strict reading of XML into structs whose fields carry tags:
//
//	a:"name"      an attribute; e:"name" a child element (a struct, a pointer to one, or a slice of structs)
//	need:"yes"    it must be there (of a slice: one at least)
//	def:"value"   its value where it is left out
//	min, max      bounds of a number, both allowed; words: the words allowed, by blanks
//
// Children stand in the fields' order. Whatever a struct does not name is an error. A struct may have a Pos, which takes the element's place.

// Pos is a place in a settings file.
type Pos struct {
	File string
	Line int
}

// Errorf is an error at that place.
func (p Pos) Errorf(format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", p.File, p.Line, fmt.Sprintf(format, args...))
}

type element struct {
	pos      Pos
	name     string
	attrs    []xml.Attr
	children []*element
}

// maxDepth bounds nesting: the deepest document of the schema has five levels.
const maxDepth = 32

// parse reads a file's elements with their lines.
func parse(file string, in io.Reader) (*element, error) {
	dec := xml.NewDecoder(in)
	var root *element
	var open []*element
	for {
		line, _ := dec.InputPos()
		token, err := dec.Token()
		here, _ := dec.InputPos()
		pos := Pos{file, here}
		if err == io.EOF {
			if root == nil {
				return nil, Pos{file, line}.Errorf("no element")
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
				return nil, pos.Errorf("element %q is of name space %q; the settings have none", e.name, t.Name.Space)
			}
			if len(open) == maxDepth {
				return nil, pos.Errorf("elements nest more than %d deep", maxDepth)
			}
			if len(open) > 0 {
				up := open[len(open)-1]
				up.children = append(up.children, e)
			} else if root != nil {
				return nil, pos.Errorf("a second root element %q", e.name)
			} else {
				root = e
			}
			open = append(open, e)
		case xml.EndElement:
			open = open[:len(open)-1]
		case xml.CharData:
			if text := strings.TrimSpace(string(t)); text != "" {
				before, _, _ := strings.Cut(string(t), text)
				return nil, Pos{file, line + strings.Count(before, "\n")}.Errorf("text %.40q where none belongs", text)
			}
		case xml.Directive:
			return nil, pos.Errorf("a document type declaration; the settings have none")
		}
	}
}

// readFile reads file, whose root must be the element name, into the struct that to points to.
func readFile(file, name string, to any) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	return read(file, in, name, to)
}

func read(file string, in io.Reader, name string, to any) error {
	root, err := parse(file, in)
	if err != nil {
		return err
	}
	if root.name != name {
		return root.pos.Errorf("root element %q, want %q", root.name, name)
	}
	return root.into(reflect.ValueOf(to).Elem())
}

func (e *element) into(v reflect.Value) error {
	attrs, seen := map[string]string{}, map[string]bool{}
	for _, a := range e.attrs {
		if _, twice := attrs[a.Name.Local]; twice {
			return e.pos.Errorf("attribute %q of %q stands twice", a.Name.Local, e.name)
		}
		if a.Name.Space == "xmlns" || a.Name.Space == "http://www.w3.org/2001/XMLSchema-instance" {
			continue // a hint for editors where the schema lies
		}
		attrs[a.Name.Local] = a.Value
	}
	known, places, last := map[string]reflect.Value{}, map[string]int{}, ""
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
			if err := assign(to, text, field.Tag); err != nil {
				return e.pos.Errorf("attribute %q of %q: %v", name, e.name, err)
			}
		} else if name := field.Tag.Get("e"); name != "" {
			known[name], places[name] = to, i
		}
	}
	for _, a := range e.attrs {
		if _, left := attrs[a.Name.Local]; left {
			return e.pos.Errorf("unknown attribute %q of %q", a.Name.Local, e.name)
		}
	}
	for _, child := range e.children {
		to, isKnown := known[child.name]
		if !isKnown {
			return child.pos.Errorf("unknown element %q in %q", child.name, e.name)
		}
		if last != "" && places[child.name] < places[last] {
			return child.pos.Errorf("element %q must stand before %q in %q", child.name, last, e.name)
		}
		last = child.name
		if to.Kind() == reflect.Slice {
			item := reflect.New(to.Type().Elem()).Elem()
			if err := child.into(item); err != nil {
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
		if err := child.into(to); err != nil {
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
		if field.Type.Kind() == reflect.Struct { // left out: all its defaults
			if err := (&element{pos: e.pos, name: name}).into(v.Field(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func assign(to reflect.Value, text string, tag reflect.StructTag) error {
	number := func(bits string) (float64, error) {
		text = strings.Trim(text, " \t\r\n")
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(n, 0) || strings.Trim(text, "+-.0123456789") != "" {
			return 0, fmt.Errorf("%.40q is not a %s", text, bits)
		}
		for name, over := range map[string]bool{"min": false, "max": true} {
			if bound, err := strconv.ParseFloat(tag.Get(name), 64); err == nil && (n > bound) == over && n != bound {
				return 0, fmt.Errorf("%s is out of range: at %s %s", text,
					map[bool]string{false: "least", true: "most"}[over], tag.Get(name))
			}
		}
		return n, nil
	}
	switch to.Interface().(type) {
	case router.Time: // stated in milliseconds
		n, err := number("time in milliseconds")
		if err != nil {
			return err
		}
		to.SetInt(int64(math.Round(n * 10)))
		return nil
	}
	switch to.Kind() {
	case reflect.String:
		if words := strings.Fields(tag.Get("words")); len(words) > 0 && !slices.Contains(words, text) {
			return fmt.Errorf("%.40q is none of %s", text, strings.Join(words, ", "))
		}
		if text == "" {
			return errors.New("it is empty")
		}
		to.SetString(text)
	case reflect.Bool:
		if text != "yes" && text != "no" {
			return fmt.Errorf("%.40q is neither yes nor no", text)
		}
		to.SetBool(text == "yes")
	case reflect.Float64:
		n, err := number("number")
		if err != nil {
			return err
		}
		to.SetFloat(n)
	case reflect.Int, reflect.Int64:
		n, err := number("whole number")
		if err != nil {
			return err
		}
		if n != math.Trunc(n) || strings.Contains(text, ".") {
			return fmt.Errorf("%.40q is not a whole number", text)
		}
		to.SetInt(int64(n))
	default:
		return fmt.Errorf("no reader for a %s", to.Type())
	}
	return nil
}
