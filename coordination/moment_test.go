package coordination_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination"
)

func TestMonotonicTime(t *testing.T) {
	var m coordination.MonotonicTime
	now := time.Now()
	m.Set(now)
	assert.Equal(t, m.Ago(now.Add(time.Second)), time.Second)
	assert.Equal(t, m.Set(now.Add(3*time.Second)), 3*time.Second)
	assert.Equal(t, m.Ago(now.Add(3*time.Second)), time.Duration(0))
}
