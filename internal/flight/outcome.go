package flight

import (
	"errors"
	"strconv"
	"ternstage/internal/decision/scheduler"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// callOutcome maps how the attempt's call ended, and takes the node's epoch where it says that the part's districts
// are not its own. Read by the loop only after run has posted.
func (x *attempt) callOutcome(err error) scheduler.Outcome {
	if st, ok := status.FromError(err); ok && x.Epoch > 0 && st.Code() == codes.FailedPrecondition {
		for _, d := range st.Details() {
			if i, ok := d.(*errdetails.ErrorInfo); ok && i.Reason == reasonNotHolder {
				if epoch, err := strconv.ParseUint(i.Metadata[metadataEpoch], 10, 63); err == nil && epoch > 0 {
					x.backendEpoch = epoch
					return scheduler.NotHolder
				}
			}
		}
	}
	return outcomeOfError(err)
}

// outcomeOfError maps how a call ended that had begun: only the node's own word that it is full proves that the
// part never ran.
func outcomeOfError(err error) scheduler.Outcome {
	var st interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &st) {
		return scheduler.ConnectionReset // a stream that ended early or cannot be read
	}
	switch st.GRPCStatus().Code() {
	case codes.ResourceExhausted:
		return scheduler.Rejected
	case codes.DeadlineExceeded:
		return scheduler.TimedOut
	case codes.Unavailable, codes.Canceled:
		return scheduler.ConnectionReset
	}
	return scheduler.Failed
}
