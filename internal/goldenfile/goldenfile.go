// Package goldenfile compares what the program writes with files that an earlier program wrote, for tests only. The files stand
// under testdata/golden of the package under test; "go test -update" writes them anew, which says that a format is to change.
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

var update = flag.Bool("update", false, "write the golden files anew")

func path(name string) string { return filepath.Join("testdata", "golden", name) }

// Compare fails the test unless written has the very bytes of the golden file. With -update it writes the file instead.
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
		t.Errorf("%s: the program writes another format than before\nbefore: %s\nnow:    %s", path(name), golden, written)
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

// RequireJSONTags fails the test where a field that is stored or sent with one of the values takes its key from the name of the Go field,
// so that a rename would change the format. It looks into the program's own types; an embedded struct needs no tag, its fields do.
func RequireJSONTags(t testing.TB, values ...any) {
	t.Helper()
	seen := map[reflect.Type]bool{}
	for _, value := range values {
		for _, field := range untagged(reflect.TypeOf(value), seen) {
			t.Errorf("%s has no key of its own in JSON: give it a tag with today's", field)
		}
	}
}

func untagged(typ reflect.Type, seen map[reflect.Type]bool) (fields []string) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return untagged(typ.Elem(), seen)
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
			fields = append(fields, untagged(field.Type, seen)...)
		}
	}
	return fields
}

// Updating tells whether golden files are being written anew, for tests whose golden files are whole folders.
func Updating() bool { return *update }

// RoundTrip compares a value's JSON with a golden file, and fails the test unless the file reads as the same value.
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

// ReadFolder returns the files of a folder by name.
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
