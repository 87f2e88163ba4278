package queue

import "testing"

// TestKeysOfOrganisations checks that keys are found by hash, that one of an organisation
// that doesn't exist identifies none, and that the original configuration stays as it is.
func TestKeysOfOrganisations(t *testing.T) {
	plain := NewConfig(1, nil, nil, Limits{})
	config := plain.WithOrganisations([]Organisation{{Name: "one", Weight: 2}}, map[KeyHash]string{HashKey("a"): "one", HashKey("b"): "gone", HashKey("c"): ""})
	for key, want := range map[string]bool{"a": true, "b": false, "c": false, "d": false, "": false} {
		if got := config.KeyHolder(HashKey(key)) != nil; got != want {
			t.Errorf("got a holder of key %q: %t, want %t", key, got, want)
		}
	}
	if got := config.KeyHolder(HashKey("a")); got != config.Organisation("one") || got.Weight != 2 {
		t.Errorf("got holder %+v, want the organisation one", got)
	}
	if plain.RequiresKeys || plain.KeyHolder(HashKey("a")) != nil || plain.Organisation("one") != nil {
		t.Error("got organisations in the configuration without them, want none")
	}
}

// TestQueueByKey checks that queues are found by their key alone.
func TestQueueByKey(t *testing.T) {
	config := NewConfig(1, []*Queue{{Host: "a", Prefix: "/x/"}, {Host: "a", Prefix: "/x/y/"}}, nil, Limits{})
	for _, q := range config.Queues {
		if got := config.Queue(q.Key()); got != q {
			t.Errorf("got queue %+v for key %s, want %+v", got, q.Key(), q)
		}
	}
	if got := config.Queue("a/x"); got != nil {
		t.Errorf("got queue %+v for an unknown key, want none", got)
	}
}
