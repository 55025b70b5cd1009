package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// crowdMemoryMB is the memory limit of the hosts before a crowd.
const crowdMemoryMB = 96

// edgeCrowd returns a start of a host on the platform with lowered limits.
func edgeCrowd(maxFDs int) func(t *testing.T) *crowdHost {
	return func(t *testing.T) *crowdHost {
		p := startEdgeWith(t, nil, func(config map[string]any, settings string) string {
			config["limits"].(map[string]any)["max_body_bytes"] = crowdBodyBytes
			memory := fmt.Sprintf("memory_mb: %d", platformtest.MemoryLimitBytes>>20)
			NewWithT(t).Expect(settings).To(ContainSubstring(memory))
			return strings.Replace(settings, memory, fmt.Sprintf("memory_mb: %d, max_fds: %d", crowdMemoryMB, maxFDs), 1)
		})
		calls := 0
		return &crowdHost{
			log: p.output.String,
			pid: p.cmd.Process.Pid, callers: p.Address(p.Ports.Callers), memoryBytes: crowdMemoryMB << 20, maxFDs: maxFDs,
			head: func(id string) string {
				return "POST " + platformtest.AtMostOncePrefix + id + " HTTP/1.1\r\nHost: " + platformtest.HostName + "\r\nRequest-Id: " + id + "\r\n"
			},
			ordinary: func() error {
				calls++
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				id := fmt.Sprintf("ordinary-%d", calls)
				r := platformtest.Call(t.Context(), &http.Client{Transport: transport}, p.Address(p.Ports.Callers), http.MethodPost, platformtest.AtMostOncePrefix+id, id, []byte("small"), 4*time.Second)
				if r.Err == nil && r.Status != http.StatusOK {
					return fmt.Errorf("status %d: %s", r.Status, r.Body)
				}
				return r.Err
			},
		}
	}
}

// Guards against callers that end a host on the platform with bodies of legal size, whole or not.
func TestCallerBodiesStayWithinMemory(t *testing.T) { runCrowds(t, bodyCrowds, edgeCrowd(4096)) }

// Guards against callers that take the descriptors of a host on the platform, or its memory with
// what is not a body.
func TestCallerConnectionsStayWithinDescriptors(t *testing.T) {
	runCrowds(t, connectionCrowds, edgeCrowd(480))
}

// serveCrowd returns a start of a host of the JSON interface whose memory limit is that of the Go
// runtime and whose descriptor limit is that of the process.
func serveCrowd(maxFDs int) func(t *testing.T) *crowdHost {
	return func(t *testing.T) *crowdHost {
		// Of the memory limit, 0.6 is the soft limit of the Go runtime, as on the platform.
		t.Setenv("GOMEMLIMIT", strconv.Itoa(crowdMemoryMB<<20*6/10))
		t.Setenv(descriptorsVariable, strconv.Itoa(maxFDs))
		_, hosts := startDeployment(t, smallDeployment(), settings.Overrides{"max_body_bytes": json.RawMessage(strconv.Itoa(crowdBodyBytes))}, "north", "south")
		north := hosts[0]
		return &crowdHost{
			log: north.log.String,
			pid: north.cmd.Process.Pid, callers: north.settings.Listen.Callers, memoryBytes: crowdMemoryMB << 20, maxFDs: maxFDs,
			head: func(string) string { return "POST /v1/services/tags/search HTTP/1.1\r\nHost: site.example\r\n" },
			ordinary: func() error {
				_, err := north.search("red")
				return err
			},
		}
	}
}

// Guards against callers that end a host of the JSON interface with bodies of legal size.
func TestJSONCallerBodiesStayWithinMemory(t *testing.T) { runCrowds(t, bodyCrowds, serveCrowd(4096)) }

// Guards against callers that take the descriptors of a host of the JSON interface.
func TestJSONCallerConnectionsStayWithinDescriptors(t *testing.T) {
	runCrowds(t, connectionCrowds, serveCrowd(480))
}
