package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/scheduler"
)

// A client disconnects while the transport holds an attempt that has not begun. The attempt must not begin, whether
// or not the settings allow cancelling attempts that have begun. A non-idempotent attempt that has begun is waited
// for, and no attempt of the request follows it.
func TestDisconnectWithdrawsAttempts(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		for _, idempotency := range []scheduler.Idempotency{scheduler.Idempotent, scheduler.NonIdempotent} {
			t.Run(fmt.Sprint("can cancel ", canCancel, ", idempotency ", idempotency), func(t *testing.T) {
				broker := newFixedFixture(t, 1000, canCancel, scheduler.Class{Idempotency: idempotency})
				broker.core.ClientDisconnected(broker.submitOne())
				broker.runFor(1)
				assert.Empty(t, broker.inFlight)
				assert.Zero(t, broker.core.OpenRequests())

				request := broker.submitOne()
				broker.begun[broker.attempts[1]] = true
				broker.core.ClientDisconnected(request)
				broker.runFor(1)
				assert.Equal(t, idempotency == scheduler.NonIdempotent, broker.core.OpenRequests() == 1)
				broker.core.AttemptEnded(broker.attempts[1], scheduler.Rejected, nil)
				broker.runFor(100)
				assert.Zero(t, broker.core.OpenRequests())
				assert.Len(t, broker.attempts, 2, "rejected, and not retried")
			})
		}
	}
}
