package core

import "ternstage/internal/decision/scheduler"

// HandOver ends what this process sends to warming backends, and gives what it sent to them within the slow-start
// window, for the process that takes over. See scheduler.Scheduler.HandOver.
func (c *Core) HandOver() []scheduler.WarmupSend { return c.scheduler.HandOver(c.clock.Now()) }

// TakeOver counts what the process that handed over sent to warming backends as sent by this one, and ends the wait of
// the first slow-start window. See scheduler.Scheduler.TakeOver.
func (c *Core) TakeOver(sent []scheduler.WarmupSend) { c.scheduler.TakeOver(c.clock.Now(), sent) }

// OtherProcessActive notes that another process of the same broker serves beside this one and has not handed over.
// See scheduler.Scheduler.OtherProcessActive.
func (c *Core) OtherProcessActive() { c.scheduler.OtherProcessActive(c.clock.Now()) }
