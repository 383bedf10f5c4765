package simprotocol

import (
	"bytes"
	"testing"
	"time"
)

func TestReply(t *testing.T) {
	endpoint := exampleEndpoint(t)
	var reply Reply
	reply.Begin(12)
	reply.Send(3, 0x5d3a91c4, endpoint, 80*time.Millisecond)
	reply.SetTimer(3, 500*time.Millisecond, 77)
	reply.Log(3, "two servers known")
	reply.Reject(3, 0x0e6f2b19, 250*time.Millisecond)
	reply.Fail(3, 0x0e6f2b19)
	reply.Cancel(3, 0x5d3a91c4, 0)
	reply.WatchEndpoints(3)
	reply.HealthCheck(3, endpoint)
	reply.CloseIdle(3, endpoint)
	reply.Fault(3, "index out of range")
	reply.Broadcast(3, []byte("hi 7"))
	want := decodeHex(t, `0c000000 e1000000 0b000000
		e803 16000000 03000000 c4913a5d 0a124a07 931f 0000000000005440
		1004 14000000 03000000 0000000000407f40 4d00000000000000
		3804 17000000 03000000 1100 74776f2073657276657273206b6e6f776e
		f203 10000000 03000000 192b6f0e 0000000000406f40
		fc03 08000000 03000000 192b6f0e
		0604 09000000 03000000 c4913a5d 00
		4c04 05000000 03000000 01
		1a04 0a000000 03000000 0a124a07 931f
		2404 0a000000 03000000 0a124a07 931f
		4204 18000000 03000000 1200 696e646578206f7574206f662072616e6765
		2e04 0c000000 03000000 ffff 0400 68692037`)
	if got := reply.Bytes(); !bytes.Equal(got, want) {
		t.Fatalf("Bytes() =\n%x\nwant\n%x", got, want)
	}
	reply.Begin(1)
	if got := reply.Bytes(); !bytes.Equal(got, decodeHex(t, "01000000 00000000 00000000")) {
		t.Fatalf("Bytes() = %x after Begin, want a header without actions", got)
	}
}

func TestLongTextIsShortened(t *testing.T) {
	var reply Reply
	reply.Begin(1)
	reply.Log(3, string(make([]byte, maxTextLen+1)))
	if got, want := len(reply.Bytes()), replyHeaderLen+actionHeaderLen+4+2+maxTextLen; got != want {
		t.Errorf("len(Bytes()) = %d, want %d", got, want)
	}
}
