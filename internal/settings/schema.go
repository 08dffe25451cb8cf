package settings

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"mallowlanding/router"
)

// Schema returns the XML schema of all documents, generated from the struct tags by which they are read. Only the
// readers check rules that concern more than one element: distinct names, references, and values that must fit
// together.
func Schema() []byte {
	s := &schemaWriter{written: map[reflect.Type]bool{}}
	s.b.WriteString(xml.Header)
	s.b.WriteString("<!-- Written by: mallowlanding schema. Times are in milliseconds. -->\n")
	s.b.WriteString("<xs:schema xmlns:xs=\"http://www.w3.org/2001/XMLSchema\">\n")
	roots := []struct {
		name string
		t    reflect.Type
	}{{"front-end", reflect.TypeFor[FrontEnd]()}, {"worker", reflect.TypeFor[Worker]()},
		{"roster", reflect.TypeFor[Roster]()}, {"scenario", reflect.TypeFor[Scenario]()},
		{"control", reflect.TypeFor[Control]()}, {"configuration", reflect.TypeFor[Configuration]()},
		{"experiment", reflect.TypeFor[Experiment]()}}
	for _, r := range roots {
		fmt.Fprintf(&s.b, "  <xs:element name=%q type=%q/>\n", r.name, r.t.Name())
	}
	for _, r := range roots {
		s.writeComplexType(r.t)
	}
	s.b.WriteString("</xs:schema>\n")
	return s.b.Bytes()
}

type schemaWriter struct {
	b       bytes.Buffer
	written map[reflect.Type]bool
}

func (s *schemaWriter) writeComplexType(t reflect.Type) {
	if s.written[t] {
		return
	}
	s.written[t] = true
	var children []reflect.Type
	fmt.Fprintf(&s.b, "  <xs:complexType name=%q>\n", t.Name())
	inSequence := false
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("e")
		if name == "" {
			continue
		}
		if !inSequence {
			s.b.WriteString("    <xs:sequence>\n")
			inSequence = true
		}
		child, maxOccurs := f.Type, ""
		if child.Kind() == reflect.Slice {
			child, maxOccurs = child.Elem(), ` maxOccurs="unbounded"`
		} else if child.Kind() == reflect.Pointer {
			child = child.Elem()
		}
		minOccurs := ` minOccurs="0"`
		if f.Tag.Get("need") != "" {
			minOccurs = ""
		}
		fmt.Fprintf(&s.b, "      <xs:element name=%q type=%q%s%s/>\n", name, child.Name(), minOccurs, maxOccurs)
		children = append(children, child)
	}
	if inSequence {
		s.b.WriteString("    </xs:sequence>\n")
	}
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("a") != "" {
			s.writeAttribute(f)
		}
	}
	s.b.WriteString("  </xs:complexType>\n")
	for _, child := range children {
		s.writeComplexType(child)
	}
}

func (s *schemaWriter) writeAttribute(f reflect.StructField) {
	fmt.Fprintf(&s.b, "    <xs:attribute name=%q", f.Tag.Get("a"))
	if f.Tag.Get("need") != "" {
		s.b.WriteString(` use="required"`)
	}
	if def, has := f.Tag.Lookup("def"); has {
		fmt.Fprintf(&s.b, " default=%q", def)
	}
	base, facets := "xs:string", ""
	switch {
	case f.Type == reflect.TypeFor[router.Time]() || f.Type.Kind() == reflect.Float64:
		base = "xs:decimal"
	case f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Int64:
		base = "xs:integer"
	case f.Type.Kind() == reflect.Bool:
		facets = enumeration("yes no")
	case f.Tag.Get("words") != "":
		facets = enumeration(f.Tag.Get("words"))
	default:
		facets = `<xs:minLength value="1"/>`
	}
	for _, bound := range [][2]string{{"min", "minInclusive"}, {"max", "maxInclusive"}} {
		if n, err := strconv.ParseFloat(f.Tag.Get(bound[0]), 64); err == nil {
			facets += fmt.Sprintf(`<xs:%s value=%q/>`, bound[1], strconv.FormatFloat(n, 'f', -1, 64))
		}
	}
	fmt.Fprintf(&s.b, "><xs:simpleType><xs:restriction base=%q>%s</xs:restriction></xs:simpleType></xs:attribute>\n",
		base, facets)
}

func enumeration(words string) string {
	out := ""
	for word := range strings.FieldsSeq(words) {
		out += fmt.Sprintf("<xs:enumeration value=%q/>", word)
	}
	return out
}
