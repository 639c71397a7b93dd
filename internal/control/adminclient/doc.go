// Package adminclient makes operators' calls to the admin API of a broker (api/mgmt.yaml), for the command line.
//
// Calls are idempotent, so that one without an answer is repeated until the caller's context ends ([Do]):
//
//	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
//	defer cancel()
//	answer, err := adminclient.Do(ctx, "127.0.0.1:9090", adminclient.Suspend("s-1"))
package adminclient
