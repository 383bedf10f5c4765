package main

import "time"

// answerSlack is how long after its time a request's answer only earns nothing. Later, it is lost.
const answerSlack = 500 * time.Millisecond

// checkAnswered checks that a request got its answer in time; err is the error of receiving the answer.
func (t *testbed) checkAnswered(r *clientRequest, a answer, err error) {
	if err != nil {
		t.record.violation("lost: %s (%s) got no answer: %v", r.id, r.class, err)
		return
	}
	if late := a.at.Sub(r.time()); late > answerSlack {
		t.record.violation("lost: %s (%s) was answered with %d only %v after its time", r.id, r.class, a.status, late)
	}
}
