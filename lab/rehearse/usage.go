package rehearse

import (
	"os"
	"syscall"
)

// processUsage returns the usage of a process that has exited.
func processUsage(st *os.ProcessState) Usage {
	u := Usage{CPUSeconds: (st.UserTime() + st.SystemTime()).Seconds()}
	if r, ok := st.SysUsage().(*syscall.Rusage); ok {
		u.MaxRSSMB = float64(r.Maxrss) / 1024
	}
	return u
}

// ownUsage returns the usage of this process, which runs the emulator and the load.
func ownUsage() (u Usage) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPUSeconds = float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9
		u.MaxRSSMB = float64(r.Maxrss) / 1024
	}
	return u
}
