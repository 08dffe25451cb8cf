package settings

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"mallowlanding/router"
)

// WriteFile writes a document, whose root element gets the given name. The readers of this package read it back
// unchanged.
func WriteFile(file, root string, doc any) error {
	var b bytes.Buffer
	b.WriteString(xml.Header)
	if err := appendElement(&b, root, reflect.ValueOf(doc), ""); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o600)
}

func appendElement(b *bytes.Buffer, name string, v reflect.Value, indent string) error {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return nil
		}
		v = v.Elem()
	}
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			if err := appendElement(b, name, v.Index(i), indent); err != nil {
				return err
			}
		}
		return nil
	}
	fmt.Fprintf(b, "%s<%s", indent, name)
	children := false
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		children = children || field.Tag.Get("e") != ""
		attr := field.Tag.Get("a")
		_, hasDefault := field.Tag.Lookup("def")
		if attr == "" || value.IsZero() && !hasDefault && field.Tag.Get("need") == "" {
			continue
		}
		text, err := formatAttr(value)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, " %s=\"%s\"", attr, escapeXML(text))
	}
	if !children {
		b.WriteString("/>\n")
		return nil
	}
	b.WriteString(">\n")
	for i := range v.NumField() {
		if child := v.Type().Field(i).Tag.Get("e"); child != "" {
			if err := appendElement(b, child, v.Field(i), indent+"  "); err != nil {
				return err
			}
		}
	}
	fmt.Fprintf(b, "%s</%s>\n", indent, name)
	return nil
}

func escapeXML(text string) string {
	var b bytes.Buffer
	_ = xml.EscapeText(&b, []byte(text)) // a buffer never fails
	return b.String()
}

func formatAttr(v reflect.Value) (string, error) {
	if t, is := v.Interface().(router.Time); is {
		return strings.TrimSuffix(strconv.FormatFloat(float64(t)/10, 'f', 1, 64), ".0"), nil
	}
	switch v.Kind() {
	case reflect.String:
		return v.String(), nil
	case reflect.Bool:
		if v.Bool() {
			return "yes", nil
		}
		return "no", nil
	case reflect.Int, reflect.Int64:
		return strconv.FormatInt(v.Int(), 10), nil
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64), nil
	}
	return "", fmt.Errorf("cannot write a field of type %s", v.Type())
}

// ElementText returns the XML of an element with the given name and value, indented by one level.
func ElementText(name string, value any) (string, error) {
	var b bytes.Buffer
	err := appendElement(&b, name, reflect.ValueOf(value), "  ")
	return b.String(), err
}
