package abuse

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"time"

	"rattanpath/owner"
)

const (
	// legalBody is a size just below the configuration's maxBodyBytes.
	legalBody = 250_000
	// legalHead is a size just below its maxHeaderBytes.
	legalHead = 16_000
	// sentOversize is how much of a body far over the limit a client sends, and
	// claimedOversize what it claims to send.
	sentOversize    = 2_000_000
	claimedOversize = 64_000_000
	// pipelined is the number of requests that a client sends over one connection.
	pipelined = 200
	// pipelinedCalls is that number for calls to a peer.
	pipelinedCalls = 10
	// hostsPerCall makes a call to a peer some 20 KB large, and the decoded form of it
	// 320 KB.
	hostsPerCall = 20_000
	// repeatInterval is the time between a response and the next request of a client that
	// reads its responses.
	repeatInterval = 500 * time.Millisecond
)

// head returns the head of a request; fields are further lines of it.
func (c *client) head(method, query string, fields ...string) []byte {
	lines := append([]string{method + " " + c.target.path + query + " HTTP/1.1", "Host: 127.0.0.1"}, fields...)
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n")
}

func withLength(length int) string { return fmt.Sprintf("Content-Length: %d", length) }

const chunked = "Transfer-Encoding: chunked"

// padded returns a legal job of a size, most of which is white space.
func padded(size int) []byte {
	return append(bytes.Repeat([]byte(" "), size-len(ordinaryJob)), ordinaryJob...)
}

// chunks encodes data in chunks of a size, without the last chunk that ends a body.
func chunks(data []byte, size int) []byte {
	var out bytes.Buffer
	for len(data) > 0 {
		chunk := data[:min(size, len(data))]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(chunk), chunk)
		data = data[len(chunk):]
	}
	return out.Bytes()
}

// framed returns data in the framing of package gob: the length as four bytes big-endian
// after their negated number, and the data.
func framed(length int, data []byte) []byte {
	return append([]byte{0xfc, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}, data...)
}

// legalBodies sends a legal body in one piece, in small pieces or in chunks, stops just
// short of its end, and stays.
func legalBodies(c *client) error {
	body := padded(legalBody)
	body = body[:len(body)-1]
	var err error
	switch {
	case c.target.peer:
		err = c.send(framed(legalBody, body))
	case c.number%3 == 0:
		err = c.send(append(c.head("POST", "", withLength(legalBody)), body...))
	case c.number%3 == 1:
		if err = c.send(c.head("POST", "", withLength(legalBody))); err == nil {
			err = c.sendPieces(body, 5000, time.Millisecond)
		}
	default:
		err = c.send(append(c.head("POST", "", chunked), chunks(body, 1000)...))
	}
	if err != nil {
		return err
	}
	return c.hold()
}

// oversizeBodies sends a body far over the limit, with or without a length, and stays.
func oversizeBodies(c *client) error {
	body := bytes.Repeat([]byte(" "), sentOversize)
	var err error
	switch {
	case c.target.peer:
		err = c.send(framed(claimedOversize, body))
	case c.number%2 == 0:
		err = c.send(append(c.head("POST", "", withLength(claimedOversize)), body...))
	default:
		err = c.send(append(c.head("POST", "", chunked), chunks(body, 10_000)...))
	}
	if err != nil {
		return err
	}
	return c.hold()
}

// manyFields sends requests that are legal in size and consist of very many short fields.
// Those of the head come with a body that never ends; the others are whole and repeated.
func manyFields(c *client) error {
	if c.target.peer {
		return c.repeat(call("Owner.Pending", hostsPerCall, 0))
	}
	switch c.number % 10 {
	case 0, 1, 2:
		fields := []string{withLength(legalBody)}
		for i := range legalHead / 8 {
			fields = append(fields, fmt.Sprintf("%04x:a", i))
		}
		if err := c.send(c.head("POST", "", fields...)); err != nil {
			return err
		}
		return c.hold()
	case 3, 4, 5:
		if err := c.send(c.head("POST", "?"+strings.Repeat("a=1&", legalHead/4), withLength(legalBody))); err != nil {
			return err
		}
		return c.hold()
	case 6:
		return c.repeatBody(`{"steps":[` + strings.Repeat("{},", legalBody/3-10) + `{}]}`)
	case 7:
		return c.repeatBody(strings.Repeat("[", legalBody))
	default:
		return c.repeatBody(`{` + strings.Repeat(`"a":1,`, legalBody/6-10) + `"a":1}`)
	}
}

// repeatBody posts a body again and again over one connection.
func (c *client) repeatBody(body string) error {
	return c.repeat(append(c.head("POST", "", withLength(len(body))), body...))
}

// repeat sends a request again and again over one connection, after each response.
func (c *client) repeat(request []byte) error {
	for response := make([]byte, 4096); ; {
		if err := c.send(request); err != nil {
			return err
		}
		c.settled()
		if _, err := c.Read(response); err != nil {
			return err
		}
		if err := c.pause(repeatInterval); err != nil {
			return err
		}
	}
}

// call returns a call to a peer that names many hosts and may take a time. It is the first
// of its connection.
func call(method string, hosts int, timeout time.Duration) []byte {
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	_ = encoder.Encode(&rpc.Request{ServiceMethod: method, Seq: 1})
	_ = encoder.Encode(&owner.Request{Service: "none", Hosts: make([]string, hosts), Timeout: timeout})
	return out.Bytes()
}

// pipeline sends many requests without reading a response, and stays.
func pipeline(c *client) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4096)
	}
	if c.target.peer {
		return c.pipelineCalls()
	}
	if err := c.send(bytes.Repeat(c.head("GET", ""), pipelined)); err != nil {
		return err
	}
	return c.holdUnread()
}

// pipelineCalls sends calls that take some time each.
func (c *client) pipelineCalls() error {
	encoder := gob.NewEncoder(c)
	request := &owner.Request{Service: "none", Hosts: make([]string, hostsPerCall), Timeout: time.Minute}
	for i := range uint64(pipelinedCalls) {
		if err := encoder.Encode(&rpc.Request{ServiceMethod: "Owner.Await", Seq: i}); err != nil {
			return err
		}
		if err := encoder.Encode(request); err != nil {
			return err
		}
	}
	return c.holdUnread()
}

// slow sends or reads very slowly, or stops half-way, in the head, the body or the answer.
func slow(c *client) error {
	if c.target.peer {
		message := framed(legalBody, padded(legalBody))
		if c.number%2 == 0 {
			return c.drip(message)
		}
		return c.stopAfter(message, len(message)/2)
	}
	post := append(c.head("POST", "", withLength(legalBody)), padded(legalBody)...)
	switch c.number % 6 {
	case 0:
		return c.drip(post)
	case 1:
		return c.stopAfter(post, 20)
	case 2:
		return c.stopAfter(post, len(post)/2)
	case 3:
		headLength := len(post) - legalBody
		if err := c.send(post[:headLength]); err != nil {
			return err
		}
		return c.drip(post[headLength:])
	case 4:
		if err := c.send(bytes.Repeat(c.head("GET", ""), pipelined)); err != nil {
			return err
		}
		return c.holdUnread()
	default:
		if err := c.send(bytes.Repeat(c.head("GET", ""), pipelined)); err != nil {
			return err
		}
		return c.sip()
	}
}

// drip sends data a byte at a time.
func (c *client) drip(data []byte) error {
	c.settled()
	return c.sendPieces(data, 1, dripInterval)
}

// stopAfter sends some bytes of data and stays.
func (c *client) stopAfter(data []byte, count int) error {
	if err := c.send(data[:count]); err != nil {
		return err
	}
	return c.hold()
}

// sip reads a byte at a time.
func (c *client) sip() error {
	c.settled()
	for one := make([]byte, 1); ; {
		if _, err := c.Read(one); err != nil {
			return err
		}
		if err := c.pause(dripInterval); err != nil {
			return err
		}
	}
}
