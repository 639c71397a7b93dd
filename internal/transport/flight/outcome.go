package flight

import (
	"errors"
	"strconv"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ternstage/internal/decision/scheduler"
)

// callOutcome returns the outcome of an attempt whose call ended with err. For NotHolder it also sets backendEpoch.
// Only a status that the backend sent in place of an answer proves that the part did not run; any other end of the
// call does not, whatever its status. It runs on the attempt's goroutine.
func (a *attempt) callOutcome(err error) scheduler.Outcome {
	a.callErr = err
	immediate := a.end.immediateStatus()
	if immediate.Code() == codes.ResourceExhausted {
		return scheduler.Rejected
	}
	if a.Epoch > 0 {
		if epoch, ok := parseNotHolder(immediate); ok {
			a.backendEpoch = epoch
			return scheduler.NotHolder
		}
	}
	return outcomeOfError(err)
}

// parseNotHolder reports whether a backend's status says that the backend does not hold the shard, and returns the
// epoch of the backend's shard map.
func parseNotHolder(callStatus *status.Status) (uint64, bool) {
	if callStatus.Code() != codes.FailedPrecondition {
		return 0, false
	}
	for _, detail := range callStatus.Details() {
		info, ok := detail.(*errdetails.ErrorInfo)
		if !ok || info.Reason != reasonNotHolder {
			continue
		}
		epoch, err := strconv.ParseUint(info.Metadata[notHolderEpochKey], 10, 63)
		if err == nil && epoch > 0 {
			return epoch, true
		}
	}
	return 0, false
}

// outcomeOfError returns the outcome of a started call that ended with err and without a proof that the part did not
// run. If err has no gRPC status, the stream ended early or is malformed.
func outcomeOfError(err error) scheduler.Outcome {
	var withStatus interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &withStatus) {
		return scheduler.ConnectionReset
	}
	switch withStatus.GRPCStatus().Code() {
	case codes.DeadlineExceeded:
		return scheduler.TimedOut
	case codes.Unavailable, codes.Canceled:
		return scheduler.ConnectionReset
	}
	return scheduler.Failed
}
