// Package standstilltest runs a part of a test in a process that stops itself, as by SIGSTOP.
package standstilltest

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const childVariable = "TAMARACKCHUTE_STANDSTILL_CHILD"

// Run runs child in a process of its own and returns what that returned. When child calls standStill, its
// process stops for at least d. The answer, which closes then, was sent during the standstill. In the
// child's process Run doesn't return. It must be called by a test without parents.
func Run(t *testing.T, d time.Duration, child func(standStill func(), answer <-chan struct{}) string) string {
	t.Helper()
	if os.Getenv(childVariable) != "" {
		runChild(child)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), childVariable+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	var status syscall.WaitStatus
	_, err = syscall.Wait4(cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
	require.NoError(t, err)
	require.True(t, status.Stopped(), "the child stands still")
	time.Sleep(d)
	_, err = in.Write([]byte("answer\n"))
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.NoError(t, cmd.Wait())
	return strings.TrimSpace(line)
}

func runChild(child func(standStill func(), answer <-chan struct{}) string) {
	answer := make(chan struct{})
	go func() {
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		close(answer)
	}()
	standStill := func() { _ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) }
	fmt.Println(child(standStill, answer))
	os.Exit(0)
}
