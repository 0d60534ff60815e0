package acaciasystem

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func (c *cluster) startProgram(name, program string, arguments ...string) *exec.Cmd {
	c.t.Helper()
	return c.startCommand(name, exec.Command(filepath.Join(binaryDir, program), arguments...))
}

// startCommand starts a command with a log file under a name; the command is killed at the
// end of the test.
func (c *cluster) startCommand(name string, command *exec.Cmd) *exec.Cmd {
	c.t.Helper()
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	command.Stderr = log
	command.Stdout = log
	if file := c.stdout[name]; file != nil {
		command.Stdout = file
	}
	assert.NilError(c.t, command.Start())
	c.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_, _ = command.Process.Wait()
		_ = log.Close()
		if c.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			c.t.Logf("%s:\n%s", name, logTail(data))
		}
	})
	return command
}

// logTail returns the last bytes of a log.
func logTail(data []byte) []byte {
	const maxBytes = 1500
	return data[max(0, len(data)-maxBytes):]
}

// freeAddress returns an address that is used once in a test run: its loopback IP belongs to
// this run, and its port is below the kernel's ephemeral range. The port is not probed by
// listening on it: a process that another test forks at that moment would inherit the
// listening socket until its exec and so keep the port in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	port := firstPort + int(lastPort.Add(1))
	assert.Assert(t, port < firstEphemeralPort, "no unused port is left below the ephemeral range")
	pid := os.Getpid()
	ip := net.IPv4(127, byte(128|pid>>16&0x3f), byte(pid>>8), byte(pid))
	return net.JoinHostPort(ip.String(), strconv.Itoa(port))
}

// sendSignal sends a signal to a VM's process; after SIGSTOP it waits until the process is
// suspended.
func (n *node) sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	assert.NilError(t, n.process.Process.Signal(signal))
	if signal == syscall.SIGSTOP {
		awaitSuspended(t, n.process)
	}
}

// killProcess ends a process with SIGKILL and waits for it.
func killProcess(t *testing.T, command *exec.Cmd) {
	t.Helper()
	assert.NilError(t, command.Process.Kill())
	_, _ = command.Process.Wait()
}

// stopProcess ends a process with SIGTERM, waits for it and checks its exit status.
func stopProcess(t *testing.T, command *exec.Cmd) {
	t.Helper()
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	state, err := command.Process.Wait()
	assert.NilError(t, err)
	assert.Check(t, state.Success(), "exit: %s", state)
}
