package platform

import (
	"errors"
	"slices"
	"syscall"
)

// localFailures are the errors of connects that this machine could not begin. They say nothing of the engine.
var localFailures = []error{
	errTooMany, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
}

// isLocal tells whether a call was not made for want of something on this machine.
func isLocal(err error) bool {
	return slices.ContainsFunc(localFailures, func(local error) bool { return errors.Is(err, local) })
}
