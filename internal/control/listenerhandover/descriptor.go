package listenerhandover

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// messageByte accompanies a descriptor, as a message without data carries none.
const messageByte = 'L'

// maxControlBytes is the space for the control message with one descriptor.
var maxControlBytes = unix.CmsgSpace(4)

var errNoDescriptor = errors.New("the message has no descriptor")

// sendDescriptor sends a descriptor over a connection.
func sendDescriptor(connection *net.UnixConn, fd int) error {
	_, _, err := connection.WriteMsgUnix([]byte{messageByte}, unix.UnixRights(fd), nil)
	return err
}

// receiveListener receives the descriptor of a listener over a connection.
func receiveListener(connection *net.UnixConn) (*net.TCPListener, error) {
	control := make([]byte, maxControlBytes)
	_, controlBytes, _, _, err := connection.ReadMsgUnix(make([]byte, 1), control)
	if err != nil {
		return nil, fmt.Errorf("receive listener: %w", err)
	}
	fd, err := parseDescriptor(control[:controlBytes])
	if err != nil {
		return nil, fmt.Errorf("receive listener: %w", err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // FileListener duplicates it
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("receive listener: %w", err)
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("receive listener: a %T, want TCP", listener)
	}
	return tcpListener, nil
}

// parseDescriptor returns the descriptor in a control message. It closes further ones.
func parseDescriptor(control []byte) (fd int, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return -1, err
	}
	for i := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[i])
		if err != nil || len(descriptors) == 0 {
			continue
		}
		for _, further := range descriptors[1:] {
			_ = unix.Close(further)
		}
		unix.CloseOnExec(descriptors[0])
		return descriptors[0], nil
	}
	return -1, errNoDescriptor
}
