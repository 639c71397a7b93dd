package core

import "ternstage/internal/decision/scheduler"

// HandOver stops this process from sending to warming backends. It returns what the process sent to them within the
// slow-start window, for the process that takes over. See scheduler.Scheduler.HandOver.
func (c *Core) HandOver() []scheduler.WarmupAttempt { return c.scheduler.HandOver(c.clock.Now()) }

// TakeOver counts what the previous process sent to warming backends as sent by this one, and ends the wait for the
// first slow-start window. See scheduler.Scheduler.TakeOver.
func (c *Core) TakeOver(sent []scheduler.WarmupAttempt) { c.scheduler.TakeOver(c.clock.Now(), sent) }

// OtherProcessActive reports that another process of the same broker still serves requests and has not handed over.
// See scheduler.Scheduler.OtherProcessActive.
func (c *Core) OtherProcessActive() { c.scheduler.OtherProcessActive(c.clock.Now()) }
