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

// Write writes a document that the readers of this package read back as it is; root is its element's name.
func Write(file, root string, doc any) error {
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
		_, defaults := field.Tag.Lookup("def")
		if attr == "" || value.IsZero() && !defaults && field.Tag.Get("need") == "" {
			continue
		}
		text, err := attrText(value)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, " %s=\"%s\"", attr, escape(text))
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

func escape(text string) string {
	var b bytes.Buffer
	_ = xml.EscapeText(&b, []byte(text)) // a buffer takes all
	return b.String()
}

func attrText(v reflect.Value) (string, error) {
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
	return "", fmt.Errorf("no writer for a %s", v.Type())
}

// ElementText is a part of a document as XML.
func ElementText(name string, part any) (string, error) {
	var b bytes.Buffer
	err := appendElement(&b, name, reflect.ValueOf(part), "  ")
	return b.String(), err
}
