// Command generate writes the process settings files of the two example deployments. Run the command from the repository root.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// deployment is one example deployment. Its addresses have the form 127.<subnet>.<role>.<n>, so that all processes of the deployment
// can run on one machine. The role is 0 for the store, 1 for entries and 2 for agents.
type deployment struct {
	dir            string // directory of the settings files below examples
	subnet         int
	domainCount    int // number of failure domains
	backendName    string
	workerCores    int
	workerMemoryMB int
}

const (
	entryCount            = 3
	agentCount            = 11
	agentsPerRack         = 3
	slotsPerBackend       = 8
	connectionsPerBackend = 64
)

var deployments = []deployment{
	{dir: "workshop", subnet: 10, domainCount: 3, backendName: "fitting-desk", workerCores: 64, workerMemoryMB: 250_000},
	{dir: "association", subnet: 20, domainCount: 4, backendName: "print-desk", workerCores: 32, workerMemoryMB: 125_000},
}

func main() {
	for _, d := range deployments {
		if err := d.writeAll(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// writeAll writes the settings files of all entries and agents.
func (d deployment) writeAll() error {
	for i := range entryCount {
		if err := d.writeFile(fmt.Sprintf("entry-%d", i+1), d.entrySettings(i)); err != nil {
			return err
		}
	}
	for i := range agentCount {
		if err := d.writeFile(fmt.Sprintf("agent-%d", i+1), d.agentSettings(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d deployment) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join("examples", d.dir, name+".yaml"), []byte(text), 0o644)
}

// commonSettings returns the settings that entries and agents have in common. index is the index of the process within its role.
func (d deployment) commonSettings(role string, index int) string {
	seedAddrs := []string{}
	for e := range entryCount {
		seedAddrs = append(seedAddrs, fmt.Sprintf("127.%d.1.%d:7001", d.subnet, e+1))
	}
	return fmt.Sprintf("id: %s-%d\nregion: region-1\ndomain: domain-%d\nstore: http://127.%d.0.1:2379\nseeds: [%s]\n",
		role, index+1, index%d.domainCount+1, d.subnet, strings.Join(seedAddrs, ", "))
}

func (d deployment) entrySettings(i int) string {
	host := fmt.Sprintf("127.%d.1.%d", d.subnet, i+1)
	return d.commonSettings("entry", i) + fmt.Sprintf("listen:\n  callers: %s:8080\n  control: %s:7001\n", host, host)
}

func (d deployment) agentSettings(i int) string {
	host := fmt.Sprintf("127.%d.2.%d", d.subnet, i+1)
	return d.commonSettings("agent", i) +
		fmt.Sprintf("rack: rack-%d\nlisten:\n  control: %s:7001\n  data: %s:7002\n  operator: %s:7003\n", i/agentsPerRack+1, host, host, host) +
		fmt.Sprintf("backend:\n  name: %s\n  addr: %s:9000\n  slots: %d\n  conns: %d\n",
			d.backendName, host, slotsPerBackend, connectionsPerBackend) +
		fmt.Sprintf("worker: # %d cores and %d MB in all\n  url: http://%s:9100\n  reserve: {cores: 8, memory_mb: 16000}\n",
			d.workerCores, d.workerMemoryMB, host)
}
