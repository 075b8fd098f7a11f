// Command generate writes the process settings files of the two example deployments. Run it from the repository root.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// deployment is one example deployment. Its addresses are 127.<subnet>.<role>.<n>, so that all of it can run on one machine.
type deployment struct {
	dir      string
	subnet   int
	domains  int
	backend  string
	cores    int
	memoryMB int
}

const (
	entries     = 3
	agents      = 11
	rackSize    = 3
	slots       = 8
	connections = 64
)

var deployments = []deployment{
	{dir: "workshop", subnet: 10, domains: 3, backend: "fitting-desk", cores: 64, memoryMB: 250_000},
	{dir: "association", subnet: 20, domains: 4, backend: "print-desk", cores: 32, memoryMB: 125_000},
}

func main() {
	for _, d := range deployments {
		if err := d.writeAll(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func (d deployment) writeAll() error {
	for i := range entries {
		if err := d.writeFile(fmt.Sprintf("entry-%d", i+1), d.entrySettings(i)); err != nil {
			return err
		}
	}
	for i := range agents {
		if err := d.writeFile(fmt.Sprintf("agent-%d", i+1), d.agentSettings(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d deployment) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join("examples", d.dir, name+".yaml"), []byte(text), 0o644)
}

func (d deployment) commonSettings(role string, i int) string {
	seeds := []string{}
	for e := range entries {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d:7001", d.subnet, e+1))
	}
	return fmt.Sprintf("id: %s-%d\nregion: region-1\ndomain: domain-%d\nstore: http://127.%d.0.1:2379\nseeds: [%s]\n",
		role, i+1, i%d.domains+1, d.subnet, strings.Join(seeds, ", "))
}

func (d deployment) entrySettings(i int) string {
	host := fmt.Sprintf("127.%d.1.%d", d.subnet, i+1)
	return d.commonSettings("entry", i) + fmt.Sprintf("listen:\n  callers: %s:8080\n  control: %s:7001\n", host, host)
}

func (d deployment) agentSettings(i int) string {
	host := fmt.Sprintf("127.%d.2.%d", d.subnet, i+1)
	return d.commonSettings("agent", i) +
		fmt.Sprintf("rack: rack-%d\nlisten:\n  control: %s:7001\n  data: %s:7002\n  operator: %s:7003\n", i/rackSize+1, host, host, host) +
		fmt.Sprintf("backend:\n  name: %s\n  addr: %s:9000\n  slots: %d\n  conns: %d\n", d.backend, host, slots, connections) +
		fmt.Sprintf("worker: # %d cores and %d MB in all\n  url: http://%s:9100\n  reserve: {cores: 8, memory_mb: 16000}\n", d.cores, d.memoryMB, host)
}
