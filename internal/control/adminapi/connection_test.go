package adminapi

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConnectionAnsweredAndClosed(t *testing.T) {
	s := serve(t)
	assert.Contains(t, s.call(t, readyCall), "HTTP/1.1 200 OK\r\n")
	s.waitLog(t, `"code":"O01"`)
	assert.Contains(t, s.call(t, "HELLO\r\n\r\n"), "HTTP/1.1 400 Bad Request\r\n")
	s.waitLog(t, `"code":"O04"`)
	connection := s.dial(t)
	_, err := io.WriteString(connection, "GET /v1")
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	s.waitLog(t, `"code":"O02"`)
}

// TestLingeringConnectionClosed checks that an answered connection is closed after LingerMs if the caller keeps it
// open.
func TestLingeringConnectionClosed(t *testing.T) {
	s := serve(t)
	connection := s.dial(t)
	began := time.Now()
	_, err := io.WriteString(connection, readyCall)
	require.NoError(t, err)
	_, err = io.ReadAll(connection)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := io.WriteString(connection, "x")
		return err != nil
	}, 5*time.Second, 20*time.Millisecond, "the connection is not closed")
	assert.GreaterOrEqual(t, time.Since(began), LingerMs*time.Millisecond)
}
