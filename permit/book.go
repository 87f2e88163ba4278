package permit

import "time"

const (
	// mostAsked bounds the hosts of one question: the advisor takes time for each.
	mostAsked = 30
	// leastAsked is the number of hosts of a question, if there are as many.
	leastAsked = 4
	// askShare is how many hosts are asked about for each that is missing, since
	// the advisor allows only some.
	askShare = 2
	// margin is how long a ticket must hold on for a start to arrive with it.
	margin = 150 * time.Millisecond
)

// Host is a host in one of its lives.
type Host struct {
	ID   string
	Life int64
}

// Book keeps the advisor's answers for one step.
type Book struct {
	tickets map[Host]ticket
	// barred are the hosts that the advisor doesn't allow. That holds for good.
	barred map[string]bool
}

type ticket struct {
	text  string
	until time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{tickets: make(map[Host]ticket), barred: make(map[string]bool)}
}

// Note takes in an answer: the tickets of the hosts that are allowed, by ID, of
// those that were asked about. The tickets hold until a time.
func (b *Book) Note(asked []Host, tickets map[string]string, until time.Time) {
	for _, host := range asked {
		if text, allowed := tickets[host.ID]; allowed {
			b.tickets[host] = ticket{text: text, until: until}
		} else {
			b.barred[host.ID] = true
		}
	}
}

// Ticket returns the ticket of a host that holds long enough for a start.
func (b *Book) Ticket(host Host, now time.Time) (string, bool) {
	t, known := b.tickets[host]
	return t.text, known && now.Add(margin).Before(t.until)
}

// Forget drops the ticket of a host that refused it.
func (b *Book) Forget(host Host) { delete(b.tickets, host) }

// Ask returns the hosts to ask the advisor about so that there are tickets for
// a number of hosts. The hosts to choose from come best first. It returns none
// if there are enough tickets, or nothing is left to ask.
func (b *Book) Ask(hosts []Host, wanted int, now time.Time) []Host {
	var unknown []Host
	for _, host := range hosts {
		if _, holds := b.Ticket(host, now); holds {
			wanted--
		} else if !b.barred[host.ID] {
			unknown = append(unknown, host)
		}
	}
	if wanted <= 0 {
		return nil
	}
	count := min(max(askShare*wanted, leastAsked), mostAsked, len(unknown))
	return unknown[:count]
}
