package fleetsim

import "sync"

// RunAll calls simulate once for each service, with the index and the size of the service, and makes at most
// parallel calls concurrently. It then passes the results to collect in the order of the services. If calls
// fail, RunAll collects only the results before the first failed one and returns the error of that one. The
// results do not depend on parallel.
func RunAll[T any](sizes []int, parallel int, simulate func(service, size int) (T, error), collect func(T)) error {
	results, errs := make([]T, len(sizes)), make([]error, len(sizes))
	var workers sync.WaitGroup
	services := make(chan int)
	for range max(1, parallel) {
		workers.Go(func() {
			for service := range services {
				results[service], errs[service] = simulate(service, sizes[service])
			}
		})
	}
	for service := range sizes {
		services <- service
	}
	close(services)
	workers.Wait()
	for service, err := range errs {
		if err != nil {
			return err
		}
		collect(results[service])
	}
	return nil
}
