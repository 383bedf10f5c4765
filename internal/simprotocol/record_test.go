package simprotocol

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/policy"
)

func TestRequestArrived(t *testing.T) {
	const (
		head = "3804 27000000 03000000 c4913a5d "
		tail = " 640ad2557c3bf091 00000000 0000000000006e40 0000000000002840 00"
	)
	plain := policy.Request{ID: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Timeout: 240 * time.Millisecond}
	withWork, retry := plain, plain
	withWork.ExpectedWork = 12 * time.Millisecond
	retry.ClientRetry = true
	for _, test := range []struct {
		name, flags string
		want        policy.Request
	}{
		{"no flags", "0000", plain},
		{"expected work", "0100", withWork},
		{"client retry", "0200", retry},
	} {
		t.Run(test.name, func(t *testing.T) {
			record, _ := nextRecord(t, decodeHex(t, head+test.flags+tail))
			if got, err := record.RequestArrived(); err != nil || got != test.want {
				t.Errorf("RequestArrived() = %+v, error %v, want %+v", got, err, test.want)
			}
		})
	}
}

func TestTimerCookie(t *testing.T) {
	record, _ := nextRecord(t, decodeHex(t, "2e04 0c000000 03000000 4d00000000000000"))
	if cookie, err := record.TimerCookie(); err != nil || cookie != 77 {
		t.Errorf("TimerCookie() = %d, error %v, want 77", cookie, err)
	}
}

func TestRequestID(t *testing.T) {
	record, remaining := nextRecord(t, decodeHex(t, "4204 08000000 05000000 192b6f0e"))
	id, err := record.RequestID()
	if instance, _ := record.Instance(); err != nil || id != 0x0e6f2b19 || instance != 5 || len(remaining) != 0 {
		t.Errorf("RequestID() = %x for instance %d, error %v, %d bytes remain, want e6f2b19 for instance 5, none remain", id, instance, err, len(remaining))
	}
}

func TestEndpointList(t *testing.T) {
	record, _ := nextRecord(t, decodeHex(t, `f203 34000000 0000 02000000
		0a124a07 931f 00 00 0000 01 0000803f 0000000000000000
		0a9011f2 bc1f 00 00 0000 01 0000c03f 0000000000d4b740`))
	list, endpoints, err := record.EndpointList()
	want := []policy.Endpoint{
		{ID: exampleEndpoint(t), State: policy.Ready, Weight: 1},
		{ID: 0x1fbcf211900a, State: policy.Ready, Weight: 1.5, StartedAt: 6100 * time.Millisecond},
	}
	if err != nil || list != 0 || !slices.Equal(endpoints, want) {
		t.Errorf("EndpointList() = %d, %+v, error %v, want list 0 of %+v", list, endpoints, err, want)
	}
}

func TestEndpointFields(t *testing.T) {
	record, _ := nextRecord(t, decodeHex(t, `f203 1d000000 0300 01000000
		090000000000 01 05 0300 01 00002040 0000000000408f40`))
	list, endpoints, err := record.EndpointList()
	want := []policy.Endpoint{{ID: 9, Zone: 1, Cell: 3, State: policy.Ready, Weight: 2.5, StartedAt: time.Second}}
	if err != nil || list != 3 || !slices.Equal(endpoints, want) {
		t.Errorf("EndpointList() = %d, %+v, error %v, want list 3 of %+v", list, endpoints, err, want)
	}
}

func TestAttemptEnded(t *testing.T) {
	record, _ := nextRecord(t, decodeHex(t, "2404 1b000000 03000000 c4913a5d 00 0a124a07 931f 6400 0000000000803240 01 00"))
	got, err := record.AttemptEnded()
	want := AttemptEnded{RequestID: 0x5d3a91c4, Endpoint: exampleEndpoint(t), Result: policy.Succeeded, Duration: 18500 * time.Microsecond, Answered: true}
	if err != nil || got != want {
		t.Errorf("AttemptEnded() = %+v, error %v, want %+v", got, err, want)
	}
}

func TestHealthChecked(t *testing.T) {
	const report = " 666666666666f63f 04 0000003f0000684100000c430000e040"
	want := HealthChecked{Endpoint: 0x1fbcf211900a, Report: loadreport.Report{Count: 4, Values: [4]float32{0.5, 14.5, 140, 7}}}
	for _, test := range []struct {
		name, result string
		healthy      bool
	}{
		{"succeeded", "6400", true},
		{"failed", "2d01", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			record, _ := nextRecord(t, decodeHex(t, "e803 25000000 03000000 0a9011f2 bc1f "+test.result+report))
			want.Healthy = test.healthy
			if got, err := record.HealthChecked(); err != nil || got != want {
				t.Errorf("HealthChecked() = %+v, error %v, want %+v", got, err, want)
			}
		})
	}
}

// Verifies that values beyond loadreport.MaxValues are skipped: the next field must be decoded from the bytes
// after them.
func TestLoadReportOfManyValues(t *testing.T) {
	values := decodeHex(t, "05 0000803f 0000803f 0000803f 0000803f 0000e040")
	c := cursor{remaining: append(values, 9)}
	if got := c.loadReport(); got.Count != loadreport.MaxValues || c.uint8() != 9 || c.err() != nil {
		t.Errorf("loadReport() = %+v, error %v, want MaxValues values and the next field to be 9", got, c.err())
	}
}

func TestEndpointsUpdated(t *testing.T) {
	for _, test := range []struct {
		name, kind string
		want       EndpointsUpdated
	}{
		{"full", "01", EndpointsUpdated{KindKnown: true, Kind: policy.FullUpdate, Version: 41, ListNumber: 7}},
		{"delta", "02", EndpointsUpdated{KindKnown: true, Kind: policy.DeltaUpdate, Version: 41, ListNumber: 7}},
		{"cached", "03", EndpointsUpdated{KindKnown: true, Kind: policy.CachedUpdate, Version: 41, ListNumber: 7}},
		{"failed", "04", EndpointsUpdated{KindKnown: true, Kind: policy.UpdateFailed, Version: 41, ListNumber: 7}},
		{"later version", "05", EndpointsUpdated{Version: 41, ListNumber: 7}},
	} {
		t.Run(test.name, func(t *testing.T) {
			record, _ := nextRecord(t, decodeHex(t, "1a04 0b000000 03000000 "+test.kind+" 29000000 0700"))
			if got, err := record.EndpointsUpdated(); err != nil || got != test.want {
				t.Errorf("EndpointsUpdated() = %+v, error %v, want %+v", got, err, test.want)
			}
		})
	}
}

func TestInstanceStarted(t *testing.T) {
	record, _ := nextRecord(t, decodeHex(t, "4c04 16000000 03000000 0500000000000000 06000000 7a6f6e653d31"))
	if got, err := record.InstanceStarted(); err != nil || got.Seed != 5 || string(got.Settings) != "zone=1" {
		t.Errorf("InstanceStarted() = %+v, error %v, want seed 5 and settings zone=1", got, err)
	}
}

func TestGossipReceived(t *testing.T) {
	record, _ := nextRecord(t, decodeHex(t, "1004 0e000000 03000000 02000000 0400 68692037"))
	if record.Code != EventGossipReceived {
		t.Fatalf("NextRecord() = %+v, want an EventGossipReceived", record)
	}
	if got, err := record.GossipReceived(); got.From != 2 || !bytes.Equal(got.Data, []byte("hi 7")) || err != nil {
		t.Errorf("GossipReceived() = %+v, error %v, want \"hi 7\" from 2", got, err)
	}
}

func TestTruncatedRecord(t *testing.T) {
	for _, test := range []struct {
		name   string
		code   EventCode
		part   Part
		fields string
		decode func(Record) error
	}{
		{"request", EventRequestArrived, PartFields, "01000000 09", func(r Record) error { _, err := r.RequestArrived(); return err }},
		{"outcome", EventAttemptEnded, PartFields, "01000000 09", func(r Record) error { _, err := r.AttemptEnded(); return err }},
		{"health check", EventHealthChecked, PartFields, "01000000 09", func(r Record) error { _, err := r.HealthChecked(); return err }},
		{"request ID", EventClientDisconnected, PartFields, "01000000 09", func(r Record) error { _, err := r.RequestID(); return err }},
		{"endpoint update", EventEndpointsUpdated, PartFields, "01000000 03", func(r Record) error { _, err := r.EndpointsUpdated(); return err }},
		{"instance start", EventInstanceStarted, PartFields, "01000000 09", func(r Record) error { _, err := r.InstanceStarted(); return err }},
		{"instance", EventTimerFired, PartFields, "0100", func(r Record) error { _, err := r.Instance(); return err }},
		{"gossip message", EventGossipReceived, PartFields, "03000000 02000000 0400 68", func(r Record) error { _, err := r.GossipReceived(); return err }},
		{"list of 4,294,967,295 endpoints", EventEndpointList, PartList, "0000 ffffffff", func(r Record) error { _, _, err := r.EndpointList(); return err }},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkRecordError(t, test.decode(Record{Code: test.code, Fields: decodeHex(t, test.fields)}), test.code, test.part)
		})
	}
}

func TestAddedFieldsAreIgnored(t *testing.T) {
	record := Record{Code: EventTimerFired, Fields: append(make([]byte, 12), "a field of a later version"...)}
	if _, err := record.TimerCookie(); err != nil {
		t.Errorf("TimerCookie() error = %v, want none", err)
	}
}
