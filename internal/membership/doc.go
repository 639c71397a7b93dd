// Package membership decides when a broker asks for the list of nodes and what an answer, or none, means. It
// does no I/O and reads no clock: times are ms of one monotonic clock that the caller passes in.
//
// There are two ways in which a list comes. Where it is asked for, one service answers all brokers, calls
// wait in turn, and the decision module says when to call (balance, MustAsk). Where it is pushed, an agent on
// the broker's own machine answers at once with what it has been sent, and whatever it has counts as told,
// whether it was read or not. So the agent is read at a steady pace that the rule on drains gives, and the
// module only hears what came.
package membership
