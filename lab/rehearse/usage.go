package rehearse

import (
	"os"
	"syscall"
)

// processUsage returns the usage of a process that has exited.
func processUsage(state *os.ProcessState) Usage {
	u := Usage{CPUSeconds: (state.UserTime() + state.SystemTime()).Seconds()}
	if rusage, ok := state.SysUsage().(*syscall.Rusage); ok {
		u.MaxRSSMB = float64(rusage.Maxrss) / 1024
	}
	return u
}

// ownUsage returns the usage of this process, which runs the emulator and the load.
func ownUsage() (u Usage) {
	var rusage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &rusage) == nil {
		u.CPUSeconds = float64(rusage.Utime.Nano()+rusage.Stime.Nano()) / 1e9
		u.MaxRSSMB = float64(rusage.Maxrss) / 1024
	}
	return u
}
