// Package endpointlist is the form in which discovery tells of the servers of a service, and how it is read.
package endpointlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"time"

	"cranehatch/policy"
)

// List is one answer of discovery. The zero value holds no server.
type List struct {
	Version int64 // the generation that it brings its reader to
	Whole   bool  // it names all servers, not only those that changed
	Servers []policy.Endpoint
	Address map[policy.EndpointID]string // host and port; a server that is gone may have none
}

// ServerID names a server by a hash of its instanceId: the same at every sidecar and after a
// restart, as the module spreads the sidecars over the servers by the order of their ids.
func ServerID(instance string) policy.EndpointID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // a hash takes everything
	return policy.EndpointID(h.Sum64())
}

// Parse reads an answer. One malformed entry makes the whole answer unusable.
func Parse(raw []byte, zones map[string]int) (List, error) {
	var answer struct {
		Generation *int64
		Reset      bool
		Instances  []struct {
			InstanceID  string
			HostPort    string
			Zone        string
			Cell        int
			Lifecycle   string
			Weight      float64
			StartedAtMs float64
		}
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return List{}, err
	}
	if answer.Generation == nil {
		return List{}, errors.New("no generation")
	}
	l := List{Version: *answer.Generation, Whole: answer.Reset, Address: make(map[policy.EndpointID]string)}
	for i, e := range answer.Instances {
		if e.InstanceID == "" {
			return List{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s := policy.Endpoint{ID: ServerID(e.InstanceID), Zone: -1, Cell: e.Cell, Weight: e.Weight}
		if zone, ok := zones[e.Zone]; ok {
			s.Zone = zone
		}
		if e.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // no time of this clock
			return List{}, fmt.Errorf("instance %s: startedAtMs is %v", e.InstanceID, e.StartedAtMs)
		}
		s.StartedAt = time.Duration(max(0, e.StartedAtMs) * float64(time.Millisecond))
		switch e.Lifecycle {
		case "ready":
			s.State = policy.Ready
		case "gone":
			s.State = policy.Removed
		default:
			s.State = policy.Draining // nothing new, whatever it is
		}
		if _, _, err := net.SplitHostPort(e.HostPort); err == nil {
			l.Address[s.ID] = e.HostPort
		} else if s.State != policy.Removed {
			return List{}, fmt.Errorf("instance %s: hostPort: %w", e.InstanceID, err)
		}
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}
