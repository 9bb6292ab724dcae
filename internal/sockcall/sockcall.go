// Package sockcall makes system calls on the file descriptors of sockets that Go's network poller owns.
// It keeps a descriptor open during a call and knows nothing about the call itself.
package sockcall

import "syscall"

// Do runs call with a socket's descriptor, which stays open until call returns. It returns the error of call, or the
// reason why call was not run.
func Do(socket syscall.Conn, call func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return DoRaw(raw, call)
}

// DoRaw is Do for a socket that is being opened (net.ListenConfig.Control and net.Dialer.Control).
func DoRaw(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}
