package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"testing"
)

// Fill sets every exported field of the value that a pointer points to, lists with two elements and maps with one. Each
// value differs from the others and depends on the order of the fields alone, so that a renaming of Go fields leaves it
// as it is. A value of an interface type is filled with a string.
func Fill(pointer any) {
	filler := &filler{}
	filler.fill(reflect.ValueOf(pointer).Elem())
}

// Outline returns the value that a pointer points to one element in each list and one entry in each map, and leaves
// everything else at its zero, so that each nested type is there with nothing set.
func Outline(pointer any) { outline(reflect.ValueOf(pointer).Elem()) }

func outline(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Type().Field(index).IsExported() {
				outline(value.Field(index))
			}
		}
	case reflect.Slice:
		if value.Type().Elem().Kind() != reflect.Uint8 {
			value.Set(reflect.MakeSlice(value.Type(), 1, 1))
			outline(value.Index(0))
		}
	case reflect.Map:
		held := reflect.New(value.Type().Elem()).Elem()
		outline(held)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(reflect.Zero(value.Type().Key()), held)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		outline(value.Elem())
	}
}

// filler counts the values given out.
type filler struct{ count int }

func (filler *filler) next() int {
	filler.count++
	return filler.count
}

func (filler *filler) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Type().Field(index).IsExported() {
				filler.fill(value.Field(index))
			}
		}
	case reflect.Slice:
		filler.fillSlice(value)
	case reflect.Array:
		for index := range value.Len() {
			filler.fill(value.Index(index))
		}
	case reflect.Map:
		key, held := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		filler.fill(key)
		filler.fill(held)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, held)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		filler.fill(value.Elem())
	case reflect.Interface:
		value.Set(reflect.ValueOf(fmt.Sprint("any", filler.next())))
	default:
		filler.fillPlain(value)
	}
}

// fillSlice fills a list; bytes get a number as a text, which is JSON too, as raw JSON must be.
func (filler *filler) fillSlice(value reflect.Value) {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		value.Set(reflect.ValueOf([]byte(strconv.Itoa(filler.next()))).Convert(value.Type()))
		return
	}
	value.Set(reflect.MakeSlice(value.Type(), elements, elements))
	for index := range elements {
		filler.fill(value.Index(index))
	}
}

func (filler *filler) fillPlain(value reflect.Value) {
	switch value.Kind() {
	case reflect.String:
		value.SetString(fmt.Sprint("text", filler.next()))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(filler.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(filler.next()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(filler.next()) + 0.5)
	default:
		panic(fmt.Sprintf("no value for a field of type %s", value.Type()))
	}
}

// Indent returns JSON, which must have no blanks, with a line for each key in the order in which it was written.
func Indent(t *testing.T, content []byte) string {
	t.Helper()
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil || !bytes.Equal(compact.Bytes(), content) {
		t.Errorf("written with blanks, or no JSON: %v: %s", err, content)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, content, "", "  "); err != nil {
		t.Fatalf("%v: %s", err, content)
	}
	return indented.String() + "\n"
}

// CompareJSON wants encode to write what the golden files of a name hold: for a value with every field set, for its
// outline, which shows which keys of nested types are left out, and for a value with nothing set.
func CompareJSON[Value any](t *testing.T, name string, encode func(*Value) ([]byte, error)) {
	t.Helper()
	full, outlined := new(Value), new(Value)
	Fill(full)
	Outline(outlined)
	for file, value := range map[string]*Value{"": full, "-outline": outlined, "-empty": new(Value)} {
		content, err := encode(value)
		if err != nil {
			t.Fatal(err)
		}
		Compare(t, name+file+".json", Indent(t, content))
	}
}

// Marshal encodes as encoding/json does.
func Marshal[Value any](value *Value) ([]byte, error) { return json.Marshal(value) }
