package capacity

// The average of a pace alone is at 2.5 times ten completions after a change to 5 times. A
// cumulative sum of deviations finds a change to 2.5 times in seven to eight completions.
// By chance it finds one in some 2,000 completions; with a level of 2.2 in 400.
const (
	shiftDrift = 0.45 // half of the logarithm of 2.5
	shiftLevel = 3
	shiftClip  = 1.6 // of one deviation, as one in a hundred requests takes five times as long
)

// shift detects that the mean of a sequence has changed (CUSUM).
type shift struct{ up, down cusum }

type cusum struct {
	from  float64 // mean when level was last zero
	level float64
	sum   float64 // of the deviations since
	n     int
}

// add returns the new mean and the number of values that it is derived from, or zero if
// there was no change.
func (s *shift) add(x, mean float64) (float64, int) {
	up, down := s.up.add(x, mean, 1), s.down.add(x, mean, -1)
	c := s.up
	switch {
	case up:
	case down:
		c = s.down
	default:
		return 0, 0
	}
	*s = shift{}
	return c.from + c.sum/float64(c.n), c.n
}

func (c *cusum) add(x, mean, sign float64) bool {
	if c.level <= 0 {
		*c = cusum{from: mean}
	}
	d := min(max(x-c.from, -shiftClip), shiftClip)
	c.sum += d
	c.n++
	c.level += sign*d - shiftDrift
	return c.level >= shiftLevel
}
