package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

// instance is one peridotd process.
type instance struct {
	ID               peridotpath.InstanceID
	Binary           string
	Folder           string
	IngressAddress   netip.AddrPort
	ReadinessAddress netip.AddrPort
	FirstPeerPort    uint16
	// StoreProxy is the proxy between the process and the store.
	StoreProxy *proxy

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// disturbedUntil is when the last disturbance of the process ended, or a time in the
	// future while a disturbance lasts.
	disturbedUntil time.Time
	// stoppedAt are the times of SIGTERM, killedAt those of SIGKILL, and pauses the spans from
	// SIGSTOP to SIGCONT.
	stoppedAt, killedAt []time.Time
	pauses              []span
}

// span is a span of time. Its end is zero while it lasts.
type span struct{ from, until time.Time }

// overlaps reports whether a part of the span lies between two times.
func (span span) overlaps(from, until time.Time) bool {
	return !span.from.After(until) && (span.until.IsZero() || !span.until.Before(from))
}

// The ports of instances lie below the kernel's ephemeral range: an outgoing connection
// could otherwise take a port between the check that it is free and its use. Each instance
// has a block of its own, because ranges that are found free one after the other can
// overlap. Concurrent processes begin at different blocks.
const firstPort, portCount, blockSize = 22_000, 10_000, 10

// nextBlock is the next block of ports to try.
var nextBlock = os.Getpid() * 31

// findFreePorts returns the first of count consecutive free ports.
func findFreePorts(count int) (uint16, error) {
	for range portCount / blockSize {
		first := uint16(firstPort + nextBlock%(portCount/blockSize)*blockSize)
		nextBlock++
		if standin.ArePortsFree(loopback(0).Addr(), first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", count)
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// peerAddress returns the address at which the other instances know the instance.
func (instance *instance) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(instance.IngressAddress.Addr(), instance.FirstPeerPort)
}

// start starts a new process.
func (instance *instance) start(store netip.AddrPort) error {
	settings := filepath.Join(instance.Folder, string(instance.ID)+".toml")
	text := standin.Settings(instance.ID, standin.DefaultLimits, instance.IngressAddress, instance.ReadinessAddress, store, instance.FirstPeerPort)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(instance.Folder, string(instance.ID)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(instance.Binary, "relay")
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		// The exit status is ignored: most processes end by a signal.
		_ = command.Wait()
		close(ended)
	}()
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.command, instance.exited = command, ended
	return nil
}

// signal sends a signal to the process.
func (instance *instance) signal(signal syscall.Signal) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.recordSignal(signal, time.Now())
	// The process may already have exited.
	_ = instance.command.Process.Signal(signal)
}

// recordSignal records a signal that stops, kills or pauses the process. The caller holds the
// mutex.
func (instance *instance) recordSignal(signal syscall.Signal, now time.Time) {
	switch signal {
	case syscall.SIGTERM:
		instance.stoppedAt = append(instance.stoppedAt, now)
	case syscall.SIGKILL:
		instance.killedAt = append(instance.killedAt, now)
	case syscall.SIGSTOP:
		instance.pauses = append(instance.pauses, span{from: now})
	case syscall.SIGCONT:
		if last := len(instance.pauses) - 1; last >= 0 {
			instance.pauses[last].until = now
		}
	}
}

// wasKilledBetween reports whether the process was killed between two times.
func (instance *instance) wasKilledBetween(from, until time.Time) bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return slices.ContainsFunc(instance.killedAt, func(at time.Time) bool { return !at.Before(from) && !at.After(until) })
}

// wasPausedBetween reports whether the process did not run for a while between two times.
func (instance *instance) wasPausedBetween(from, until time.Time) bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return slices.ContainsFunc(instance.pauses, func(pause span) bool { return pause.overlaps(from, until) })
}

// closedCallersAt reports whether the process was stopping at a time and closed the connections of
// its callers.
func (instance *instance) closedCallersAt(at time.Time) bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return slices.ContainsFunc(instance.stoppedAt, func(stoppedAt time.Time) bool {
		sinceStop := at.Sub(stoppedAt)
		return sinceStop > standin.StopServeTime-endSlack && sinceStop < standin.StopGracePeriod
	})
}

// wait waits until the process has exited, and kills it after limit.
func (instance *instance) wait(limit time.Duration) {
	instance.mutex.Lock()
	ended := instance.exited
	instance.mutex.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		instance.signal(syscall.SIGKILL)
		<-ended
	}
}

// markDisturbed marks the process as disturbed and returns a function that runs end and
// then removes the mark.
func (instance *instance) markDisturbed(end func()) func() {
	instance.setDisturbedUntil(time.Now().Add(time.Hour))
	return func() {
		end()
		instance.setDisturbedUntil(time.Now())
	}
}

func (instance *instance) setDisturbedUntil(until time.Time) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.disturbedUntil = until
}

// hasSettled reports whether the process has been undisturbed for settleTime. In that time
// the process receives the state of its peers.
func (instance *instance) hasSettled(now time.Time) bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return now.Sub(instance.disturbedUntil) > settleTime
}

// hasSettledSince reports whether the process has been undisturbed since the time.
func (instance *instance) hasSettledSince(since time.Time) bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return instance.disturbedUntil.Before(since)
}

// isAlive reports whether the process is running.
func (instance *instance) isAlive() bool {
	instance.mutex.Lock()
	ended := instance.exited
	instance.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// isReady queries the readiness probe.
func (instance *instance) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + instance.ReadinessAddress.String() + standin.ReadyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
