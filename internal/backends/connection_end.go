package backends

import (
	"slices"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

// close ends the connection and every part out on it: one whose frame was not wholly written never ran, any
// other may have.
func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.stream.Close()
	c.pool.connectionCount--
	alone := c.isConnectionOnly(code)
	broken := scheduler.ConnectionReset
	if code == logs.BackendMalformedFrame || code == logs.BackendUnresponsive {
		broken = scheduler.Cancelled // it is we who end it
	}
	c.backend.connections = slices.DeleteFunc(c.backend.connections, func(x *connection) bool { return x == c })
	c.pool.log.ConnectionEnded(code, c.backend.address, c.served, err)
	for _, k := range c.calls {
		outcome := scheduler.ConnectFailed
		if k.endOffset > 0 && k.endOffset <= c.stream.BytesWritten {
			outcome = broken
		}
		for _, o := range k.parts {
			if !o.ended {
				end := outcome
				if o.ended, o.attempt.ConnectionOnly = true, alone; o == c.pendingRejection {
					if end = scheduler.Rejected; code == logs.BackendClosed || code == logs.BackendReset {
						c.rejectedByLimit(o)
					}
				}
				c.pool.core.AttemptEndedLater(o.attempt, end)
			}
		}
	}
	c.calls, c.unencoded = nil, nil
}

// closeMalformed closes a connection on which something came that cannot be used: nothing good comes on it any
// more. The part that was answered so, or else the one that has waited longest, has failed and may have
// run; so may the others have, of which nothing is said against the backend.
func (c *connection) closeMalformed(o *part, err error) {
	for i := 0; o == nil && i < len(c.calls); i++ {
		for _, x := range c.calls[i].parts {
			if o == nil && !x.ended && x.call.endOffset > 0 {
				o = x
			}
		}
	}
	if o != nil && !o.ended {
		o.ended = true
		c.pool.core.AttemptEnded(o.attempt, scheduler.Failed, nil)
	}
	c.close(logs.BackendMalformedFrame, err)
}

// isConnectionOnly tells that only this connection broke and the backend stands: another to it does, or it broke as soon
// as it was used again, where the end of a process would have shown while it was idle. The latter also
// tells for how long connections may be idle. Guards backends against being held for lost, and for cold once
// they serve again.
func (c *connection) isConnectionOnly(code logs.Code) bool {
	if code != logs.BackendReset && code != logs.BackendClosed && code != logs.BackendConnectFailed {
		return false
	}
	now := c.pool.loop.Now()
	if len(c.calls) == 1 && c.calls[0].endOffset > 0 {
		if k := c.calls[0]; now-k.sentAt < immediateLossMs && k.idleBefore > immediateLossMs {
			c.pool.idleRisk.record(now, k.idleBefore, true)
			return true
		}
	}
	return slices.ContainsFunc(c.backend.connections, func(x *connection) bool { return x != c && x.established && x.stream.PeerOpen() })
}
