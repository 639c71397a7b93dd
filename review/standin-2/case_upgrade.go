package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

// playUpgrade: the broker is upgraded under load, with the Flight front enabled. Without the trouble it is not upgraded.
func playUpgrade(w *world) {
	f := w.newFleet(50)
	d := w.newDiscovery(f.members())
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // the platform keeps it
	check(err)
	file, err := listener.(*net.TCPListener).File()
	check(err)
	tmp, err := os.MkdirTemp(w.dir, "tmp-")
	check(err)
	operator := filepath.Join(w.dir, "operator.jsonnet")
	front := freeAddress()
	check(os.WriteFile(operator, []byte(fmt.Sprintf("{ flight: { enabled: true, listen: '%s' } }\n", front)), 0o600))
	options := brokerOptions{name: "n0", settings: settings(0, 1, defaultClasses), known: f.members(),
		discovery: d.address, operator: operator, mgmt: true, listener: file, address: listener.Addr().String(), tmp: tmp}
	old := w.startBroker(options)
	old.waitHealthy()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := c * 4; ; i += 3 {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					old.ask(newQuery("quote", i, 3, 3))
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		successor := w.startBroker(options)
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		ready := false
		for end := time.Now().Add(6 * time.Second); !ready && !successor.hasEnded() && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
			response, err := client.Get("http://" + successor.mgmt + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
				ready = response.StatusCode == 200
			}
		}
		w.note("the new process is ready: %v", ready)
		if !ready {
			text, _ := os.ReadFile(successor.logPath)
			w.breaks("the new process did not say yes within 6 s; it has ended: %v (%v): %s", successor.hasEnded(),
				successor.command.ProcessState, strings.TrimSpace(string(text)))
		} else {
			_ = old.command.Process.Signal(syscall.SIGTERM)
			time.Sleep(3700 * time.Millisecond)
			old.kill()
			if successor.hasEnded() {
				w.breaks("the new process has ended: %v", successor.command.ProcessState)
			}
		}
	}
	time.Sleep(2 * time.Second)
	if !w.trouble && old.hasEnded() {
		w.breaks("the broker has ended")
	}
	close(stop)
	clients.Wait()
}
