package policy

import (
	"slices"
	"testing"
)

// ids returns the IDs of endpoints, in order.
func ids(endpoints []*endpoint) (ids []EndpointID) {
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// endpointSetOf returns a set that holds the given entries, without those that are removed.
func endpointSetOf(entries ...Endpoint) *endpointSet {
	s := new(endpointSet)
	for _, entry := range entries {
		s.findOrAdd(entry.ID).Endpoint = entry
	}
	s.update()
	return s
}

func TestEndpointSetFindOrAdd(t *testing.T) {
	s := new(endpointSet)
	for _, id := range []EndpointID{5, 2, 9, 2} {
		s.findOrAdd(id).ID = id
	}
	if got := ids(s.all); !slices.Equal(got, []EndpointID{2, 5, 9}) {
		t.Fatalf("endpoints = %v, want [2 5 9]", got)
	}
	for _, e := range s.all {
		if e.relativeLatency != 1 || s.find(e.ID) != e || s.findOrAdd(e.ID) != e {
			t.Errorf("endpoint %d: relativeLatency = %v, want 1; find returns the endpoint: %v, want true",
				e.ID, e.relativeLatency, s.find(e.ID) == e)
		}
	}
	for _, id := range []EndpointID{0, 3, 10} {
		if e := s.find(id); e != nil {
			t.Errorf("find = endpoint %d for ID %d, want nil for an ID that is not listed", e.ID, id)
		}
	}
}

func TestEndpointSetUpdate(t *testing.T) {
	s := endpointSetOf(Endpoint{ID: 1, State: Ready, Weight: 3}, Endpoint{ID: 2, State: Draining, Weight: 5},
		Endpoint{ID: 3, State: Ready, Weight: 1}, Endpoint{ID: 4, State: Removed, Weight: 7})
	if got := ids(s.all); !slices.Equal(got, []EndpointID{1, 2, 3}) {
		t.Errorf("endpoints = %v, want [1 2 3], without the removed one", got)
	}
	if got := ids(s.ready()); !slices.Equal(got, []EndpointID{1, 3}) {
		t.Errorf("ready endpoints = %v, want [1 3]", got)
	}
	if s.readyWeight != 4 || s.maxReadyWeight != 4 || s.maxReady != 2 {
		t.Errorf("readyWeight, maxReadyWeight, maxReady = %v, %v, %d, want 4, 4, 2",
			s.readyWeight, s.maxReadyWeight, s.maxReady)
	}
	s.find(1).State = Draining
	s.update()
	if s.readyWeight != 1 || s.maxReadyWeight != 4 || s.maxReady != 2 {
		t.Errorf("with one endpoint draining: readyWeight, maxReadyWeight, maxReady = %v, %v, %d, want 1, 4, 2",
			s.readyWeight, s.maxReadyWeight, s.maxReady)
	}
	s.markAllRemoved()
	if s.update(); len(s.all) != 0 || s.readyWeight != 0 {
		t.Errorf("after removing all: %d endpoints with a ready weight of %v, want none", len(s.all), s.readyWeight)
	}
}

func TestEndpointSetProportion(t *testing.T) {
	for _, c := range []struct {
		name    string
		removed []EndpointID
		weight  float64 // weight of the endpoint
		want    float64 // its share of 12
	}{
		{"by weight", nil, 1, 2},
		{"does not grow with removals", []EndpointID{2}, 1, 2},
		{"weight above the highest total so far", nil, 8, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := endpointSetOf(Endpoint{ID: 1, State: Ready, Weight: 4}, Endpoint{ID: 2, State: Ready, Weight: 2})
			for _, id := range c.removed {
				s.find(id).State = Removed
			}
			s.update()
			if got := s.proportion(12, &endpoint{Endpoint: Endpoint{Weight: c.weight}}); got != c.want {
				t.Errorf("proportion of 12 = %v, want %v", got, c.want)
			}
		})
	}
}
