package steady

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. The time during which the machine is suspended does not count.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
