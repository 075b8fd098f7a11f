package app

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// programVariable makes the test binary act as a program: "reload" for one with settings, "plain" for one without, "starting" for one
// with settings that takes startTime to load them.
const programVariable = "APP_TEST_PROGRAM"

const startTime = 300 * time.Millisecond

// drainTime is how long the component of the test program needs to shut down.
const drainTime = 400 * time.Millisecond

func TestMain(m *testing.M) {
	if kind := os.Getenv(programVariable); kind != "" {
		os.Exit(runProgram(kind))
	}
	os.Exit(m.Run())
}

// runProgram runs a component that takes drainTime to shut down. It returns ExitOK only after that time.
func runProgram(kind string) int {
	var reload func()
	if kind == "reload" {
		reload = func() {}
	}
	log := zerolog.New(os.Stdout)
	if kind == "starting" {
		HoldSignals()
		log.Info().Msg("starting")
		time.Sleep(startTime)
		reload = func() { log.Info().Msg("reloaded") }
	}
	err := Run(context.Background(), log, reload, Component{Name: "drains", Run: func(ctx context.Context) error {
		<-ctx.Done()
		for end := time.Now().Add(drainTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			log.Info().Msg("draining")
		}
		return nil
	}})
	if err != nil {
		return ExitFailure
	}
	return ExitOK
}

// startProgram starts the test program and returns when it handles signals, with a reader of its output.
func startProgram(t *testing.T, kind string) (*exec.Cmd, io.ReadCloser) {
	return startCommand(t, kind, exec.Command(os.Args[0]))
}

// startCommand does the same with a command that executes the test program.
func startCommand(t *testing.T, kind string, cmd *exec.Cmd) (*exec.Cmd, io.ReadCloser) {
	cmd.Env = append(os.Environ(), programVariable+"="+kind)
	out, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() { cmd.Process.Kill() })
	_, err = bufio.NewReader(out).ReadString('\n') // event 9001
	qt.Assert(t, err, qt.IsNil)
	return cmd, out
}

// Guards against a program that a signal ends during its shutdown, before its components have drained.
func TestSignalsDuringShutdownLetComponentsDrain(t *testing.T) {
	for _, kind := range []string{"reload", "plain"} {
		for _, further := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			t.Run(kind+" "+further.String(), func(t *testing.T) {
				cmd, out := startProgram(t, kind)
				go io.Copy(io.Discard, out)
				start := time.Now()
				qt.Assert(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
				for range 5 {
					time.Sleep(20 * time.Millisecond)
					qt.Assert(t, cmd.Process.Signal(further), qt.IsNil)
				}
				qt.Check(t, cmd.Wait(), qt.IsNil)
				qt.Check(t, time.Since(start) >= drainTime, qt.IsTrue)
			})
		}
	}
}

// Guards against a program that the end of its log's reader ends, with its open requests.
func TestClosedLogDoesNotEndTheProgram(t *testing.T) {
	cmd, out := startProgram(t, "reload")
	qt.Assert(t, out.Close(), qt.IsNil)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	qt.Check(t, cmd.Wait(), qt.IsNil)
}

// Guards against a program without settings that ignores the end of its terminal.
func TestReloadSignalStopsAProgramWithoutSettings(t *testing.T) {
	cmd, out := startProgram(t, "plain")
	go io.Copy(io.Discard, out)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	qt.Check(t, cmd.Wait(), qt.IsNil)
}

// Guards against a shutdown that its operator cannot cut short.
func TestInterruptDuringShutdownEndsTheProgram(t *testing.T) {
	cmd, out := startProgram(t, "reload")
	go io.Copy(io.Discard, out)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(drainTime / 4)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGINT), qt.IsNil)
	err := cmd.Wait()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, cmd.ProcessState.ExitCode(), qt.Equals, ExitForced)
}

// Guards against a program that was started to survive its terminal, as by nohup, and stops when the terminal is closed.
func TestHangUpDoesNotStopAProgramThatIgnoresIt(t *testing.T) {
	cmd, out := startCommand(t, "plain", exec.Command("sh", "-c", `trap "" HUP; exec "$0"`, os.Args[0]))
	qt.Assert(t, cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	time.Sleep(drainTime / 4)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	line, err := bufio.NewReader(out).ReadString('\n') // event 9002
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, line, qt.Contains, `"signal":"terminated"`)
	go io.Copy(io.Discard, out)
	qt.Check(t, cmd.Wait(), qt.IsNil)
}

// Guards against a program that a signal ends while it starts, and against a reload signal that is lost then.
func TestSignalsDuringTheStartAreHandled(t *testing.T) {
	cmd, out := startProgram(t, "starting")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		qt.Assert(t, cmd.Process.Signal(s), qt.IsNil)
	}
	output, err := io.ReadAll(out)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cmd.Wait(), qt.IsNil)
	qt.Check(t, string(output), qt.Contains, "reloaded")
}
