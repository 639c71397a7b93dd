// Package core holds requests, attempts and outcomes between the fronts, the decision module and the back
// ends. It knows no wire: a front hands in a Request and gets one Answer, a back end gets Attempts and
// reports Outcomes. Every decision is the module's; core carries it out and sees to it that each request
// gets exactly one final answer.
package core
