package mirror_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/mirror"
	"wisteriaspool/coordination/synctest"
)

// hastySource answers each fetch at once.
type hastySource struct {
	answer  func(after kv.Revision, calls int64) (mirror.Update, error)
	fetches atomic.Int64
}

// Fetch implements mirror.Source.
func (s *hastySource) Fetch(_ context.Context, after kv.Revision) (mirror.Update, error) {
	return s.answer(after, s.fetches.Add(1))
}

// Guards against a router that asks again without a pause, whatever it is answered.
func TestFollowerPausesWhateverItIsAnswered(t *testing.T) {
	errFailed := errors.New("failed")
	tests := []struct {
		name   string
		answer func(after kv.Revision, calls int64) (mirror.Update, error)
	}{
		{"an error", func(kv.Revision, int64) (mirror.Update, error) { return mirror.Update{}, errFailed }},
		{"nothing new", func(after kv.Revision, _ int64) (mirror.Update, error) {
			return mirror.Update{AsOf: max(after, 1)}, nil
		}},
		{"all keys again", func(after kv.Revision, _ int64) (mirror.Update, error) {
			return mirror.Update{Full: true, AsOf: max(after, 1)}, nil
		}},
		{"an older revision", func(kv.Revision, int64) (mirror.Update, error) { return mirror.Update{Full: true, AsOf: 1}, nil }},
		{"an earlier era", func(after kv.Revision, calls int64) (mirror.Update, error) {
			return mirror.Update{Full: true, AsOf: kv.NewRevision(kv.Era(2-min(calls, 2)), 5)}, nil
		}},
		{"a part of a later era", func(after kv.Revision, calls int64) (mirror.Update, error) {
			return mirror.Update{AsOf: kv.NewRevision(kv.Era(min(calls, 2)), 5)}, nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &hastySource{answer: test.answer}
				stop := (&mirror.Follower{Mirror: mirror.New(), Source: s}).Start()
				time.Sleep(10 * time.Second)
				stop()
				assert.Check(t, s.fetches.Load() < 80, "%d fetches in 10 s", s.fetches.Load())
			})
		})
	}
}
