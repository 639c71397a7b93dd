package core

import (
	"ternstage/internal/decision/scheduler"
)

// HandOver ends what this process sends to cold replicas and gives what it sent to them in the window of
// their allowance, for the process that takes over (see scheduler.Balancer.HandOver).
func (c *Core) HandOver() []scheduler.WarmupSend { return c.scheduler.HandOver(c.clock.Now()) }

// TakeOver counts what the process that handed over sent to cold replicas, and ends the wait of the first
// window after a start (see scheduler.Balancer.TakeOver).
func (c *Core) TakeOver(sent []scheduler.WarmupSend) { c.scheduler.TakeOver(c.clock.Now(), sent) }

// OtherProcessActive tells that another process of the aggregator serves beside this one (see scheduler.Balancer.Shares).
func (c *Core) OtherProcessActive() { c.scheduler.OtherProcessActive(c.clock.Now()) }
