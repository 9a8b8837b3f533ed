package crowd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// Process is a daemon that runs on its own.
type Process struct {
	command *exec.Cmd
	group   *group.Group
	exited  chan struct{}
}

// Start starts a program that may have the given number of open files; 0 is no limit of
// its own. The process ends with the context.
func Start(ctx context.Context, log io.Writer, files int, program string, args ...string) (*Process, error) {
	if files > 0 {
		args = append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, files), program}, args...)
		program = "sh"
	}
	p := &Process{command: exec.CommandContext(ctx, program, args...), group: group.New(ctx), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	p.group.Go("process", func(context.Context) error {
		defer close(p.exited)
		// The state of the process says how it ended.
		_ = p.command.Wait()
		return nil
	})
	return p, nil
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Stop kills the process and waits for its end.
func (p *Process) Stop() error {
	// The process may have ended.
	_ = p.command.Process.Kill()
	return p.group.Wait()
}

// Usage is what a process holds.
type Usage struct {
	// Memory is the resident memory and the bytes that were received and not read.
	Memory int64
	// Sockets is the number of open sockets, those not accepted yet not included.
	Sockets int
	// queued is the number of bytes in the kernel on the connections of the process, at
	// both ends.
	queued int64
}

// Usage measures what the process holds now.
func (p *Process) Usage() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	var u Usage
	var pages int64
	statm, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return u, err
	}
	if _, err := fmt.Sscan(string(statm), new(int64), &pages); err != nil {
		return u, err
	}
	sockets := map[string]bool{}
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return u, err
	}
	for _, f := range files {
		// A file that was closed meanwhile has no name.
		name, _ := os.Readlink(filepath.Join(folder, "fd", f.Name()))
		if inode, ok := strings.CutPrefix(name, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	rows, err := readSockets(filepath.Join(folder, "net", "tcp"))
	ports := map[string]bool{}
	for _, s := range rows {
		if s.listening && sockets[s.inode] {
			ports[s.local] = true
		}
	}
	u.Memory, u.Sockets = pages*int64(os.Getpagesize()), len(sockets)
	for _, s := range rows {
		switch own := sockets[s.inode] || ports[s.local]; {
		case s.listening:
		case own:
			// Connections that were not accepted have no inode.
			u.Memory += s.unread
			u.queued += s.unread + s.unsent
		case ports[s.remote]:
			u.queued += s.unread + s.unsent
		}
	}
	return u, err
}

// peakResident returns the largest resident memory that the process has had, in bytes.
func (p *Process) peakResident() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	var kib int64
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, err = fmt.Sscan(value, &kib)
			return kib << 10, err
		}
	}
	return 0, errors.New("the kernel does not tell the largest resident memory")
}

// socket is a row of the kernel's table of TCP sockets.
type socket struct {
	local, remote, inode string
	// listening sockets count connections in their queues, not bytes.
	listening      bool
	unsent, unread int64
}

// readSockets reads the kernel's table of TCP sockets.
func readSockets(path string) ([]socket, error) {
	table, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rows []socket
	for line := range strings.Lines(string(table)) {
		row := strings.Fields(line)
		if len(row) < 10 || row[0] == "sl" {
			continue
		}
		s := socket{local: row[1], remote: row[2], inode: row[9], listening: row[3] == "0A"}
		if _, err := fmt.Sscanf(row[4], "%x:%x", &s.unsent, &s.unread); err != nil {
			return nil, err
		}
		rows = append(rows, s)
	}
	return rows, nil
}
