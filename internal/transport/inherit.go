package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// inheritedListener accepts connections on a socket that other processes hold too. All of them share its blocking mode,
// and a process that passes the socket on may make it blocking at any time. An accept that blocks in the system call
// would delay the close of the listener and the end of the process, so each accept makes the socket non-blocking first.
type inheritedListener struct {
	file *os.File
	raw  syscall.RawConn
	addr net.Addr
}

// Inherit returns a listener for a socket that this process inherited and that other processes hold too. It returns an
// error if the descriptor is not a listening socket or the socket does not listen at addr.
func Inherit(descriptor int, addr string) (net.Listener, error) {
	listens, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", descriptor)
	}
	// The runtime's poller only handles files that are non-blocking.
	if err := syscall.SetNonblock(descriptor, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	if file == nil {
		return nil, fmt.Errorf("%d is not a valid descriptor", descriptor)
	}
	listener, err := newInheritedListener(file, addr)
	if err != nil {
		_ = file.Close() // the file is not used
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	return listener, nil
}

func newInheritedListener(file *os.File, addr string) (*inheritedListener, error) {
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, err
	}
	address, err := listeningAddress(file)
	if err != nil {
		return nil, err
	}
	want, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil || !listensAt(address, want) {
		return nil, fmt.Errorf("socket listens at %s, not at %s", address, addr)
	}
	return &inheritedListener{file: file, raw: raw, addr: address}, nil
}

// listeningAddress returns the address that a socket listens at. The socket stays open.
func listeningAddress(file *os.File) (net.Addr, error) {
	listener, err := net.FileListener(file) // uses a duplicate of the descriptor
	if err != nil {
		return nil, err
	}
	address := listener.Addr()
	listener.Close()
	return address, nil
}

// listensAt reports whether a listener has the wanted IP address and port. An unset IP or a port of 0 matches any.
func listensAt(address net.Addr, want *net.TCPAddr) bool {
	got, ok := address.(*net.TCPAddr)
	if !ok {
		return false
	}
	if want.Port != 0 && want.Port != got.Port {
		return false
	}
	return want.IP == nil || want.IP.Equal(got.IP)
}

// Accept implements net.Listener.
func (l *inheritedListener) Accept() (net.Conn, error) {
	var descriptor int
	var acceptErr error
	err := l.raw.Read(func(socket uintptr) (done bool) {
		descriptor, acceptErr = acceptWithoutBlocking(int(socket))
		return !errors.Is(acceptErr, syscall.EAGAIN)
	})
	switch {
	case errors.Is(err, os.ErrClosed):
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	case acceptErr != nil:
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }() // net.FileConn duplicates the descriptor
	return net.FileConn(file)
}

// acceptWithoutBlocking accepts a connection, or returns EAGAIN if none is pending.
func acceptWithoutBlocking(socket int) (descriptor int, err error) {
	for {
		if err := syscall.SetNonblock(socket, true); err != nil {
			return 0, err
		}
		descriptor, _, err = syscall.Accept4(socket, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		interrupted := errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED)
		if !interrupted {
			return descriptor, err
		}
	}
}

// Close implements net.Listener. The socket keeps listening for the other processes that hold it.
func (l *inheritedListener) Close() error { return l.file.Close() }

// Addr implements net.Listener.
func (l *inheritedListener) Addr() net.Addr { return l.addr }
