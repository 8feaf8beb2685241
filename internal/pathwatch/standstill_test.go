package pathwatch

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/reach"
)

const standstillChild = "PATHWATCH_STANDSTILL_CHILD"

// Guards against a path that counts as lost because this process stood still while it checked it: the
// answers wait, and whoever believes it sends no more requests here.
func TestStandstillDuringACheckLosesNoPath(t *testing.T) {
	if os.Getenv(standstillChild) != "" {
		checkAcrossStandstill()
		return
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), standstillChild+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	var status syscall.WaitStatus
	_, err = syscall.Wait4(cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
	require.NoError(t, err)
	require.True(t, status.Stopped())
	time.Sleep(3 * checkTimeout)
	_, err = in.Write([]byte("an answer\n"))
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "lost: false\n", line)
	require.NoError(t, cmd.Wait())
}

// checkAcrossStandstill checks a path once. The process stops itself meanwhile, until its parent lets it go on.
func checkAcrossStandstill() {
	answered := make(chan struct{})
	go func() {
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		close(answered)
	}()
	w := New(Config{
		Pools: func() map[string][]string { return nil },
		Reaches: func(ctx context.Context, _ string, _ reach.CheckKind) bool {
			_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			<-answered
			time.Sleep(checkTimeout / 10) // an answer isn't read at once
			return ctx.Err() == nil
		},
	})
	w.check(context.Background(), "pool", []string{"upstream"}, reach.CheckResponses)
	fmt.Printf("lost: %v\n", w.IsLost("pool"))
}
