package settings

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/kv"
	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/synctest"
)

// silentStore is a platform that can become unresponsive: its watches stay open
// without events, and reads get no response.
type silentStore struct {
	*kvtest.Store
	silent atomic.Bool
}

func (s *silentStore) setSilent(silent bool) {
	s.silent.Store(silent)
	s.SetFaults(kvtest.Faults{DropWatch: silent})
}

func (s *silentStore) wait(ctx context.Context) (kv.Result, bool) {
	if !s.silent.Load() {
		return kv.Result{}, true
	}
	<-ctx.Done()
	return kv.Result{Status: kv.Unknown, Err: ctx.Err()}, false
}

func (s *silentStore) Get(ctx context.Context, key string) kv.Result {
	if res, ok := s.wait(ctx); !ok {
		return res
	}
	return s.Store.Get(ctx, key)
}

func (s *silentStore) List(ctx context.Context, prefix string) kv.Result {
	if res, ok := s.wait(ctx); !ok {
		return res
	}
	return s.Store.List(ctx, prefix)
}

// The platform becomes unresponsive while its watches stay open. Watchers that
// took an open watch for a response kept announcing confirmations, so no other
// router listed the platform, and all routers showed their settings as confirmed
// for 90 s without any response.
func TestSilentPlatformIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: kvtest.New()}
		f := newFleetOn(t, 9, 7, store.Store, store)
		time.Sleep(10 * time.Second)
		store.setSilent(true)
		started := time.Now()
		time.Sleep(20 * time.Second)
		for _, r := range f.routers {
			age, ever := r.sync.ConfirmationAge()
			assert.Assert(t, ever)
			assert.Assert(t, age >= time.Since(started)-probeTimeout, "%s has settings confirmed %v ago", r.member.Instance, age)
		}
		store.setSilent(false)
		time.Sleep(10 * time.Second)
		for _, r := range f.routers {
			age, _ := r.sync.ConfirmationAge()
			assert.Assert(t, age <= 2*confirmInterval+probeTimeout, "%s has settings confirmed %v ago", r.member.Instance, age)
		}
	})
}
