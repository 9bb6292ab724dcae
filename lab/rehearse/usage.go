package rehearse

import (
	"os"
	"syscall"
)

// processUsage reads what an ended process has used.
func processUsage(state *os.ProcessState) Usage {
	u := Usage{CPUSeconds: (state.UserTime() + state.SystemTime()).Seconds()}
	if rusage, ok := state.SysUsage().(*syscall.Rusage); ok {
		u.MaxRSSMB = float64(rusage.Maxrss) / 1024
	}
	return u
}

// ownUsage reads what the emulator and the load, this process, have used.
func ownUsage() (u Usage) {
	var rusage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &rusage) == nil {
		u.CPUSeconds = float64(rusage.Utime.Nano()+rusage.Stime.Nano()) / 1e9
		u.MaxRSSMB = float64(rusage.Maxrss) / 1024
	}
	return u
}
