package tasks

import "unsafe"

// HeldBytes returns approximately how much memory a plan takes.
func (p *Plan) HeldBytes() int64 {
	bytes := len(p.Spec) + cap(p.Steps)*int(unsafe.Sizeof(Step{}))
	for i := range p.Steps {
		step := &p.Steps[i]
		bytes += cap(step.After)*int(unsafe.Sizeof(0)) + len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return int64(bytes)
}
