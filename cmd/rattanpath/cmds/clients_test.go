package cmds

import (
	"strings"
	"testing"
	"time"

	"rattanpath/guard"
)

// TestClientFlags guards against flags that are ignored, and against limits that a legal
// client would meet.
func TestClientFlags(t *testing.T) {
	defaults := guard.DefaultLimits(184_000_000, 4100)
	if got, err := (&clientFlags{}).apply(defaults); err != nil || got != defaults {
		t.Errorf("no flags: got %+v, %v, want the defaults", got, err)
	}
	got, err := (&clientFlags{MaxCallers: 12, MaxHeldKB: 8192, BodyTimeout: time.Minute / 2}).apply(defaults)
	if err != nil || got.CallerConnections != 12 || got.CallerBytes != 8<<20 || got.BodyTimeout != time.Minute/2 {
		t.Errorf("got %+v, %v, want the flags' limits", got, err)
	}
	for want, flags := range map[string]clientFlags{
		"callers' connections": {MaxCallers: -1},
		"one connection":       {MaxConnectionKB: 256},
		"held for callers":     {MaxHeldKB: 1024},
		"fields":               {MaxHeaderFields: 10},
		"body timeout":         {BodyTimeout: time.Second},
		"share":                {UnknownShare: 1.5},
		"peer's message":       {MaxPeerMessageKB: 100},
	} {
		if _, err := flags.apply(defaults); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: got error %v, want one that names %q", flags, err, want)
		}
	}
}
