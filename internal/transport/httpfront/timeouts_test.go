package httpfront

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTimeouts(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	for _, c := range []struct {
		name, in, answer, code string
		afterMs                float64
	}{
		{"half a request", "GET /_health HT", `{"error":"the request did not come whole in time"}`, "C06", requestTimeoutMs},
		{"no request", "", "", "C07", requestTimeoutMs},
		{"idle", "GET /_health HTTP/1.1\r\n\r\n", `{"status":"serving"}`, "C05", idleTimeoutMs},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			answer := f.exchange(t, c.in)
			assert.True(t, strings.HasSuffix(answer, c.answer), answer)
			elapsed := time.Since(began)
			after := time.Duration(c.afterMs) * time.Millisecond
			assert.GreaterOrEqual(t, elapsed, after)
			assert.Less(t, elapsed, after+time.Second)
			f.waitLog(t, `"code":"`+c.code+`"`)
		})
	}
}
