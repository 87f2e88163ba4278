package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/pkg/errors"
	str2duration "github.com/xhit/go-str2duration/v2"
)

// Duration is a duration, written with a unit such as 15s, 36h or 5w.
type Duration time.Duration

// UnmarshalText parses a duration; a number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := str2duration.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return errors.Errorf("%q is not a duration; write a number and a unit, such as 15s, 2h or 5w", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration with its units.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(str2duration.String(time.Duration(d))), nil
}

// Bytes is a size in bytes, written with a unit such as 128MB.
type Bytes uint64

// UnmarshalText parses a size; a number without a unit is an error.
func (b *Bytes) UnmarshalText(text []byte) error {
	parsed, err := humanize.ParseBytes(string(text))
	if err != nil || !strings.HasSuffix(string(text), "B") {
		return errors.Errorf("%q is not an amount of bytes; write a number and a unit, such as 64KB, 128MB or 256GB", text)
	}
	*b = Bytes(parsed)
	return nil
}

// byteUnits are the units of Bytes in descending order.
var byteUnits = []struct {
	name string
	size Bytes
}{
	{"TB", 1e12},
	{"GB", 1e9},
	{"MB", 1e6},
	{"KB", 1e3},
}

// MarshalText formats the size in the largest unit of which it is a multiple.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, unit := range byteUnits {
		if b >= unit.size && b%unit.size == 0 {
			return []byte(strconv.FormatUint(uint64(b/unit.size), 10) + unit.name), nil
		}
	}
	return []byte(strconv.FormatUint(uint64(b), 10) + "B"), nil
}

// Percent is a percentage, written as 99.9%.
type Percent float64

// UnmarshalText parses a percentage from 0% to 100%.
func (p *Percent) UnmarshalText(text []byte) error {
	number, found := strings.CutSuffix(string(text), "%")
	parsed, err := strconv.ParseFloat(number, 64)
	if err != nil || !found || !(parsed >= 0 && parsed <= 100) {
		return errors.Errorf("%q is not a share; write a number from 0 to 100 and %%, such as 99.9%%", text)
	}
	*p = Percent(parsed)
	return nil
}

// MarshalText formats the percentage with its sign.
func (p Percent) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(p), 'f', -1, 64) + "%"), nil
}

// Fraction returns the percentage as a fraction from 0 to 1.
func (p Percent) Fraction() float64 { return float64(p) / 100 }

// Class is the class of a route, by the expected run time of its requests.
type Class string

// The classes of routes.
const (
	Interactive Class = "Interactive"
	Batch       Class = "Batch"
)

// UnmarshalText parses the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	switch Class(text) {
	case Interactive, Batch:
		*c = Class(text)
		return nil
	default:
		return errors.Errorf("%q is not a class; write %s or %s", text, Interactive, Batch)
	}
}
