package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"testing"
)

// Fill sets every exported field of the value that a pointer points to. Slices get two elements, maps one entry, and
// values of an interface type a string. Numbers and strings differ from each other and depend on the order of the
// fields alone, so that a rename of Go fields does not change them.
func Fill(pointer any) {
	filler := &filler{}
	filler.fill(reflect.ValueOf(pointer).Elem())
}

// Outline sets each slice, map and pointer in the value that a pointer points to, with one zero element or entry, and
// leaves all other values zero. The encoded outline shows which keys of nested types are omitted when empty.
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
		entry := reflect.New(value.Type().Elem()).Elem()
		outline(entry)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(reflect.Zero(value.Type().Key()), entry)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		outline(value.Elem())
	}
}

// filler fills values. count is the number of distinct values generated so far.
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
		key, entry := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		filler.fill(key)
		filler.fill(entry)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, entry)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		filler.fill(value.Elem())
	case reflect.Interface:
		value.Set(reflect.ValueOf(fmt.Sprint("any", filler.next())))
	default:
		filler.fillScalar(value)
	}
}

// fillSlice fills a slice. A byte slice gets a decimal number, which is valid JSON, since it may be a json.RawMessage.
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

func (filler *filler) fillScalar(value reflect.Value) {
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

// Indent returns JSON with a line for each key, in the order of content. It fails the test if content is not compact
// JSON.
func Indent(t *testing.T, content []byte) string {
	t.Helper()
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil || !bytes.Equal(compact.Bytes(), content) {
		t.Errorf("not compact JSON: %v: %s", err, content)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, content, "", "  "); err != nil {
		t.Fatalf("%v: %s", err, content)
	}
	return indented.String() + "\n"
}

// CompareJSON compares what encode writes with the golden files of a name: for a value with every field set (Fill), for
// its outline (Outline), and for the zero value.
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

// Marshal encodes a value with encoding/json; it is an encode function for CompareJSON.
func Marshal[Value any](value *Value) ([]byte, error) { return json.Marshal(value) }
