// Package contract is what the broker has agreed with the teams it stands between: the classes of query it
// takes, the tenants and their budgets, and the form of a query. Both fronts read queries with it, so that
// both keep the same contracts.
package contract
