package main

import "time"

// pipelineSize lets a client send many commands at once on one connection, more than 20 KiB in all. Each of them
// must get its answer. A client whose connection is closed sends what has no answer once more, on a new connection.
func pipelineSize(t *testbed) error {
	const (
		commands      = 100
		printBodySize = 212 // bytes
		work          = 40 * time.Millisecond
		timeout       = 2500 * time.Millisecond
		tries         = 2 // the first, and once more on a new connection
	)
	if err := t.startServers(8, work); err != nil {
		return err
	}
	runs := t.countRuns()
	t.serve()
	if err := t.startSidecar(smallDeployment); err != nil {
		return err
	}
	open := mixedRequests(commands, timeout, printBodySize) // the requests without an answer
	atOnce := 1                                             // requests that are sent before the first of them is answered
	if t.trouble {
		atOnce = commands
	}
	for range tries {
		c, err := t.connect()
		if err != nil {
			return err
		}
		for len(open) > 0 && err == nil {
			batch := open[:min(atOnce, len(open))]
			_ = c.send(batch...) // a failed write shows in the answers
			for _, r := range batch {
				if _, err = c.receive(r, r.time().Add(answerSlack)); err != nil {
					break
				}
				open = open[1:]
			}
		}
		c.close()
	}
	for _, r := range open {
		t.record.violation("lost: %s (%s) got no answer; it ran %d times", r.id, r.class, runs.of(r.id))
	}
	return nil
}
