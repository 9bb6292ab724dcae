package platform

import (
	"errors"
	"slices"
	"syscall"
)

// localErrors are the errors of connects that failed on this machine. They say nothing about
// the engine's health.
var localErrors = []error{
	errTooManyConns, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
}

// isLocalError reports whether a call was not made because this machine lacks a resource or a route.
func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(localErr error) bool { return errors.Is(err, localErr) })
}
