package main

import (
	"encoding/json"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func TestReadBackup(t *testing.T) {
	state := []byte(`{"objects":[{"kind":"team","id":"t","body":{"weight":1}}]}`)
	good, err := json.Marshal(backup{Revision: 3, Checksum: xxhash.Sum64(state), State: state})
	if err != nil {
		t.Fatal(err)
	}
	objects, err := readBackup(good)
	if err != nil || len(objects) != 1 || objects[0].ID != "t" {
		t.Errorf("read %v, error %v", objects, err)
	}
	for i := range good {
		broken := append([]byte(nil), good...)
		broken[i] ^= 1
		objects, err := readBackup(broken)
		if err == nil && (len(objects) != 1 || objects[0].ID != "t" || string(objects[0].Body) != `{"weight":1}`) {
			t.Errorf("damage at byte %d was taken for %v", i, objects)
		}
	}
}
