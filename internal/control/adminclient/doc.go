// Package adminclient calls the admin API of a broker (api/mgmt.yaml), for the command line.
//
// Calls are idempotent, so [Do] repeats a call that got no answer until the caller's context ends:
//
//	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
//	defer cancel()
//	answer, err := adminclient.Do(ctx, "127.0.0.1:9090", adminclient.Suspend("s-1"))
package adminclient
