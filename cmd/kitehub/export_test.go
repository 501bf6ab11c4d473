package main

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"kitehub/internal/goldenfile"
	"kitehub/internal/registry"
)

// goldenSnapshot is a state with every kind of version and alias, as an earlier release stored it.
const goldenSnapshot = "../../internal/registry/service/testdata/golden/snapshot.json"

// The command export prints a stored state as earlier releases did, and import reads it without
// finding an unknown key.
func TestGoldenExport(t *testing.T) {
	text, err := os.ReadFile(goldenSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	var state registry.State
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	written, err := json.MarshalIndent(export(&state), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "export.json", append(written, '\n'))

	var read exportedRegistry
	decoder := json.NewDecoder(bytes.NewReader(goldenfile.Read(t, "export.json")))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(read, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(again, '\n'), goldenfile.Read(t, "export.json")) {
		t.Errorf("the export differs after import has read it: %s", again)
	}
	goldenfile.RequireJSONTags(t, exportedRegistry{})
}
