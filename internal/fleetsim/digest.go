package fleetsim

// digestEvent is the number of a kind of event in Simulation.Digest.
type digestEvent uint64

const (
	digestRequest    digestEvent = 1
	digestReject     digestEvent = 2
	digestFail       digestEvent = 3
	digestSend       digestEvent = 4
	digestAttemptEnd digestEvent = 5 // plus the policy.Result
	digestList       digestEvent = 20
)

// digestPrime is the prime of the 64-bit FNV hash.
const digestPrime = 0x100000001b3

// addToDigest adds an event of a sidecar to the digest. The subject is the request, the server or the list
// version that the event is about.
func (sim *Simulation) addToDigest(event digestEvent, sidecar int, subject uint64) {
	for _, x := range [...]uint64{uint64(sim.clock.now), uint64(event), uint64(sidecar), subject} {
		sim.digest = (sim.digest ^ x) * digestPrime
		sim.digest ^= sim.digest >> 29
	}
}
