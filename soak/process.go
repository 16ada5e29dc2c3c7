package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

// instance is one real process of the system.
type instance struct {
	ID      peridotpath.InstanceID
	Binary  string
	Folder  string
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peers   uint16
	// Store is the proxy through which the process reaches the store.
	Store *proxy

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stirred is when the process was last disturbed.
	stirred time.Time
}

// The ports of instances lie below those that the kernel gives to outgoing
// connections: one of these took a port between its choice and its use. Each
// instance has a block of its own, since rows that were free one after the other
// overlapped; processes that run side by side begin at different blocks.
const firstPort, portCount, blockSize = 22_000, 10_000, 10

// nextBlock is the next block of ports to be tried.
var nextBlock = os.Getpid() * 31

// ports finds free ports in a row for an instance.
func ports(count int) (uint16, error) {
	for range portCount / blockSize {
		first := uint16(firstPort + nextBlock%(portCount/blockSize)*blockSize)
		nextBlock++
		if rowFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

func rowFree(first uint16, count int) bool {
	for port := first; port < first+uint16(count); port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// start starts the process anew.
func (instance *instance) start(store netip.AddrPort) error {
	settings := filepath.Join(instance.Folder, string(instance.ID)+".toml")
	text := standin.Settings(instance.ID, instance.Callers, instance.Ready, store, instance.Peers)
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
		// How it ended is seen by its callers; a signal is the rule here.
		_ = command.Wait()
		close(ended)
	}()
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.command, instance.ended = command, ended
	return nil
}

// signal sends a signal to the process that was started here, by its id.
func (instance *instance) signal(signal syscall.Signal) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	// It may have ended by itself, which its callers see.
	_ = instance.command.Process.Signal(signal)
}

// wait waits until the process has ended; after limit it is killed.
func (instance *instance) wait(limit time.Duration) {
	instance.mutex.Lock()
	ended := instance.ended
	instance.mutex.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		instance.signal(syscall.SIGKILL)
		<-ended
	}
}

// stir notes that the process is disturbed until end has run.
func (instance *instance) stir(end func()) func() {
	instance.setStirred(time.Now().Add(time.Hour))
	return func() {
		end()
		instance.setStirred(time.Now())
	}
}

func (instance *instance) setStirred(until time.Time) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.stirred = until
}

// inTouch reports whether the process has been undisturbed for so long that what its
// peers know is known to it.
func (instance *instance) inTouch(now time.Time) bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return now.Sub(instance.stirred) > contact
}

// alive reports whether the process has not ended.
func (instance *instance) alive() bool {
	instance.mutex.Lock()
	ended := instance.ended
	instance.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// ready asks as the balancer does.
func (instance *instance) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + instance.Ready.String() + standin.ReadyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
