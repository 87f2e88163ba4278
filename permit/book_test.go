package permit

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hosts(count int) []Host {
	var hosts []Host
	for i := range count {
		hosts = append(hosts, Host{ID: fmt.Sprintf("h%d", i), Life: 1})
	}
	return hosts
}

// TestTicket checks for which lives and times a ticket holds.
func TestTicket(t *testing.T) {
	book := NewBook()
	book.Note(hosts(2), map[string]string{"h0": "pass"}, start.Add(time.Second))
	tests := []struct {
		name string
		host Host
		at   time.Duration
		want bool
	}{
		{"allowed", Host{"h0", 1}, 0, true},
		{"not allowed", Host{"h1", 1}, 0, false},
		{"another life", Host{"h0", 2}, 0, false},
		{"over before a start arrives", Host{"h0", 1}, time.Second - margin, false},
		{"never asked about", Host{"h2", 1}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, got := book.Ticket(test.host, start.Add(test.at)); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
	book.Forget(Host{"h0", 1})
	if _, got := book.Ticket(Host{"h0", 1}, start); got {
		t.Error("got a ticket that the host refused, want none")
	}
}

// TestAsk checks whom the advisor is asked about.
func TestAsk(t *testing.T) {
	book := NewBook()
	book.Note(hosts(3), map[string]string{"h0": "pass"}, start.Add(time.Second))
	tests := []struct {
		name   string
		hosts  int
		wanted int
		at     time.Duration
		want   []string
	}{
		{"a ticket is enough", 10, 1, 0, nil},
		{"not those that were barred", 5, 2, 0, []string{"h3", "h4"}},
		{"a few for each that is missing", 20, 4, 0, []string{"h3", "h4", "h5", "h6", "h7", "h8"}},
		{"again when a ticket is over", 3, 1, 2 * time.Second, []string{"h0"}},
		{"nothing is left", 3, 5, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, host := range book.Ask(hosts(test.hosts), test.wanted, start.Add(test.at)) {
				got = append(got, host.ID)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if got := len(book.Ask(hosts(100), 50, start)); got != mostAsked {
		t.Errorf("got %d hosts in a question, want %d", got, mostAsked)
	}
}
