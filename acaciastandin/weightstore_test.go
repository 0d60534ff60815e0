package acaciastandin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
)

func TestWeightStoreReturnsRetryAfterWhenBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewWeightStore(time.Minute)
		assert.NilError(t, store.Reserve(context.Background(), "plan"))
		time.Sleep(20 * time.Second)
		var busyErr *acaciaroute.Error
		assert.Assert(t, errors.As(store.Reserve(context.Background(), "plan"), &busyErr))
		assert.Equal(t, busyErr.Code, acaciaroute.CodeStoreBusy)
		time.Sleep(busyErr.RetryAfter)
		assert.NilError(t, store.Reserve(context.Background(), "plan"))
	})
}
