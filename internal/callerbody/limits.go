package callerbody

import (
	"math"
	"syscall"
)

// DescriptorLimit returns the limit of open descriptors of the process: that of the settings if it
// is stated, else RLIMIT_NOFILE, or 0 if there is none.
func DescriptorLimit(stated int) int {
	if stated > 0 {
		return stated
	}
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return 0
	}
	return int(l.Cur)
}
