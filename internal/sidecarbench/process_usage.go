package sidecarbench

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// cpuTime returns the user and system time of all threads of a process, including those that have ended. It reads the
// CPU-time clock of the process (clock_getcpuclockid(3)), which has nanoseconds. utime and stime in /proc/PID/stat are in
// hundredths of a second, more than a sidecar needs for a thousand datagrams.
func cpuTime(pid int) (time.Duration, error) {
	const schedulerClock = 2
	clock := uintptr(^pid<<3 | schedulerClock)
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, errno)
	}
	return time.Duration(t.Nano()), nil
}

// Memory is the memory of a process in bytes.
type Memory struct {
	Resident int64 // VmRSS
	Peak     int64 // the maximum of Resident since the start (VmHWM)
}

// readMemory reads /proc/PID/status.
func readMemory(pid int) (Memory, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, fmt.Errorf("memory: %w", err)
	}
	var m Memory
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		field := map[string]*int64{"VmRSS": &m.Resident, "VmHWM": &m.Peak}[name]
		if field == nil {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return Memory{}, fmt.Errorf("memory: %s: %w", name, err)
		}
		*field = kb << 10
	}
	return m, nil
}

// udpSocketState returns for a UDP socket that is bound to an address how many datagrams the kernel has dropped because
// its buffer was full, and how many bytes wait in the buffer. It reads /proc/net/udp.
func udpSocketState(address string) (drops, unread int64, err error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, 0, fmt.Errorf("socket: %w", err)
	}
	ip := addrPort.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addrPort.Port())
	raw, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		return 0, 0, fmt.Errorf("socket: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		// sl local remote st tx:rx tr:when retrnsmt uid timeout inode ref pointer drops
		fields := strings.Fields(line)
		if len(fields) < 13 || fields[1] != local {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		if unread, err = strconv.ParseInt(rx, 16, 64); err == nil {
			drops, err = strconv.ParseInt(fields[12], 10, 64)
		}
		if err != nil {
			return 0, 0, fmt.Errorf("socket %s: %w", address, err)
		}
		return drops, unread, nil
	}
	return 0, 0, fmt.Errorf("socket %s: none is bound to it", address)
}
