package cmds

import "errors"

// demoCommand runs a whole fleet in this process.
type demoCommand struct{}

// Run is not written yet.
func (c *demoCommand) Run(*env) error { return errors.New("not written yet") }
