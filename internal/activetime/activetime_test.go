package activetime

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The context ends by itself after its time, not earlier.
func TestWithTimeout(t *testing.T) {
	const timeout = 100 * time.Millisecond
	began := time.Now()
	ctx, cancel := WithTimeout(context.Background(), timeout)
	defer cancel()
	<-ctx.Done()
	if took := time.Since(began); took < timeout {
		t.Errorf("ended after %s, want %s or more", took, timeout)
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.DeadlineExceeded) {
		t.Errorf("cause %v", cause)
	}
}

// The context ends with its parent and when it is cancelled.
func TestEndsEarlier(t *testing.T) {
	parent, cancelParent := context.WithCancel(context.Background())
	ctx, cancel := WithTimeout(parent, time.Hour)
	cancelParent()
	<-ctx.Done()
	cancel()
	ctx, cancel = WithTimeout(context.Background(), time.Hour)
	cancel()
	if ctx.Err() == nil {
		t.Error("the cancelled context has not ended")
	}
}
