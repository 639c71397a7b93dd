// Package pageread carries one page of one query from its first asks to its answer: it puts the plan, the
// merge and the statement of completeness together. It has no I/O and no clock. Core asks nodes for what it
// wants and tells it what came; which replica, whether to try again and whether the query is refused stay
// with the decision module.
package pageread
