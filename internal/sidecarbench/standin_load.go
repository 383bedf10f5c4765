package sidecarbench

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
)

// startLoadGenerator starts the stand-in for the application. POST /load of the control interface sends the
// Load in its body and responds with the LoadResult.
func (s *standInRunner) startLoadGenerator() {
	client := newClient(s.config.MaxConnections)
	s.control.HandleFunc("POST /load", func(w http.ResponseWriter, r *http.Request) {
		var load Load
		if err := json.NewDecoder(r.Body).Decode(&load); err != nil {
			reply(w, nil, err)
			return
		}
		result, err := runMeasured(r.Context(), load, client)
		reply(w, result, err)
	})
}

// runMeasured sends a load and adds the CPU time of this process during the load to the result.
func runMeasured(ctx context.Context, load Load, client *http.Client) (LoadResult, error) {
	before, err := cpuTime(os.Getpid())
	if err != nil {
		return LoadResult{}, err
	}
	result, err := load.Run(ctx, client)
	if err != nil {
		return LoadResult{}, err
	}
	after, err := cpuTime(os.Getpid())
	result.CPU = after - before
	return result, err
}
