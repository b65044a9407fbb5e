package outlier

// Clone returns a copy of d that has no OnChange, for finding out the standing of an
// endpoint without changing it.
func (d *Detector) Clone() Detector {
	c := Detector{failed: d.failed}
	for zone, z := range d.zones {
		*c.stateOf(zone) = *z
	}
	return c
}
