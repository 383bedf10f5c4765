package sidecar

import (
	"testing"
	"time"
)

// Guards the order of buffered bytes and the arrival time of each of them: the timeout of a request that waits must
// not begin anew with the bytes behind it.
func TestReceiveBufferKeepsArrivalTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(time.Second)
	var b receiveBuffer
	b.add([]byte("ab"), start)
	b.add(nil, later)
	b.add([]byte("c"), start.Add(arrivalResolution-1)) // recorded with the first
	b.add([]byte("de"), later)
	b.putBack([]byte("xy"), start.Add(-time.Second))
	if b.length != 7 {
		t.Fatalf("%d bytes, want 7", b.length)
	}
	for _, want := range []struct {
		size int // of the buffer that is read into
		text string
		at   time.Time
	}{
		{4096, "xy", start.Add(-time.Second)},
		{2, "ab", start},
		{4096, "c", start},
		{1, "d", later},
		{4096, "e", later},
		{4096, "", time.Time{}},
	} {
		p := make([]byte, want.size)
		if n, at := b.read(p); string(p[:n]) != want.text || !at.Equal(want.at) {
			t.Fatalf("read %q of %v, want %q of %v", p[:n], at, want.text, want.at)
		}
	}
	if b.length != 0 || b.chunks != nil {
		t.Errorf("%d bytes in %d chunks are left, want none", b.length, len(b.chunks))
	}
}
