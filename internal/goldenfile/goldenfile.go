// Package goldenfile helps tests to compare what the program writes with golden files that an
// earlier version wrote. The files are in testdata/golden of the package under test. "go test
// -update" rewrites them, which declares a change of format.
package goldenfile

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func path(name string) string { return filepath.Join("testdata", "golden", name) }

// Compare fails the test unless written equals the golden file byte for byte. With -update it
// writes the file instead.
func Compare(t testing.TB, name string, written []byte) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path(name), written, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if golden := Read(t, name); !bytes.Equal(golden, written) {
		t.Errorf("%s: the written format has changed\nbefore: %s\nnow:    %s", path(name), golden, written)
	}
}

// Read returns the bytes of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	golden, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return golden
}

// RequireJSONTags fails the test for each field, of the types of the values, that takes its JSON
// key from the name of the Go field, so that a rename would change the format. It descends into the
// program's own types. An embedded struct needs no tag, but its fields do.
func RequireJSONTags(t testing.TB, values ...any) {
	t.Helper()
	seen := map[reflect.Type]bool{}
	for _, value := range values {
		for _, field := range fieldsWithoutTag(reflect.TypeOf(value), seen) {
			t.Errorf("%s has no JSON tag: add one with its current key", field)
		}
	}
}

// fieldsWithoutTag returns the fields without a JSON tag in a type and the types that it uses,
// except those in seen.
func fieldsWithoutTag(typ reflect.Type, seen map[reflect.Type]bool) (fields []string) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return fieldsWithoutTag(typ.Elem(), seen)
	}
	if typ.Kind() != reflect.Struct || seen[typ] || typ.PkgPath() != "" && !strings.HasPrefix(typ.PkgPath(), "kitehub/") {
		return nil
	}
	seen[typ] = true
	for field := range typ.Fields() {
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if key == "-" { // never written
			continue
		}
		if key == "" && field.IsExported() && !field.Anonymous {
			fields = append(fields, typ.String()+"."+field.Name)
		}
		if field.IsExported() || field.Anonymous {
			fields = append(fields, fieldsWithoutTag(field.Type, seen)...)
		}
	}
	return fields
}

// Updating reports whether golden files are to be rewritten, for tests whose golden files are whole
// folders.
func Updating() bool { return *update }

// RoundTrip compares a value's JSON with a golden file and fails the test unless the file decodes
// to an equal value.
func RoundTrip[T any](t testing.TB, name string, value T) {
	t.Helper()
	written, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Compare(t, name, written)
	var read T
	if err := json.Unmarshal(Read(t, name), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, value) {
		t.Errorf("%s: read %+v, want %+v", name, read, value)
	}
}

// ReadFolder returns the contents of the files in a folder, by name.
func ReadFolder(t testing.TB, folder string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if files[entry.Name()], err = os.ReadFile(filepath.Join(folder, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}
