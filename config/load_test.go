package config

import (
	"reflect"
	"testing"
)

// TestReloadMatchesLoad reloads with files added, changed, emptied, made invalid
// and removed, and compares the result with that of Load.
func TestReloadMatchesLoad(t *testing.T) {
	base := Files{
		"10-a.yaml": "Racks: {R: {DataCentre: D, Hosts: [a, b]}}\nPools: {P: {Hosts: [a]}}\n",
		"20-b.yaml": "Services: {S: {Pool: P, Budget: {MinReady: 0}, Routes: {A: {Path: /}}}}\n",
	}
	steps := []Files{
		{"30-c.yaml": "Services: {S: {Deadline: 5s}}\n"},
		{"30-c.yaml": "Services: {S: {Deadline: 6s}}\n"},
		{"30-c.yaml": "# nothing\n"},
		{"30-c.yaml": "Pools: {P: {Hosts: [a, b]}}\n", "40-d.yaml": "Maintenance: {AtOnce: 2}\n"},
		{"30-c.yaml": "Pools: {P: {Hosts: [zz]}}\n"},
		{},
	}
	before, err := Load(base)
	if err != nil {
		t.Fatal(err)
	}
	for i, step := range steps {
		files := Files{"10-a.yaml": base["10-a.yaml"], "20-b.yaml": base["20-b.yaml"]}
		for name, text := range step {
			files[name] = text
		}
		want, wantErr := Load(files)
		got, gotErr := before.Reload(files)
		if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotErr, wantErr) {
			t.Errorf("step %d: got %+v, %v; want %+v, %v", i, got, gotErr, want, wantErr)
		}
		if gotErr == nil {
			before = got
		}
	}
}
