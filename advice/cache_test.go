package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hosts(count int) []Host {
	var hosts []Host
	for i := range count {
		hosts = append(hosts, Host{ID: fmt.Sprintf("h%d", i), Incarnation: 1})
	}
	return hosts
}

// TestTicketValidity checks for which incarnations and times a ticket is valid.
func TestTicketValidity(t *testing.T) {
	cache := NewCache()
	cache.Update(hosts(2), map[string]string{"h0": "pass"}, testTime.Add(time.Second))
	tests := []struct {
		name string
		host Host
		at   time.Duration
		want bool
	}{
		{"allowed", Host{"h0", 1}, 0, true},
		{"denied", Host{"h1", 1}, 0, false},
		{"another incarnation", Host{"h0", 2}, 0, false},
		{"expires before the command arrives", Host{"h0", 1}, time.Second - minRemaining, false},
		{"never queried", Host{"h2", 1}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, got := cache.Ticket(test.host, testTime.Add(test.at)); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
	cache.Delete(Host{"h0", 1})
	if _, got := cache.Ticket(Host{"h0", 1}, testTime); got {
		t.Error("got a ticket that the host refused, want none")
	}
}

// TestHostsToQuery checks which hosts are put into a query.
func TestHostsToQuery(t *testing.T) {
	cache := NewCache()
	cache.Update(hosts(3), map[string]string{"h0": "pass"}, testTime.Add(time.Second))
	tests := []struct {
		name   string
		hosts  int
		wanted int
		at     time.Duration
		want   []string
	}{
		{"enough tickets", 10, 1, 0, nil},
		{"skips denied hosts", 5, 2, 0, []string{"h3", "h4"}},
		{"several hosts per missing ticket", 20, 4, 0, []string{"h3", "h4", "h5", "h6", "h7", "h8"}},
		{"expired ticket", 3, 1, 2 * time.Second, []string{"h0"}},
		{"no host left", 3, 5, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, host := range cache.HostsToQuery(hosts(test.hosts), test.wanted, testTime.Add(test.at)) {
				got = append(got, host.ID)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if got := len(cache.HostsToQuery(hosts(100), 50, testTime)); got != maxHostsPerQuery {
		t.Errorf("got %d hosts in a query, want %d", got, maxHostsPerQuery)
	}
}
